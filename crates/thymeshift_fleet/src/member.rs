//! One process as it describes itself, and what others believe of it.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::Revision;
use thymeshift_types::VmName;

use crate::Candidate;

/// Tells two starts of a process on one VM apart. Larger is later.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct Boot(u64);

impl Boot {
    /// A start with this number; processes take the wall clock in milliseconds.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

/// What a process says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It is starting and serves nobody yet.
    #[display("starting")]
    Starting,
    /// It serves.
    #[display("serving")]
    Serving,
    /// It is stopping.
    #[display("stopping")]
    Stopping,
}

/// One process as it describes itself; passed on unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM.
    pub vm: VmName,
    /// Its start.
    pub boot: Boot,
    /// Counts up while it runs.
    pub heartbeat: u64,
    /// Where peers connect to it.
    pub peer_address: SocketAddr,
    /// Where the operators' program connects to it.
    pub control_address: SocketAddr,
    /// Where its datagrams arrive, if it takes any.
    pub datagram_address: Option<SocketAddr>,
    /// Its data hall.
    pub data_hall: DataHallName,
    /// Its VM's capacity.
    pub capacity: Capacity,
    /// What it says of itself.
    pub phase: Phase,
    /// The configuration's revision in force there.
    pub revision: Option<Revision>,
}

impl Member {
    /// This process as one that may be given a task.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate { vm: &self.vm, capacity: self.capacity }
    }

    /// Whether `other`, a later word of the same process, may be given other tasks.
    pub(crate) fn has_another_part(&self, other: &Self) -> bool {
        (self.boot, self.phase, self.datagram_address)
            != (other.boot, other.phase, other.datagram_address)
    }

    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.boot, self.heartbeat) > (other.boot, other.heartbeat)
    }
}

/// What this process believes of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// Its heartbeat goes on.
    #[display("alive")]
    Alive,
    /// Its heartbeat stands still, or it did not answer.
    #[display("suspect")]
    Suspect,
    /// It has been silent for long, or it stopped as planned.
    #[display("gone")]
    Gone,
}

/// A member and what is believed of it, for people and programs to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDump {
    /// What it said of itself.
    pub member: Member,
    /// What this process believes.
    pub liveness: Liveness,
    /// Time since its heartbeat was last seen to go on, in milliseconds.
    pub silent_ms: u64,
}
