//! The limits of organisations: tokens held here, and those that this process counts for all.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use spdlog::info;
use thymeshift_config::Organisation;
use thymeshift_config::RequestRate;
use thymeshift_dispatch::RateShare;
use thymeshift_organisations::Admission;
use thymeshift_organisations::QuotaCounter;
use thymeshift_organisations::QuotaHolder;
use thymeshift_organisations::QuotaLimit;
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
use thymeshift_wire::QuestionNumber;
use thymeshift_wire::QuotaAsk;
use thymeshift_wire::QuotaGrant;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::organisations::QuotaReply;
use crate::organisations::questions::Questions;
use crate::shared::RankedProcesses;
use crate::shared::Shared;

/// Waits for a counter's answer, after each of which but the last the question is sent again: a
/// datagram may be lost. All of them together bear two ways between regions, and a VM that is busy.
const ANSWER_WAITS: [Duration; 3] =
    [Duration::from_millis(25), Duration::from_millis(25), Duration::from_millis(55)];
/// Longest wait for the answer to a question of another request.
const OTHERS_ANSWER_LIMIT: Duration = Duration::from_millis(200);
/// Counters asked for one request.
const COUNTERS_ASKED_MAX: usize = 2;
/// Time after which the ranking of counters is worked out anew, unless members change.
const ORDER_KEPT: Duration = Duration::from_secs(1);

/// The organisations of which this process holds or counts tokens.
#[derive(Default)]
pub(crate) struct Quotas {
    held: Mutex<HashMap<OrganisationName, Arc<Held>>>,
    counted: Mutex<HashMap<OrganisationName, QuotaCounter<VmName>>>,
    rankings: Mutex<HashMap<OrganisationName, Ranking>>,
    questions: Questions,
}

/// Tokens of one organisation.
struct Held {
    holder: Mutex<QuotaHolder>,
    /// Rings when a counter has answered, or has not.
    answered: Notify,
}

/// The order of an organisation's counters, while it is fresh.
#[derive(Clone)]
struct Ranking {
    order: RankedProcesses,
    /// The part of the limit that this process may hand out, should it be asked.
    share: RateShare,
    made_at: Timestamp,
    changes: u64,
}

impl Quotas {
    /// Admits a request of `organisation`, or tells after what time its caller may come back.
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
            let answered = held.answered.notified();
            let passed = held.holder.lock().admit(BootClock.now());
            match passed {
                Admission::Admitted => return Ok(()),
                Admission::Refused(after) => {
                    let name = organisation.name.as_str().to_owned();
                    counter!(metric::OVER_QUOTA, "organisation" => name).increment(1);
                    return Err(after);
                }
                Admission::AnswerPending => {
                    // Should whoever asked have left, this request asks after the limit.
                    let _ = timeout(OTHERS_ANSWER_LIMIT, answered).await;
                }
                Admission::Ask { wanted, arrived } => {
                    let told = self.ask(shared, organisation, limit, wanted, arrived).await;
                    let now = BootClock.now();
                    let mut holder = held.holder.lock();
                    match told {
                        Some(told) => holder.apply_grant(&counted(told), now),
                        None => holder.start_fallback(now),
                    }
                    drop(holder);
                    held.answered.notify_waiters();
                }
            }
        }
    }

    /// A request that was admitted has provably not run.
    pub(crate) fn give_back(&self, name: &OrganisationName) {
        if let Some(held) = self.held.lock().get(name) {
            held.holder.lock().return_token(BootClock.now());
        }
    }

    /// A process asks this one, which counts unless another ranks before it.
    pub(crate) fn asked(&self, shared: &Shared, asker: &VmName, ask: &QuotaAsk) -> QuotaReply {
        if !shared.is_serving() || !self.is_counted_here(shared, &ask.organisation) {
            return QuotaReply::Elsewhere;
        }
        let limit = shared.routing().and_then(|routing| {
            let mut organisations = routing.keys.organisations().iter();
            QuotaLimit::of(organisations.find(|known| known.name == ask.organisation)?)
        });
        match limit {
            Some(limit) => QuotaReply::Counted(self.count(shared, asker, ask, limit)),
            None => QuotaReply::Elsewhere,
        }
    }

    pub(crate) fn replied(&self, number: QuestionNumber, reply: QuotaReply) {
        self.questions.replied(number, reply);
    }

    /// Forgets organisations that are gone.
    pub(crate) fn keep_only(&self, organisations: &[Organisation]) {
        let is_known = |name: &OrganisationName| organisations.iter().any(|one| one.name == *name);
        self.held.lock().retain(|name, _| is_known(name));
        self.counted.lock().retain(|name, _| is_known(name));
        self.rankings.lock().retain(|name, _| is_known(name));
    }

    /// An organisation as this process sees it.
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
            counted_per_s: self.counted.lock().get(name).map(QuotaCounter::demand_per_s),
        }
    }

    fn held(&self, shared: &Shared, name: &OrganisationName, limit: QuotaLimit) -> Arc<Held> {
        let now = BootClock.now();
        let mut all = self.held.lock();
        if let Some(held) = all.get(name) {
            held.holder.lock().set_limit(limit, now);
            return held.clone();
        }
        let vms_max = shared.routing().map_or(1, |routing| routing.configuration.entry_vms_max);
        let holder = Mutex::new(QuotaHolder::new(limit, vms_max, now));
        let held = Arc::new(Held { holder, answered: Notify::new() });
        all.insert(name.clone(), held.clone());
        held
    }

    /// Asks the counter of an organisation; none if no counter answers.
    async fn ask(
        &self,
        shared: &Shared,
        organisation: &Organisation,
        limit: QuotaLimit,
        wanted: u32,
        arrived: u32,
    ) -> Option<QuotaGrant> {
        let ask = QuotaAsk {
            number: self.questions.next_number(),
            organisation: organisation.name.clone(),
            wanted,
            arrived,
        };
        let order = self.order(shared, &organisation.name);
        let now = BootClock.now();
        let is_usable = |place: &&Option<AllocatorAddress>| match place {
            Some(place) => !shared.allocation.is_skipped(&place.vm, now),
            None => !shared.is_stopping(),
        };
        for place in order.iter().filter(is_usable).take(COUNTERS_ASKED_MAX) {
            let Some(place) = place else {
                return Some(self.count(shared, shared.allocation.vm(), &ask, limit));
            };
            match self.question(shared, place.address, &ask).await {
                Some(QuotaReply::Counted(told)) => return Some(told),
                Some(QuotaReply::Elsewhere) => {}
                None => {
                    shared.allocation.skip_process(&place.vm, BootClock.now());
                    info!("quota_unanswered", kv: {
                        organisation: = organisation.name, counter: = place.vm
                    });
                }
            }
        }
        None
    }

    /// Asks one process; none if it does not answer.
    async fn question(
        &self,
        shared: &Shared,
        address: SocketAddr,
        ask: &QuotaAsk,
    ) -> Option<QuotaReply> {
        let mut question = self.questions.open(ask.number);
        for limit in ANSWER_WAITS {
            shared.allocation.send(address, Message::QuotaAsk(ask.clone()));
            if let Ok(Ok(reply)) = timeout(limit, &mut question.reply).await {
                return Some(reply);
            }
        }
        None
    }

    fn count(
        &self,
        shared: &Shared,
        asker: &VmName,
        ask: &QuotaAsk,
        limit: QuotaLimit,
    ) -> QuotaGrant {
        let now = BootClock.now();
        let share = self.ranking(shared, &ask.organisation).share;
        let mut all = self.counted.lock();
        let new = || QuotaCounter::new(limit, now);
        let counter = all.entry(ask.organisation.clone()).or_insert_with(new);
        counter.set_limit(limit, now);
        counter.set_share(share.fraction(), now);
        let question =
            TokenRequest { number: ask.number.0, wanted: ask.wanted, arrived: ask.arrived };
        let answer = counter.grant_tokens(asker, question, now);
        QuotaGrant {
            tokens: answer.tokens,
            retry_after_ms: answer.retry_after.as_millis() as u32,
            own_rate_per_s: answer.own_rate_per_s,
        }
    }

    /// Whether no process that answers ranks before this one.
    fn is_counted_here(&self, shared: &Shared, name: &OrganisationName) -> bool {
        let now = BootClock.now();
        let order = self.order(shared, name);
        let mut usable = order.iter().filter(|place| match place {
            Some(place) => !shared.allocation.is_skipped(&place.vm, now),
            None => true,
        });
        usable.next().is_some_and(Option::is_none)
    }

    fn order(&self, shared: &Shared, name: &OrganisationName) -> RankedProcesses {
        self.ranking(shared, name).order
    }

    fn ranking(&self, shared: &Shared, name: &OrganisationName) -> Ranking {
        let now = BootClock.now();
        let changes = shared.fleet.lock().members.changes();
        let is_fresh =
            |known: &&Ranking| known.changes == changes && now.since(known.made_at) < ORDER_KEPT;
        if let Some(known) = self.rankings.lock().get(name).filter(is_fresh) {
            return known.clone();
        }
        let task = counter_task(name);
        let order = shared.ranked_contacts(&task, now).into();
        let share = shared.rank_for(&task, now).rate_share();
        let made = Ranking { order, share, made_at: now, changes };
        self.rankings.lock().insert(name.clone(), made.clone());
        made
    }
}

/// What processes are ranked for as counters of an organisation.
fn counter_task(name: &OrganisationName) -> String {
    format!("count {name}")
}

fn counted(told: QuotaGrant) -> TokenGrant {
    TokenGrant {
        tokens: told.tokens,
        retry_after: Duration::from_millis(told.retry_after_ms.into()),
        own_rate_per_s: told.own_rate_per_s,
    }
}
