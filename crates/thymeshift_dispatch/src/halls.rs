//! Indices of data halls, and the network cost between two halls.

use std::time::Duration;

use thymeshift_types::DataHallName;

/// Answer length in KiB up to which the configured detour applies unscaled, about that of a page.
const DETOUR_ANSWER_KIB: f64 = 8.0;
/// Largest factor on the detour for long answers: callers that download files wait for seconds.
const DETOUR_LENGTH_FACTOR_MAX: f64 = 16.0;

/// Index of a data hall within one dispatcher; 0 is the dispatcher's own data hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HallIndex(u16);

impl HallIndex {
    pub(crate) fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

/// Names of the data halls seen so far, by index, and the network times between two halls.
#[derive(Debug, Clone, Default)]
pub(crate) struct Halls {
    names: Vec<DataHallName>,
    one_way: Duration,
    detour: Duration,
}

impl Halls {
    /// Sets the own hall as index 0, the one-way network time between two halls, and the detour:
    /// how much longer an answer from the own hall may take before another hall is preferred.
    pub(crate) fn set(&mut self, own: &DataHallName, one_way: Duration, detour: Duration) {
        if self.names.first() != Some(own) {
            self.names = vec![own.clone()];
        }
        self.one_way = one_way;
        self.detour = detour;
    }

    /// Returns the index of a data hall, and assigns the next free index to an unknown name.
    pub(crate) fn index(&mut self, name: &DataHallName) -> HallIndex {
        let known = self.names.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        HallIndex(index as u16)
    }

    /// Returns the network round trip between two halls, in microseconds.
    pub(crate) fn hall_round_trip_us(&self, from: HallIndex, to: HallIndex) -> f64 {
        if from == to { 0.0 } else { 2.0 * self.one_way.as_micros() as f64 }
    }

    /// Returns the cost of the network between two halls in the choice of a target, in
    /// microseconds: the round trip plus the detour, which grows with the length of the answer.
    pub(crate) fn cost_us(&self, from: HallIndex, to: HallIndex, answer_kib: u32) -> f64 {
        if from == to {
            return 0.0;
        }
        let length_factor = f64::from(answer_kib) / DETOUR_ANSWER_KIB;
        let detour_us =
            self.detour.as_micros() as f64 * length_factor.clamp(1.0, DETOUR_LENGTH_FACTOR_MAX);
        self.hall_round_trip_us(from, to) + detour_us
    }
}
