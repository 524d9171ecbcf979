//! Data halls as small numbers, and what the way between them costs.

use std::time::Duration;

use thymeshift_types::DataHallName;

/// A data hall, as numbered by one dispatcher. The first is its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HallIndex(u16);

/// The data halls seen so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Halls {
    names: Vec<DataHallName>,
    one_way: Duration,
    detour: Duration,
}

impl Halls {
    /// Numbers the own hall first, and notes the time of one way between two, and how much
    /// longer an answer may take to spare that way.
    pub(crate) fn set(&mut self, own: &DataHallName, one_way: Duration, detour: Duration) {
        if self.names.first() != Some(own) {
            self.names = vec![own.clone()];
        }
        self.one_way = one_way;
        self.detour = detour;
    }

    /// The number of a hall.
    pub(crate) fn index(&mut self, name: &DataHallName) -> HallIndex {
        let known = self.names.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        HallIndex(index as u16)
    }

    /// Time there and back, in microseconds.
    pub(crate) fn way_us(&self, from: HallIndex, to: HallIndex) -> f64 {
        if from == to { 0.0 } else { 2.0 * self.one_way.as_micros() as f64 }
    }

    /// What the way costs in a choice, in microseconds: its time, and what it is worth to
    /// spare it.
    pub(crate) fn cost_us(&self, from: HallIndex, to: HallIndex) -> f64 {
        let detour = if from == to { 0.0 } else { self.detour.as_micros() as f64 };
        self.way_us(from, to) + detour
    }
}
