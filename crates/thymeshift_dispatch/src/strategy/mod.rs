//! Load-balancing strategies, one per file.

mod any;
mod candidates;
mod expected_time;
mod latency_two_choices;
mod least_in_flight;
mod random;
mod round_robin;
mod two_choices;

use rand::Rng;

pub use any::AnyStrategy;
pub use candidates::Candidate;
pub use candidates::Candidates;
pub use expected_time::ExpectedTime;
pub use latency_two_choices::LatencyTwoChoices;
pub use least_in_flight::LeastInFlight;
pub use random::Random;
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;

pub(crate) use candidates::Reach;

use crate::TargetIndex;

/// Policy that chooses one of the candidate targets of a request.
pub trait Strategy {
    /// Returns the chosen target, or `None` if there are no candidates.
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex>;
}
