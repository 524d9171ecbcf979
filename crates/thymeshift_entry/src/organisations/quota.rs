//! Enforces rate limits of organisations: holds tokens, and grants tokens as a counter.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use spdlog::info;
use thymeshift_allocation::AllocatorRank;
use thymeshift_config::Organisation;
use thymeshift_config::RequestRate;
use thymeshift_fleet::Boot;
use thymeshift_organisations::Admission;
use thymeshift_organisations::QuotaCounter;
use thymeshift_organisations::QuotaHolder;
use thymeshift_organisations::QuotaLimit;
use thymeshift_organisations::TokenDemand;
use thymeshift_organisations::TokenGrant;
use thymeshift_organisations::TokenRequest;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::OrganisationName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use thymeshift_wire::AllocatorAddress;
use thymeshift_wire::Message;
use thymeshift_wire::OrganisationDump;
use thymeshift_wire::QuotaAsk;
use thymeshift_wire::QuotaGrant;
use thymeshift_wire::QuotaRequestNumber;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::organisations::QuotaReply;
use crate::organisations::grant_log::GrantLog;
use crate::organisations::pending_asks::PendingQuotaAsks;
use crate::shared::RankedProcesses;
use crate::shared::Shared;

/// Timeouts for a counter's reply.
/// The quota request is sent again after each timeout but the last, as datagrams may be lost.
/// The sum of the timeouts covers two one-way trips between regions and a busy VM.
const REPLY_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(25), Duration::from_millis(25), Duration::from_millis(55)];
/// Maximum time that a caller's request waits for another request's pending quota request.
const PENDING_ASK_WAIT_MAX: Duration = Duration::from_millis(200);
/// Maximum number of counters that receive a quota request for one caller's request.
const COUNTERS_PER_REQUEST_MAX: usize = 2;
/// Time for which a ranking of counters is reused while the members do not change.
const RANKING_TTL: Duration = Duration::from_secs(1);

/// Quota state of the organisations whose tokens this process holds or grants.
#[derive(Default)]
pub(crate) struct Quotas {
    /// Tokens that this process holds to admit requests.
    held: Mutex<HashMap<OrganisationName, Arc<HeldTokens>>>,
    /// Counters of the organisations that this process counts for.
    counters: Mutex<HashMap<OrganisationName, LoggedCounter>>,
    rankings: Mutex<HashMap<OrganisationName, Ranking>>,
    pending_asks: PendingQuotaAsks,
}

/// Counter of one organisation, and the log of its grants.
struct LoggedCounter {
    counter: QuotaCounter<VmName>,
    log: GrantLog,
}

/// Tokens of one organisation that this process holds.
struct HeldTokens {
    holder: Mutex<QuotaHolder>,
    /// Notified when a quota request has ended, with or without a reply of a counter.
    ask_finished: Notify,
}

/// Cached ranking of the processes that may count for an organisation.
#[derive(Clone)]
struct Ranking {
    ranked_processes: RankedProcesses,
    /// Rank of this process among the counters.
    rank: AllocatorRank,
    /// Whether this process knows the other processes.
    is_settled: bool,
    computed_at: Timestamp,
    /// Change count of the members that the ranking was computed from.
    member_changes: u64,
}

impl Quotas {
    /// Admits a request of `organisation`, or returns the delay after which its caller may retry.
    pub(crate) async fn admit(
        &self,
        shared: &Shared,
        organisation: &Organisation,
    ) -> Result<(), Duration> {
        let Some(limit) = QuotaLimit::of(organisation) else {
            return Ok(());
        };
        let held = self.held(shared, &organisation.name, limit);
        held.holder.lock().record_arrival(BootClock.now());
        loop {
            let ask_finished = held.ask_finished.notified();
            let admission = held.holder.lock().admit(BootClock.now());
            match admission {
                Admission::Admitted => return Ok(()),
                Admission::Refused(after) => {
                    let name = organisation.name.as_str().to_owned();
                    counter!(metric::OVER_QUOTA, "organisation" => name).increment(1);
                    return Err(after);
                }
                Admission::AnswerPending => {
                    // The request that sent the pending quota request may have been cancelled.
                    // This request therefore sends a quota request itself after the timeout.
                    let _ = timeout(PENDING_ASK_WAIT_MAX, ask_finished).await;
                }
                Admission::Ask(demand) => {
                    let grant = self.ask(shared, organisation, limit, demand).await;
                    let now = BootClock.now();
                    apply_reply(shared, organisation, &mut held.holder.lock(), grant, now);
                    held.ask_finished.notify_waiters();
                }
            }
        }
    }

    /// Returns the token of an admitted request that provably did not run.
    pub(crate) fn return_token(&self, name: &OrganisationName) {
        if let Some(held) = self.held.lock().get(name) {
            held.holder.lock().return_token(BootClock.now());
        }
    }

    /// Handles a quota request of the process on VM `holder_vm`.
    /// Grants tokens if this process is serving and ranked first among the usable counters.
    pub(crate) fn handle_ask(
        &self,
        shared: &Shared,
        (holder_vm, holder_boot): (&VmName, Boot),
        ask: &QuotaAsk,
    ) -> QuotaReply {
        if !shared.is_serving() || !self.is_counter(shared, &ask.organisation) {
            return QuotaReply::NotCounter;
        }
        let limit = shared.routing().and_then(|routing| {
            let mut organisations = routing.keys.organisations().iter();
            QuotaLimit::of(organisations.find(|known| known.name == ask.organisation)?)
        });
        match limit {
            Some(limit) => {
                let holder = (holder_vm, holder_boot);
                QuotaReply::Counted(self.grant_locally(shared, holder, ask, limit))
            }
            None => QuotaReply::NotCounter,
        }
    }

    /// Delivers the reply of another process to the waiting quota request.
    pub(crate) fn deliver(&self, number: QuotaRequestNumber, reply: QuotaReply) {
        self.pending_asks.deliver(number, reply);
    }

    /// Logs what this process granted as a counter, as far as lines are due.
    pub(crate) fn log_grants(&self, shared: &Shared, now: Timestamp) {
        for (organisation, LoggedCounter { log, .. }) in &mut *self.counters.lock() {
            if log.is_due(now) && shared.allows_request_log_line() {
                log.write(organisation, now);
            }
        }
    }

    /// Removes the state of organisations that the configuration no longer contains.
    pub(crate) fn retain_organisations(&self, organisations: &[Organisation]) {
        let is_known = |name: &OrganisationName| organisations.iter().any(|one| one.name == *name);
        self.held.lock().retain(|name, _| is_known(name));
        self.counters.lock().retain(|name, _| is_known(name));
        self.rankings.lock().retain(|name, _| is_known(name));
    }

    /// Returns the state dump of an organisation with the tokens and demand seen by this process.
    pub(crate) fn dump(&self, organisation: &Organisation, now: Timestamp) -> OrganisationDump {
        let name = &organisation.name;
        let held = self.held.lock().get(name).cloned();
        let held = held.as_ref().map(|held| held.holder.lock());
        let rate = organisation.rate_per_s.map(RequestRate::in_1000_s);
        OrganisationDump {
            name: name.clone(),
            rank: organisation.rank,
            rate_per_s: rate.map(|rate| rate as f64 / 1_000.0),
            burst: organisation.burst,
            key_digests: organisation.key_digests.clone(),
            tokens: held.as_ref().map_or(0, |holder| holder.tokens(now)),
            demand_per_s: held.as_ref().map_or(0.0, |holder| holder.demand_per_s(now)),
            counted_per_s: self.counters.lock().get(name).map(|one| one.counter.demand_per_s()),
        }
    }

    /// Returns the held tokens of an organisation with the current limit applied.
    fn held(&self, shared: &Shared, name: &OrganisationName, limit: QuotaLimit) -> Arc<HeldTokens> {
        let now = BootClock.now();
        let mut all = self.held.lock();
        if let Some(held) = all.get(name) {
            held.holder.lock().set_limit(limit, now);
            return held.clone();
        }
        let vms_max = shared.routing().map_or(1, |routing| routing.configuration.entry_vms_max);
        let holder = Mutex::new(QuotaHolder::new(limit, vms_max, now));
        let held = Arc::new(HeldTokens { holder, ask_finished: Notify::new() });
        all.insert(name.clone(), held.clone());
        held
    }

    /// Requests tokens from the organisation's counters in ranked order.
    /// Returns `None` if no counter grants.
    async fn ask(
        &self,
        shared: &Shared,
        organisation: &Organisation,
        limit: QuotaLimit,
        demand: TokenDemand,
    ) -> Option<QuotaGrant> {
        let ask = QuotaAsk {
            number: self.pending_asks.next_number(),
            organisation: organisation.name.clone(),
            wanted: demand.wanted,
            arrived: demand.arrived,
            own_admitted: demand.own_admitted,
        };
        let ranked_processes = self.ranked_processes(shared, &organisation.name);
        let now = BootClock.now();
        let is_usable = |process: &&Option<AllocatorAddress>| match process {
            Some(process) => !shared.allocation.is_skipped(&process.vm, now),
            None => !shared.is_stopping(),
        };
        for process in ranked_processes.iter().filter(is_usable).take(COUNTERS_PER_REQUEST_MAX) {
            let Some(process) = process else {
                let own = (shared.allocation.vm(), shared.boot);
                return Some(self.grant_locally(shared, own, &ask, limit));
            };
            match self.ask_process(shared, process.address, &ask).await {
                Some(QuotaReply::Counted(grant)) => return Some(grant),
                Some(QuotaReply::NotCounter) => {}
                None => {
                    shared.allocation.skip_process(&process.vm, BootClock.now());
                    info!("quota_unanswered", kv: {
                        organisation: = organisation.name, counter: = process.vm
                    });
                }
            }
        }
        None
    }

    /// Requests tokens from one process; returns `None` if no reply arrives within the timeouts.
    async fn ask_process(
        &self,
        shared: &Shared,
        address: SocketAddr,
        ask: &QuotaAsk,
    ) -> Option<QuotaReply> {
        let mut pending = self.pending_asks.register(ask.number);
        for reply_timeout in REPLY_TIMEOUTS {
            shared.allocation.send(address, Message::QuotaAsk(ask.clone()));
            if let Ok(Ok(reply)) = timeout(reply_timeout, &mut pending.reply).await {
                return Some(reply);
            }
        }
        None
    }

    /// Grants tokens as the counter of the organisation.
    fn grant_locally(
        &self,
        shared: &Shared,
        (holder_vm, holder_boot): (&VmName, Boot),
        ask: &QuotaAsk,
        limit: QuotaLimit,
    ) -> QuotaGrant {
        let now = BootClock.now();
        let Ranking { rank, is_settled, .. } = self.ranking(shared, &ask.organisation);
        let mut all = self.counters.lock();
        let new = || LoggedCounter {
            counter: if is_settled {
                QuotaCounter::new(limit, now)
            } else {
                QuotaCounter::with_empty_bucket(limit, now)
            },
            log: GrantLog::new(now),
        };
        let LoggedCounter { counter, log } =
            all.entry(ask.organisation.clone()).or_insert_with(new);
        counter.set_limit(limit, now);
        counter.set_share(rank.rate_share().fraction(), now);
        let QuotaAsk { number, wanted, arrived, own_admitted, .. } = *ask;
        let demand = TokenDemand { wanted, arrived, own_admitted };
        let request = TokenRequest { start: holder_boot.as_u64(), number: number.0, demand };
        let is_duplicate = counter.is_duplicate(holder_vm, request);
        let grant = counter.grant_tokens(holder_vm, request, now);
        if !is_duplicate {
            log.record(holder_vm, grant.tokens, rank, now);
        }
        if log.is_due(now) && shared.allows_request_log_line() {
            log.write(&ask.organisation, now);
        }
        QuotaGrant {
            tokens: grant.tokens,
            retry_after_ms: grant.retry_after.as_millis() as u32,
            own_rate_per_s: grant.own_rate_per_s,
        }
    }

    /// Returns whether this process is ranked first among the processes that are not skipped.
    fn is_counter(&self, shared: &Shared, name: &OrganisationName) -> bool {
        let now = BootClock.now();
        let ranked_processes = self.ranked_processes(shared, name);
        let mut usable = ranked_processes.iter().filter(|process| match process {
            Some(process) => !shared.allocation.is_skipped(&process.vm, now),
            None => true,
        });
        usable.next().is_some_and(Option::is_none)
    }

    fn ranked_processes(&self, shared: &Shared, name: &OrganisationName) -> RankedProcesses {
        self.ranking(shared, name).ranked_processes
    }

    /// Returns the ranking of an organisation's counters.
    /// The cached ranking is replaced after `RANKING_TTL` and when members have changed.
    fn ranking(&self, shared: &Shared, name: &OrganisationName) -> Ranking {
        let now = BootClock.now();
        let member_changes = shared.fleet.lock().members.changes();
        let is_fresh = |known: &&Ranking| {
            known.member_changes == member_changes && now.since(known.computed_at) < RANKING_TTL
        };
        if let Some(known) = self.rankings.lock().get(name).filter(is_fresh) {
            return known.clone();
        }
        let task = counter_task(name);
        let ranked_processes = shared.ranked_contacts(&task, now).into();
        let rank = shared.rank_for(&task, now);
        let is_settled = shared.fleet.lock().members.is_settled(now);
        let ranking =
            Ranking { ranked_processes, rank, is_settled, computed_at: now, member_changes };
        self.rankings.lock().insert(name.clone(), ranking.clone());
        ranking
    }
}

/// Returns the task string that processes are ranked by as counters of an organisation.
fn counter_task(name: &OrganisationName) -> String {
    format!("count {name}")
}

/// Applies the grant of a counter, or starts the fallback period if no counter has granted.
fn apply_reply(
    shared: &Shared,
    organisation: &Organisation,
    holder: &mut QuotaHolder,
    grant: Option<QuotaGrant>,
    now: Timestamp,
) {
    if let Some(grant) = grant {
        holder.apply_grant(&token_grant(grant), now);
        return;
    }
    holder.start_fallback(now);
    if shared.allows_request_log_line() {
        info!("quota_fallback", kv: {
            organisation: = organisation.name, own_rate_per_s = holder.own_rate_per_s()
        });
    }
}

fn token_grant(grant: QuotaGrant) -> TokenGrant {
    TokenGrant {
        tokens: grant.tokens,
        retry_after: Duration::from_millis(grant.retry_after_ms.into()),
        own_rate_per_s: grant.own_rate_per_s,
    }
}
