//! Self-descriptions of processes, and the liveness that other processes assign to them.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::Revision;
use thymeshift_types::VmName;

use crate::Candidate;

/// Distinguishes successive starts of a process on the same VM; a later start has a larger value.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct Boot(u64);

impl Boot {
    /// Creates a boot identifier; processes use the wall clock in milliseconds. The wall clock may
    /// step back, so a process that learns of a later boot of its VM raises its own above it.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the boot identifier as a number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the smallest boot identifier that is later than this one.
    pub(crate) const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Lifecycle phase that a process reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The process is starting and accepts no requests yet.
    #[display("starting")]
    Starting,
    /// The process accepts requests.
    #[display("serving")]
    Serving,
    /// The process is shutting down.
    #[display("stopping")]
    Stopping,
}

/// Self-description of a process, relayed unchanged by other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Boot of the process; larger for a later start on the same VM.
    pub boot: Boot,
    /// Counter that the process increments while it runs.
    pub heartbeat: u64,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    /// Address that `thymeshiftctl` connects to.
    pub control_address: SocketAddr,
    /// Address that receives the process's datagrams; `None` if the process accepts none.
    pub datagram_address: Option<SocketAddr>,
    /// Data hall that the process runs in.
    pub data_hall: DataHallName,
    /// Capacity of the process's VM.
    pub capacity: Capacity,
    /// Lifecycle phase of the process.
    pub phase: Phase,
    /// Revision of the configuration in force at the process.
    pub revision: Option<Revision>,
}

impl Member {
    /// Returns this process as a candidate for rankings.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate { vm: &self.vm, capacity: self.capacity }
    }

    /// Returns whether `other`, a later description of the same process,
    /// may change rankings or assignments.
    pub(crate) fn differs_for_ranking(&self, other: &Self) -> bool {
        (self.boot, self.phase, self.datagram_address)
            != (other.boot, other.phase, other.datagram_address)
    }

    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.boot, self.heartbeat) > (other.boot, other.heartbeat)
    }
}

/// Liveness that this process assigns to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// The process's heartbeat counter advances.
    #[display("alive")]
    Alive,
    /// The heartbeat counter has stopped advancing, or a call to the process was not answered.
    #[display("suspect")]
    Suspect,
    /// The process has been silent for a long time, or has stopped as planned.
    #[display("gone")]
    Gone,
}

/// A member with its assigned liveness, as shown in the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDump {
    /// Last self-description received from the member.
    pub member: Member,
    /// Liveness that this process assigns to the member.
    pub liveness: Liveness,
    /// Time since the member's heartbeat was last seen to advance, in milliseconds.
    pub silent_ms: u64,
}
