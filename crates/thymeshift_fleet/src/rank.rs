//! Rankings of processes for a task; processes that know the same
//! members compute the same ranking.
//!
//! This is weighted rendezvous hashing: the score of a process depends only on its own name,
//! the task's name and the capacity of its VM. A process that joins or leaves
//! does not change the relative order of any two others, so little work moves.
//! Work for the whole fleet should rarely be assigned to a small VM while large ones are
//! available, so the weight is the cube of the capacity.

use thymeshift_types::Capacity;
use thymeshift_types::VmName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exponent applied to a VM's capacity to get its weight in rankings.
const CAPACITY_EXPONENT: i32 = 3;
/// Name of the task that ranks the contacts of a data hall. Contacts represent their hall in other
/// halls, and new documents spread from the first contact to the rest of the hall.
pub(crate) const CONTACT_TASK: &str = "contact of a data hall";
/// Number of distinct 64-bit hash values.
const HASH_COUNT: f64 = 18_446_744_073_709_551_616.0;

/// A process that is eligible for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// VM that the process runs on.
    pub vm: &'a VmName,
    /// Capacity of the process's VM.
    pub capacity: Capacity,
}

/// Returns the VMs of `candidates` in ranking order for `task`, first choice first.
pub fn ranked<'a>(task: &str, candidates: impl Iterator<Item = Candidate<'a>>) -> Vec<&'a VmName> {
    let seed = seed_of(task);
    let scored = candidates.map(|candidate| (score(candidate, seed), candidate.vm));
    let mut scored: Vec<(f64, &VmName)> = scored.collect();
    scored.sort_unstable_by(|(left, left_vm), (right, right_vm)| {
        left.total_cmp(right).then_with(|| left_vm.cmp(right_vm))
    });
    scored.into_iter().map(|(_, vm)| vm).collect()
}

/// Returns the score of a process among the contacts of its data hall;
/// the lowest score ranks first.
pub(crate) fn contact_score(candidate: Candidate<'_>) -> f64 {
    score(candidate, seed_of(CONTACT_TASK))
}

/// Returns the hash seed of a task, so that different tasks get independent rankings.
fn seed_of(task: &str) -> u64 {
    xxh3_64_with_seed(task.as_bytes(), 0)
}

/// Returns the score of a candidate; the lowest score ranks first.
/// The score is an exponentially distributed value whose rate is the candidate's weight.
fn score(candidate: Candidate<'_>, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(candidate.vm.as_str().as_bytes(), seed);
    let uniform = (hash as f64 + 0.5) / HASH_COUNT;
    -uniform.ln() / candidate.capacity.processors().powi(CAPACITY_EXPONENT)
}
