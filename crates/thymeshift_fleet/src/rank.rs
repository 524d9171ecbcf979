//! The order of processes for a task: the same wherever the same processes are known.
//!
//! Rendezvous hashing: each process gets a number from its own name and the task's. One that
//! comes or goes changes the order of no two others, so that little work moves.

use thymeshift_types::VmName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `members` in the order in which they are asked to do `task`.
pub fn ranked<'a>(task: &str, members: impl Iterator<Item = &'a VmName>) -> Vec<&'a VmName> {
    let seed = xxh3_64_with_seed(task.as_bytes(), 0);
    let mut ranked: Vec<&VmName> = members.collect();
    ranked.sort_by_cached_key(|vm| (xxh3_64_with_seed(vm.as_str().as_bytes(), seed), vm.as_str()));
    ranked
}
