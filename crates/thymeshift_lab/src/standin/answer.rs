//! What a target answers: bytes that follow from the request alone, so that a caller can
//! tell its own complete answer from any other.

use xxhash_rust::xxh3::xxh3_64;

/// The answer to `path_and_query` with `body`, `length` bytes long.
pub fn expected_answer(path_and_query: &str, body: &[u8], length: usize) -> Vec<u8> {
    let head = format!("{path_and_query} {:016x}\n", xxh3_64(body));
    let pattern = head.as_bytes().iter().copied().cycle();
    pattern.take(length).collect()
}
