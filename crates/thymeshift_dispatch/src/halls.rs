//! Data halls as small numbers, and what the way between them costs.

use std::time::Duration;

use thymeshift_types::DataHallName;

/// Length of answers, in KiB, up to which the configured detour counts as it is: a page, not a file.
const DETOUR_KIB: f64 = 8.0;
/// Largest part by which the detour grows for long answers: callers of files wait for seconds.
const DETOUR_FACTOR_MAX: f64 = 16.0;

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
    pub(crate) fn hall_round_trip_us(&self, from: HallIndex, to: HallIndex) -> f64 {
        if from == to { 0.0 } else { 2.0 * self.one_way.as_micros() as f64 }
    }

    /// What the way costs in a choice, in microseconds: its time, and what it is worth to
    /// spare it. That grows with the length of the answer.
    pub(crate) fn cost_us(&self, from: HallIndex, to: HallIndex, answer_kib: u32) -> f64 {
        if from == to {
            return 0.0;
        }
        let length = f64::from(answer_kib) / DETOUR_KIB;
        let detour_us = self.detour.as_micros() as f64 * length.clamp(1.0, DETOUR_FACTOR_MAX);
        self.hall_round_trip_us(from, to) + detour_us
    }
}
