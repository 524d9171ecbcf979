//! Relays of simulated calls: selection of peers, and what they answer.

use std::time::Duration;

use rand::Rng;
use thymeshift_links::ConnectFailure;
use thymeshift_links::FailedConnect;
use thymeshift_links::PeerAnswer;
use thymeshift_links::Unusable;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

use crate::replay::lost_links::CutKind;
use crate::replay::lost_links::LinkPolicy;
use crate::replay::lost_links::process::Process;
use crate::replay::lost_links::simulation::CONNECT_LIMIT;
use crate::replay::lost_links::simulation::Call;
use crate::replay::lost_links::simulation::DEADLINE;
use crate::replay::lost_links::simulation::Event;
use crate::replay::lost_links::simulation::LinkSimulation;
use crate::replay::lost_links::simulation::ROUND_TRIP;
use crate::replay::lost_links::simulation::TARGETS;
use crate::replay::lost_links::simulation::TARGETS_TRIED_MAX;
use crate::replay::lost_links::simulation::address_of;

/// Number of peers that must not reach a target either until the target counts as ended.
const DENIALS_MIN: usize = 2;
/// Relay that a call waits for: the peers still to ask, and how many did not reach the target.
#[derive(Debug, Clone)]
pub(super) struct Relay {
    pub(super) asked: Vec<usize>,
    pub(super) denials: usize,
    pub(super) target: usize,
    /// Start of the own connection that was not opened, if one was tried.
    pub(super) missed_at: Option<Timestamp>,
}

impl LinkSimulation {
    fn record_reached_by_peer(&mut self, process: usize, relay: &Relay) {
        let Some(missed_at) = relay.missed_at else {
            return;
        };
        let failed = self.failed_connect(relay.target, missed_at);
        // The peer is asked with the first round trip, and connects in the second.
        let answer = PeerAnswer { took: ROUND_TRIP * 2, limit: CONNECT_LIMIT };
        let links = &mut self.processes[process].links;
        let change = links.record_reached_by_peer(&failed, answer, self.now);
        self.apply(process, change);
    }

    /// Returns a connection that failed as the cut of this day lets it fail.
    pub(super) fn failed_connect(&self, target: usize, began_at: Timestamp) -> FailedConnect {
        let is_slow = self.pattern.kind == CutKind::Silent && self.alive_targets[target];
        let failure = if is_slow { ConnectFailure::Slow } else { ConnectFailure::Refused };
        FailedConnect { target: address_of(target), began_at, failure }
    }

    /// Asks peers for a connection to `target`, or to serve the whole request if it is `None`.
    pub(super) fn relay(
        &mut self,
        call: Call,
        target: Option<usize>,
        missed_at: Option<Timestamp>,
    ) {
        let target = target.unwrap_or_else(|| self.rng.random_range(0..TARGETS));
        let process = &self.processes[call.process];
        let others = self.processes.iter().enumerate();
        let others: Vec<(usize, &Process)> =
            others.filter(|(index, _)| *index != call.process).collect();
        let (near, far): (Vec<_>, Vec<_>) =
            others.iter().partition(|(_, other)| other.hall == process.hall);
        let names = |peers: &[(usize, &Process)]| -> Vec<_> {
            peers.iter().map(|(index, _)| &self.processes[*index].vm).collect()
        };
        let candidates =
            process.helpers.candidates(&names(&near), &names(&far), self.now, &mut self.rng);
        let index_of = |vm: &VmName| self.indices.get(vm).copied();
        let mut asked: Vec<usize> = candidates.iter().filter_map(index_of).collect();
        asked.reverse();
        self.after(
            ROUND_TRIP,
            Event::AskPeer { call, relay: Relay { asked, denials: 0, target, missed_at } },
        );
    }

    pub(super) fn ask_peer(&mut self, call: Call, mut relay: Relay) {
        if self.now >= call.arrived_at + DEADLINE {
            return self.end(&call, false, false);
        }
        let Some(peer) = relay.asked.pop() else {
            if relay.denials > 0 {
                return self.try_next_target(call);
            }
            return self.end(&call, false, false);
        };
        let now = self.now;
        let vm = self.processes[peer].vm.clone();
        let (is_killed, is_cut) = (self.processes[peer].is_killed, self.processes[peer].is_cut());
        if is_killed || self.is_lost(peer) {
            let helpers = &mut self.processes[call.process].helpers;
            helpers.record_unusable(&vm, Unusable::CannotHelp, now);
            return self.after(ROUND_TRIP, Event::AskPeer { call, relay });
        }
        if !is_cut && self.alive_targets[relay.target] {
            self.processes[call.process].helpers.record_helped(&vm);
            self.record_reached_by_peer(call.process, &relay);
            let via = Some((peer, self.processes[peer].kills));
            self.processes[peer].relays += 1;
            self.record_connected(peer);
            return self.serve(call, relay.target, via, ROUND_TRIP * 2);
        }
        if is_cut && self.pattern.kind == CutKind::Unanswered && self.alive_targets[relay.target] {
            // The peer relays a connection that is never answered, which is not given up early.
            let gives_up_at = call.arrived_at + DEADLINE;
            let call = Call { is_unsafe: true, ..call };
            return self.after(Duration::ZERO, Event::OpenSilent { call, gives_up_at });
        }
        // The peer does not reach the target: it is cut and does not know it yet, or the target ended.
        let failed = self.failed_connect(relay.target, now);
        let change = self.processes[peer].links.record_missed(&failed, now);
        self.apply(peer, change);
        let delay =
            if is_cut && self.pattern.kind == CutKind::Silent { CONNECT_LIMIT } else { ROUND_TRIP };
        if self.policy == LinkPolicy::RelayRequests {
            // The peer goes on with the request by itself, at another target.
            relay.asked.push(peer);
            relay.target = self.rng.random_range(0..TARGETS);
            return self.after(delay, Event::AskPeer { call, relay });
        }
        relay.denials += 1;
        if relay.denials >= DENIALS_MIN {
            return self.after_target_ended(call, delay);
        }
        self.after(delay, Event::AskPeer { call, relay });
    }

    fn after_target_ended(&mut self, call: Call, delay: Duration) {
        if call.targets_tried >= TARGETS_TRIED_MAX {
            return self.end(&call, false, false);
        }
        let mut call = call;
        call.attempts -= 1;
        self.after(delay, Event::Attempt(call));
    }
}
