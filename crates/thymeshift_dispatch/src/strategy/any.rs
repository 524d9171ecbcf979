//! A strategy chosen by name in the configuration, without dynamic dispatch.

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

/// One of the strategies of this crate.
#[derive(Debug, Clone)]
pub enum AnyStrategy {
    /// See [`Random`].
    Random(Random),
    /// See [`RoundRobin`].
    RoundRobin(RoundRobin),
    /// See [`LeastInFlight`].
    LeastInFlight(LeastInFlight),
    /// See [`TwoChoices`].
    TwoChoices(TwoChoices),
    /// See [`LatencyTwoChoices`].
    LatencyTwoChoices(LatencyTwoChoices),
    /// See [`ExpectedTime`].
    ExpectedTime(ExpectedTime),
}

impl AnyStrategy {
    /// The strategy called `name`.
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

    /// Its name.
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
