//! Telling the fleet of requests that targets crash under, and of those that are cleared.
//!
//! News goes by datagram to the own data hall and to some processes of every other, which pass it
//! on in theirs; where there are no datagrams, with the next exchanges.

use std::net::SocketAddr;

use metrics::counter;
use spdlog::info;
use spdlog::warn;
use thymeshift_fleet::Crash;
use thymeshift_fleet::CrashId;
use thymeshift_fleet::SuspectReport;
use thymeshift_fleet::Verdict;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Fingerprint;
use thymeshift_types::VmName;
use thymeshift_wire::Message;

use crate::shared::Shared;
use crate::target_client::TargetCrash;

/// A target ended while it ran a request of this process.
pub(crate) fn note_crash(shared: &Shared, fingerprint: Fingerprint, crash: &TargetCrash) {
    let now = BootClock.now();
    let number = shared.next_crash_number();
    let reported = Crash {
        id: CrashId { vm: shared.settings().vm.clone(), boot: shared.boot, number },
        service: crash.service.clone(),
        target: crash.target.clone(),
        incarnation: crash.incarnation,
        began_ago_ms: now.since(crash.began_at).as_millis() as u64,
        ended_ago_ms: now.since(crash.ended_at).as_millis() as u64,
    };
    counter!(metric::TARGETS_CRASHED, "service" => crash.service.as_str().to_owned()).increment(1);
    info!("target_crashed", kv: {
        fingerprint: = fingerprint, service: = crash.service, target: = crash.target,
        incarnation: = crash.incarnation, ran_ms = reported.began_ago_ms - reported.ended_ago_ms
    });
    if shared.fleet.lock().quarantine.record_crash(fingerprint, &reported, now) {
        log_verdict(shared, fingerprint, "own");
        tell(shared, fingerprint);
    }
}

/// A target answered a request of this process, so that it outlived it.
pub(crate) fn note_answered(shared: &Shared, fingerprint: Fingerprint) {
    let is_cleared = {
        let quarantine = &mut shared.fleet.lock().quarantine;
        !quarantine.is_empty() && quarantine.record_answer(fingerprint, BootClock.now())
    };
    if is_cleared {
        log_verdict(shared, fingerprint, "own");
        tell(shared, fingerprint);
    }
}

/// A peer told of a suspect. What comes from another data hall is passed on in the own one.
pub(crate) fn take_suspect(shared: &Shared, sender: &VmName, told: &SuspectReport) {
    let now = BootClock.now();
    let near = {
        let mut fleet = shared.fleet.lock();
        if !fleet.quarantine.merge(told, now) {
            return;
        }
        let own_hall = &fleet.members.own().data_hall;
        let is_near = fleet.members.find(sender).is_none_or(|member| member.data_hall == *own_hall);
        let near = fleet.members.hall_peers(now).filter_map(|member| member.datagram_address);
        if is_near { Vec::new() } else { near.collect() }
    };
    log_verdict(shared, told.fingerprint, "peer");
    send(shared, &near, told);
}

/// Logs what holds for a request of which something new is known.
pub(crate) fn log_verdict(shared: &Shared, fingerprint: Fingerprint, source: &'static str) {
    match shared.fleet.lock().quarantine.verdict(fingerprint, BootClock.now()) {
        Verdict::Free => info!("request_cleared", kv: { fingerprint: = fingerprint, source }),
        Verdict::Suspected => {
            info!("request_suspected", kv: { fingerprint: = fingerprint, source });
        }
        Verdict::Refused(left) => {
            let left_ms = left.as_millis() as u64;
            warn!("request_quarantined", kv: { fingerprint: = fingerprint, left_ms, source });
        }
    }
}

fn tell(shared: &Shared, fingerprint: Fingerprint) {
    if shared.allocation.socket().is_none() {
        shared.peer_exchange_due.notify_one();
        return;
    }
    let (told, addresses) = {
        let now = BootClock.now();
        let fleet = shared.fleet.lock();
        let Some(told) = fleet.quarantine.report(fingerprint, now) else {
            return;
        };
        let members = fleet.members.hall_peers(now).chain(fleet.members.hubs(now));
        let addresses: Vec<_> = members.filter_map(|member| member.datagram_address).collect();
        (told, addresses)
    };
    send(shared, &addresses, &told);
}

fn send(shared: &Shared, addresses: &[SocketAddr], told: &SuspectReport) {
    for address in addresses {
        shared.allocation.send(*address, Message::Suspect(told.clone()));
    }
}
