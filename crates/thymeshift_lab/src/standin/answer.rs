//! Content of a target's answers. The bytes depend on the request alone, so that a caller can
//! detect an incomplete answer or the answer to another request.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the answer to a request for `path_and_query` with `body`, `length` bytes long.
pub fn expected_answer(path_and_query: &str, body: &[u8], length: usize) -> Vec<u8> {
    let head = format!("{path_and_query} {:016x}\n", xxh3_64(body));
    let pattern = head.as_bytes().iter().copied().cycle();
    pattern.take(length).collect()
}
