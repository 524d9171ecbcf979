//! The number of an allocator's probes is bounded by the number of targets requested from it.

use quickcheck::quickcheck;
use thymeshift_dispatch::ProbeBudget;

/// Number of probes that a new budget allows before the first request.
const INITIAL_PROBES: usize = 160;
/// Number of probes that each request adds to the budget.
const PROBES_PER_REQUEST: usize = 10;

quickcheck! {
    /// The number of probes never exceeds the initial budget plus the probes earned by the requests
    /// so far, for any order of requests and probes.
    fn probes_never_exceed_what_requests_have_earned(steps: Vec<(bool, u8)>) -> bool {
        let mut budget = ProbeBudget::default();
        let (mut requests, mut probes) = (0, 0);
        for (is_request, requested) in steps {
            if is_request {
                budget.record_request();
                requests += 1;
            } else {
                let started = usize::from(requested).min(budget.available());
                budget.spend(started);
                probes += started;
            }
        }
        probes <= INITIAL_PROBES + PROBES_PER_REQUEST * requests
    }
}
