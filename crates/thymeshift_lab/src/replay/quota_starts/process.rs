//! Simulated process with its membership, its tokens and its counter.

use std::collections::BTreeMap;

use thymeshift_allocation::AllocatorRank;
use thymeshift_fleet::FleetBounds;
use thymeshift_fleet::Member;
use thymeshift_fleet::Members;
use thymeshift_fleet::ranked;
use thymeshift_organisations::QuotaCounter;
use thymeshift_organisations::QuotaHolder;
use thymeshift_organisations::QuotaLimit;
use thymeshift_organisations::TokenDemand;
use thymeshift_organisations::TokenGrant;
use thymeshift_organisations::TokenRequest;
use thymeshift_types::Timestamp;

use crate::replay::quota_starts::StartPolicy;
use crate::replay::quota_starts::fleet::HALL_COUNT;
use crate::replay::quota_starts::fleet::index_of;

/// Task that the processes are ranked for.
const TASK: &str = "count birds";

/// What all processes know of the limit and of the fleet.
#[derive(Clone, Copy)]
pub(super) struct GrantRules {
    pub(super) limit: QuotaLimit,
    pub(super) policy: StartPolicy,
    /// Number of entry VMs that the configuration allows.
    pub(super) vms_max: usize,
}

/// Token request whose reply is pending.
pub(super) struct PendingTokenRequest {
    pub(super) number: u64,
    pub(super) counter: usize,
    pub(super) demand: TokenDemand,
    /// Counters that were asked before this one.
    pub(super) asked: Vec<usize>,
}

/// Counters in ranked order, as a process sees them.
#[derive(Clone)]
pub(super) struct Ranking {
    pub(super) order: Vec<usize>,
    pub(super) share: f64,
    computed_at: Timestamp,
    member_changes: u64,
}

/// Running process.
pub(super) struct Process {
    /// Distinguishes the starts of a process.
    pub(super) boot: u64,
    pub(super) started_at: Timestamp,
    pub(super) members: Members,
    pub(super) holder: QuotaHolder,
    pub(super) counter: Option<QuotaCounter<(usize, u64)>>,
    pub(super) pending: Option<PendingTokenRequest>,
    /// Requests that wait for the reply to the pending token request.
    pub(super) waiting: usize,
    /// Time until which the process stands still.
    pub(super) stalled_until_ms: u64,
    /// Times until which processes that did not reply are skipped.
    pub(super) skipped_until: BTreeMap<usize, Timestamp>,
    ranking: Option<Ranking>,
}

impl Process {
    pub(super) fn new(boot: u64, members: Members, holder: QuotaHolder, now: Timestamp) -> Self {
        Self {
            boot,
            started_at: now,
            members,
            holder,
            counter: None,
            pending: None,
            waiting: 0,
            stalled_until_ms: 0,
            skipped_until: BTreeMap::new(),
            ranking: None,
        }
    }

    /// Returns the ranking of the counters, at most one second old.
    pub(super) fn ranking(&mut self, rules: GrantRules, now: Timestamp) -> Ranking {
        let member_changes = self.members.changes();
        let is_fresh = |known: &&Ranking| {
            known.member_changes == member_changes && now.since(known.computed_at).as_secs() < 1
        };
        if let Some(known) = self.ranking.as_ref().filter(is_fresh) {
            return known.clone();
        }
        let contacts = self.members.contacts(now);
        let addresses: BTreeMap<_, _> =
            contacts.iter().map(|member| (member.vm.clone(), member.peer_address)).collect();
        let order = ranked(TASK, contacts.into_iter().map(Member::candidate));
        let order = order.into_iter().map(|vm| index_of(addresses[vm])).collect();
        let share = self.share(rules, now);
        let ranking = Ranking { order, share, computed_at: now, member_changes };
        self.ranking = Some(ranking.clone());
        ranking
    }

    /// Returns the share of the limit that this process may grant.
    fn share(&self, rules: GrantRules, now: Timestamp) -> f64 {
        let GrantRules { policy, vms_max, .. } = rules;
        let bounds = match policy {
            StartPolicy::AssumedFleet => FleetBounds { vms_max, halls: None },
            StartPolicy::AssumedContacts => FleetBounds { vms_max, halls: Some(HALL_COUNT) },
            StartPolicy::Nothing | StartPolicy::KnownOnly => {
                FleetBounds { vms_max: 0, halls: None }
            }
        };
        if policy == StartPolicy::Nothing && !self.members.is_settled(now) {
            return 0.0;
        }
        let candidates = self.members.visible_contacts(bounds, now);
        let own = &self.members.own().vm;
        let order = ranked(TASK, candidates.visible.iter().map(|member| member.candidate()));
        let rank = AllocatorRank {
            better_ranked: order.iter().take_while(|vm| **vm != own).count(),
            reachable: candidates.visible.len(),
            known: candidates.known_count,
        };
        rank.rate_share().fraction()
    }

    /// Grants tokens as the counter.
    pub(super) fn grant(
        &mut self,
        holder: (usize, u64),
        request: TokenRequest,
        rules: GrantRules,
        now: Timestamp,
    ) -> TokenGrant {
        let share = self.ranking(rules, now).share;
        let is_settled = rules.policy == StartPolicy::KnownOnly || self.members.is_settled(now);
        let counter = self.counter.get_or_insert_with(|| {
            if is_settled {
                QuotaCounter::new(rules.limit, now)
            } else {
                QuotaCounter::with_empty_bucket(rules.limit, now)
            }
        });
        counter.set_share(share, now);
        counter.grant_tokens(&holder, request, now)
    }

    /// Returns whether a process is currently skipped as unresponsive.
    pub(super) fn is_skipped(&self, index: usize, now: Timestamp) -> bool {
        self.skipped_until.get(&index).is_some_and(|until| now < *until)
    }
}
