//! The order of processes for a task: the same wherever the same processes are known.
//!
//! Rendezvous hashing with weights: each process gets a number from its own name, the task's
//! and its VM's capacity. One that comes or goes changes the order of no two others, so that
//! little work moves. Work for the whole fleet should hardly ever fall on a small VM while
//! there are large ones, so the weight is the cube of the capacity.

use thymeshift_types::Capacity;
use thymeshift_types::VmName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Power of the capacity that a process is weighted by.
const CAPACITY_POWER: i32 = 3;
/// Name of the task in which the contacts of a data hall are ranked: they stand for their hall,
/// and new documents go from the first of them to the others.
pub(crate) const CONTACT_TASK: &str = "contact of a data hall";
/// Number of hashes there are.
const HASHES: f64 = 18_446_744_073_709_551_616.0;

/// A process that may be given a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its VM.
    pub vm: &'a VmName,
    /// Its VM's capacity.
    pub capacity: Capacity,
}

/// `candidates` in the order in which they are asked to do `task`.
pub fn ranked<'a>(task: &str, candidates: impl Iterator<Item = Candidate<'a>>) -> Vec<&'a VmName> {
    let seed = seed_of(task);
    let scored = candidates.map(|candidate| (score(candidate, seed), candidate.vm));
    let mut scored: Vec<(f64, &VmName)> = scored.collect();
    scored.sort_unstable_by(|(left, left_vm), (right, right_vm)| {
        left.total_cmp(right).then_with(|| left_vm.cmp(right_vm))
    });
    scored.into_iter().map(|(_, vm)| vm).collect()
}

/// A process's place among the contacts of its data hall; the smaller, the earlier.
pub(crate) fn contact_score(candidate: Candidate<'_>) -> f64 {
    score(candidate, seed_of(CONTACT_TASK))
}

/// What makes the order of one task differ from that of another.
fn seed_of(task: &str) -> u64 {
    xxh3_64_with_seed(task.as_bytes(), 0)
}

/// The smaller, the earlier: an exponential variable whose rate is the weight.
fn score(candidate: Candidate<'_>, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(candidate.vm.as_str().as_bytes(), seed);
    let even = (hash as f64 + 0.5) / HASHES;
    -even.ln() / candidate.capacity.processors().powi(CAPACITY_POWER)
}
