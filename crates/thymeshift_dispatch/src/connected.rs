//! The targets to which the process that asks has an idle connection.
//!
//! What it does: names a few targets by short marks of their addresses. Two targets may share
//! a mark: whoever takes one for the other opens a connection that it did not expect to open.
//!
//! Why: opening a connection takes a way there and back, occupies a slot of the target for a
//! moment and costs both sides work. In a large fleet a process seldom meets the same target
//! twice before an idle connection is closed, unless targets are chosen for that.

use std::net::IpAddr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Targets named at most: enough that one of them has room, few enough for a short message.
const NAMED_MAX: usize = 8;

/// A short mark of a target's address, the same on every VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressMark(u16);

impl AddressMark {
    /// The mark of an address.
    pub fn of(address: SocketAddr) -> Self {
        let mut bytes = match address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        bytes.extend(address.port().to_be_bytes());
        Self(xxh3_64(&bytes) as u16)
    }
}

/// Marks of a few targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connected {
    marks: [Option<AddressMark>; NAMED_MAX],
}

impl Connected {
    /// The first few of `marks`.
    pub fn new(marks: impl IntoIterator<Item = AddressMark>) -> Self {
        let mut connected = Self::default();
        for (place, mark) in connected.marks.iter_mut().zip(marks) {
            *place = Some(mark);
        }
        connected
    }

    /// Whether a target is among them.
    pub fn has(&self, mark: AddressMark) -> bool {
        self.marks.contains(&Some(mark))
    }

    /// The marks.
    pub fn iter(&self) -> impl Iterator<Item = AddressMark> + '_ {
        self.marks.iter().flatten().copied()
    }
}
