//! Load-balancing strategy selected by name in the configuration. Enum dispatch keeps trait objects
//! off the request path.

use rand::Rng;
use thymeshift_config::StrategyName;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::ExpectedTime;
use crate::strategy::LatencyTwoChoices;
use crate::strategy::LeastInFlight;
use crate::strategy::Random;
use crate::strategy::RoundRobin;
use crate::strategy::Strategy;
use crate::strategy::TwoChoices;

/// Any of the load-balancing strategies of this crate.
#[derive(Debug, Clone)]
pub enum AnyStrategy {
    /// Uniformly random choice, see [`Random`].
    Random(Random),
    /// Next target in index order, see [`RoundRobin`].
    RoundRobin(RoundRobin),
    /// Fewest requests in flight from this VM, see [`LeastInFlight`].
    LeastInFlight(LeastInFlight),
    /// Power of two choices by requests in flight, see [`TwoChoices`].
    TwoChoices(TwoChoices),
    /// Power of two choices by latency and requests in flight, see [`LatencyTwoChoices`].
    LatencyTwoChoices(LatencyTwoChoices),
    /// Smallest expected response time, see [`ExpectedTime`].
    ExpectedTime(ExpectedTime),
}

impl AnyStrategy {
    /// Creates the strategy that the configuration calls `name`.
    pub fn new(name: StrategyName) -> Self {
        match name {
            StrategyName::Random => Self::Random(Random),
            StrategyName::RoundRobin => Self::RoundRobin(RoundRobin::default()),
            StrategyName::LeastInFlight => Self::LeastInFlight(LeastInFlight),
            StrategyName::TwoChoices => Self::TwoChoices(TwoChoices),
            StrategyName::LatencyTwoChoices => Self::LatencyTwoChoices(LatencyTwoChoices),
            StrategyName::ExpectedTime => Self::ExpectedTime(ExpectedTime),
        }
    }

    /// Returns the name that selects this strategy in the configuration.
    pub fn name(&self) -> StrategyName {
        match self {
            Self::Random(_) => StrategyName::Random,
            Self::RoundRobin(_) => StrategyName::RoundRobin,
            Self::LeastInFlight(_) => StrategyName::LeastInFlight,
            Self::TwoChoices(_) => StrategyName::TwoChoices,
            Self::LatencyTwoChoices(_) => StrategyName::LatencyTwoChoices,
            Self::ExpectedTime(_) => StrategyName::ExpectedTime,
        }
    }
}

impl Strategy for AnyStrategy {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        match self {
            Self::Random(strategy) => strategy.choose(candidates, rng),
            Self::RoundRobin(strategy) => strategy.choose(candidates, rng),
            Self::LeastInFlight(strategy) => strategy.choose(candidates, rng),
            Self::TwoChoices(strategy) => strategy.choose(candidates, rng),
            Self::LatencyTwoChoices(strategy) => strategy.choose(candidates, rng),
            Self::ExpectedTime(strategy) => strategy.choose(candidates, rng),
        }
    }
}
