//! Explanation of how a given request would be routed now, for operators.

use std::time::Duration;

use thymeshift_config::Adjustment;
use thymeshift_config::RequestHead;
use thymeshift_dispatch::CallerSharesDump;
use thymeshift_dispatch::ServiceDump;
use thymeshift_dispatch::TargetDump;
use thymeshift_dispatch::Usability;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use thymeshift_wire::ExplainRequest;
use thymeshift_wire::Explanation;

use crate::routing::KindRuntime;
use crate::routing::Routing;

/// Adapter that lets the matching rules read the request to be explained.
struct RequestView<'a>(&'a ExplainRequest);

impl RequestHead for RequestView<'_> {
    fn method(&self) -> &str {
        &self.0.method
    }

    fn host(&self) -> Option<&str> {
        self.0.host.as_deref()
    }

    fn path(&self) -> &str {
        self.0.path.split('?').next().unwrap_or_default()
    }

    fn has_header(&self, name: &str, value: &str) -> bool {
        let header = self.0.header.as_ref();
        header.is_some_and(|header| header.name.eq_ignore_ascii_case(name) && header.value == value)
    }
}

/// Returns the kind, service and targets that `request` would be routed to. `adjustments` are the values
/// of the configuration that are not in force as published, and `behind_for` is the time for which a
/// newer configuration has been known.
pub(crate) fn explain(
    routing: Option<&Routing>,
    adjustments: &[Adjustment],
    behind_for: Option<Duration>,
    request: &ExplainRequest,
) -> Explanation {
    let explanation = explain_in_force(routing, adjustments, request);
    Explanation { verdict: explanation.verdict + &lag_note(behind_for), ..explanation }
}

fn lag_note(behind_for: Option<Duration>) -> String {
    behind_for.map_or_else(String::new, |behind_for| {
        let behind_ms = behind_for.as_millis();
        format!("; this process is behind: a newer configuration has been known for {behind_ms} ms")
    })
}

fn explain_in_force(
    routing: Option<&Routing>,
    adjustments: &[Adjustment],
    request: &ExplainRequest,
) -> Explanation {
    let Some(routing) = routing else {
        return not_routed("refused: no configuration is in force yet");
    };
    let view = RequestView(request);
    let kinds = &routing.configuration.kinds;
    let index = routing.configuration.kind_of(&view);
    let earlier_kinds = &kinds[..index.unwrap_or(kinds.len())];
    let passed_over = earlier_kinds.iter().map(|kind| kind.name.clone()).collect();
    let Some(kind) = routing.kind_of(&view) else {
        let verdict = "refused: the rules of no kind match";
        return Explanation { passed_over, ..not_routed(verdict) };
    };
    let now = BootClock.now();
    let ServiceDump { mut targets, callers, .. } = kind.service.dump(now);
    targets.sort_by_key(|target| (target.usability != Usability::Open, target.expected_us));
    Explanation {
        kind: Some(kind.kind.name.clone()),
        passed_over,
        service: Some(kind.kind.service.clone()),
        verdict: verdict(kind, &targets, callers, now)
            + &reserve_note(kind, now)
            + &adjustment_note(kind, adjustments),
        targets,
    }
}

/// Describes when the hall's group redirects the request, if the group keeps a reserve and this
/// process allocates it.
fn reserve_note(kind: &KindRuntime, now: Timestamp) -> String {
    let reserve = kind.service.reserve_above(kind.metrics.answer_kib(), now);
    let note = reserve.map(|reserve| {
        format!("; redirected to another hall while at most {reserve} slots of this hall are spare")
    });
    note.unwrap_or_default()
}

/// Describes the values of the kind and its service that are not in force as published.
fn adjustment_note(kind: &KindRuntime, adjustments: &[Adjustment]) -> String {
    let kind_place = format!("kinds.{}", kind.kind.name);
    let service_place = format!("services.{}", kind.kind.service);
    let is_within = |place: &str, part: &str| {
        place.strip_prefix(part).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    let own = adjustments.iter().filter(|Adjustment { place, .. }| {
        is_within(place, &kind_place) || is_within(place, &service_place)
    });
    let notes: Vec<String> =
        own.map(|adjustment| format!("; not as published: {adjustment}")).collect();
    notes.concat()
}

fn not_routed(verdict: &str) -> Explanation {
    Explanation {
        kind: None,
        passed_over: Vec::new(),
        service: None,
        targets: Vec::new(),
        verdict: verdict.to_owned(),
    }
}

/// Returns the result in words, with the wait for a target in the data hall of this process.
fn verdict(
    kind: &KindRuntime,
    targets: &[TargetDump],
    callers: Option<CallerSharesDump>,
    now: Timestamp,
) -> String {
    let verdict = dispatch_verdict(kind, targets, callers);
    match kind.current_local_wait(now).as_millis() {
        0 => verdict,
        wait_ms => format!(
            "{verdict}; waits up to {wait_ms} ms for a target in its own data hall before it is \
             sent to another one"
        ),
    }
}

fn dispatch_verdict(
    kind: &KindRuntime,
    targets: &[TargetDump],
    callers: Option<CallerSharesDump>,
) -> String {
    let strategy = kind.service.settings().strategy;
    let open = targets.iter().filter(|target| target.usability == Usability::Open).count();
    let may_become_open = |target: &&TargetDump| {
        matches!(
            target.usability,
            Usability::AtLimit
                | Usability::SlowSpell
                | Usability::Ejected
                | Usability::BackingOff
                | Usability::RateLimited
                | Usability::Cold
        )
    };
    if open > 0 {
        format!("sent at once: {open} of {} targets are open, chosen by {strategy}", targets.len())
    } else if targets.iter().any(|target| may_become_open(&target)) {
        let order = callers.map_or("", |_| ", callers who ask for less go first");
        format!("waits up to {} ms: no target is open now{order}", kind.kind.wait_max_ms)
    } else {
        "refused: every target is leaving or stopped".to_owned()
    }
}
