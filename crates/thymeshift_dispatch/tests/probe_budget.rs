//! Probes of an allocator follow the requests that it is asked for.

use quickcheck::quickcheck;
use thymeshift_dispatch::ProbeBudget;

/// Probes at the beginning, and for each request.
const AT_FIRST: usize = 160;
const FOR_EACH: usize = 10;

quickcheck! {
    /// In whatever order requests come and probes begin, there are never more probes than the
    /// requests are worth.
    fn probes_never_exceed_what_requests_are_worth(steps: Vec<(bool, u8)>) -> bool {
        let mut budget = ProbeBudget::default();
        let (mut requests, mut probes) = (0, 0);
        for (is_request, wanted) in steps {
            if is_request {
                budget.record_request();
                requests += 1;
            } else {
                let begun = usize::from(wanted).min(budget.available());
                budget.spend(begun);
                probes += begun;
            }
        }
        probes <= AT_FIRST + FOR_EACH * requests
    }
}
