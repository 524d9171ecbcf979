//! Membership of the simulated processes: their addresses, and one exchange between two of them.

use std::net::SocketAddr;

use rand::Rng;
use thymeshift_fleet::Boot;
use thymeshift_fleet::GossipMember;
use thymeshift_fleet::GossipScope;
use thymeshift_fleet::Member;
use thymeshift_fleet::Members;
use thymeshift_fleet::Phase;
use thymeshift_fleet::ReceivedSummary;
use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

pub(super) const HALL_COUNT: usize = 3;
/// Number of processes whose addresses are in the settings.
const SEEDS: usize = 3;

/// Returns the address of a process.
pub(super) fn address_of(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    ([10, 1, high, low], 7_000).into()
}

/// Returns the process at an address of [`address_of`].
pub(super) fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) & 0xffff) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// Returns the membership of a process that starts now.
pub(super) fn new_members(
    index: usize,
    boot: u64,
    count: usize,
    now: Timestamp,
) -> Option<Members> {
    let own = Member {
        vm: VmName::new(&format!("vm-{index}")).ok()?,
        boot: Boot::new(boot),
        heartbeat: 0,
        peer_address: address_of(index),
        control_address: address_of(index),
        datagram_address: Some(address_of(index)),
        data_hall: DataHallName::new(&format!("hall-{}", index % HALL_COUNT)).ok()?,
        capacity: Capacity::default(),
        phase: Phase::Serving,
        revision: None,
    };
    let hints = (0..SEEDS.min(count)).filter(|seed| *seed != index).map(address_of);
    Some(Members::new(own, hints.collect(), now))
}

/// Exchanges the members that two processes know, as one process asks and the other answers.
pub(super) fn exchange(
    asking: &mut Members,
    asked: &mut Members,
    now: Timestamp,
    rng: &mut impl Rng,
) {
    asking.advance_heartbeat(Phase::Serving, None);
    let summary = asking.members_to_send(GossipScope::Regular, now, rng);
    let Some((sender, _)) = summary.split_first() else { return };
    let received = ReceivedSummary {
        sender: &sender.member,
        digest: asking.digest(now),
        is_new: asking.is_new(),
        is_regular: summary.len() > 1,
    };
    merge(asked, &summary, now);
    let scope = asked.answer_scope(&received, now);
    let answer = asked.members_to_send(scope, now, rng);
    merge(asking, &answer, now);
    if asked.is_settled(now) {
        asking.record_settled_view();
    }
}

fn merge(members: &mut Members, message: &[GossipMember], now: Timestamp) {
    if let Some((sender, others)) = message.split_first() {
        members.record_answer(&sender.member, now);
        for member in others {
            members.merge(member, now);
        }
    }
}
