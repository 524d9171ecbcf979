//! Selection of the peers that are asked to relay a connection to a target.
//!
//! Each process selects on its own, at random, so that the relays spread over all peers that reach
//! the targets. A peer that cannot help says so at once and is not asked again for a while.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

/// Maximum number of peers that are asked for one connection, one after the other.
const HELPERS_ASKED_MAX: usize = 4;
/// Number of peers remembered as helpful.
const PROVEN_MAX: usize = 4;
/// Number of peers that are drawn to find usable ones among them.
const DRAWS_MAX: usize = 32;
/// Time for which a peer is not asked after its first failure to help; doubles with each further one.
const SKIP_BASE: Duration = Duration::from_millis(500);
/// Maximum number of doublings of [`SKIP_BASE`].
const SKIP_DOUBLINGS_MAX: u32 = 1;
/// Time for which a peer is not asked that has no room for another relay or did not answer in time.
/// A peer under load may answer the next request, and may be the only one that reaches targets.
const BUSY_SKIP: Duration = Duration::from_millis(100);

/// Reason why a peer relays no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unusable {
    /// The peer relays as many connections as it may, or did not answer in time.
    Busy,
    /// The peer reaches no target either, is stopping, or has ended.
    CannotHelp,
}

#[derive(Debug, Clone, Copy)]
struct Skip {
    until: Timestamp,
    failures: u32,
}

/// Peers that helped lately, and peers that did not.
#[derive(Debug, Clone, Default)]
pub struct Helpers {
    skips: BTreeMap<VmName, Skip>,
    /// Peers that helped last, at most [`PROVEN_MAX`].
    proven: VecDeque<VmName>,
}

impl Helpers {
    /// Returns the peers to ask for a connection, in this order.
    ///
    /// First one in this process's own data hall, since bytes between halls cost more, so that the
    /// relays spread over the hall. Then one that helped lately, and then ones in other halls,
    /// because a cut often affects a whole hall.
    pub fn candidates(
        &self,
        own_hall: &[&VmName],
        other_halls: &[&VmName],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<VmName> {
        let mut asked = Vec::with_capacity(HELPERS_ASKED_MAX);
        self.draw(own_hall, 1, &mut asked, now, rng);
        if asked.is_empty() {
            self.draw(other_halls, 1, &mut asked, now, rng);
        }
        let is_listed = |vm: &VmName| own_hall.contains(&vm) || other_halls.contains(&vm);
        let is_candidate =
            |vm: &&VmName| self.is_usable(vm, now) && is_listed(vm) && !asked.contains(vm);
        let proven: Vec<&VmName> = self.proven.iter().filter(is_candidate).collect();
        asked.extend(proven.choose(rng).copied().cloned());
        self.draw(other_halls, HELPERS_ASKED_MAX, &mut asked, now, rng);
        self.draw(own_hall, HELPERS_ASKED_MAX, &mut asked, now, rng);
        asked
    }

    /// Adds usable peers, drawn at random, until `asked` has `count` entries.
    fn draw(
        &self,
        peers: &[&VmName],
        count: usize,
        asked: &mut Vec<VmName>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        let drawn = peers.choose_multiple(rng, peers.len().min(DRAWS_MAX));
        for vm in drawn.copied() {
            if asked.len() >= count {
                return;
            }
            if self.is_usable(vm, now) && !asked.contains(vm) {
                asked.push(vm.clone());
            }
        }
    }

    fn is_usable(&self, vm: &VmName, now: Timestamp) -> bool {
        self.skips.get(vm).is_none_or(|skip| now >= skip.until)
    }

    /// Records that a peer connected this process to a target.
    pub fn record_helped(&mut self, vm: &VmName) {
        self.skips.remove(vm);
        if !self.proven.contains(vm) {
            self.proven.truncate(PROVEN_MAX - 1);
            self.proven.push_front(vm.clone());
        }
    }

    /// Records that a peer relays no connection now.
    pub fn record_unusable(&mut self, vm: &VmName, reason: Unusable, now: Timestamp) {
        self.proven.retain(|proven| proven != vm);
        let skip = self.skips.entry(vm.clone()).or_insert(Skip { until: now, failures: 0 });
        let time = match reason {
            Unusable::Busy => BUSY_SKIP,
            Unusable::CannotHelp => {
                let doublings = skip.failures.min(SKIP_DOUBLINGS_MAX);
                skip.failures += 1;
                SKIP_BASE * 2_u32.pow(doublings)
            }
        };
        skip.until = skip.until.max(now + time);
    }

    /// Forgets which peers helped and which did not, once this process reaches the targets again.
    pub fn clear(&mut self) {
        self.skips.clear();
        self.proven.clear();
    }
}
