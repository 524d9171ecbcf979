//! Tests of the frame codec: compression of long messages and refusal of invalid frames.
#![allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]

use quickcheck::quickcheck;
use thymeshift_wire::CodecError;
use thymeshift_wire::Postcard;

quickcheck! {
    fn what_is_encoded_is_decoded(items: Vec<(String, u64)>, times: u8) -> bool {
        let message: Vec<Vec<(String, u64)>> = vec![items; usize::from(times % 4)];
        let frame = Postcard::encode(&message).expect("a frame");
        Postcard::decode::<Vec<Vec<(String, u64)>>>(&frame).expect("a message") == message
    }

    fn any_bytes_are_refused_or_decoded(frame: Vec<u8>) -> bool {
        // Decoding must not panic, whatever the first byte is.
        let _ = Postcard::decode::<Vec<String>>(&frame);
        let compressed = [vec![1], frame].concat();
        let _ = Postcard::decode::<Vec<String>>(&compressed);
        true
    }
}

#[test]
fn a_repetitive_document_is_compressed() {
    let line =
        "- {\"service\":\"s\",\"slots\":3,\"address\":\"10.0.0.1:80\",\"data_hall\":\"a\"}\n";
    let document = line.repeat(400);
    let frame = Postcard::encode(&document).expect("a frame");
    assert!(frame.len() * 10 < document.len(), "{} of {}", frame.len(), document.len());
    assert_eq!(Postcard::decode::<String>(&frame).expect("a document"), document);
    let short = Postcard::encode(&"short").expect("a frame");
    assert_eq!(short[0], 0, "short messages are not compressed");
}

#[test]
fn bad_frames_are_refused_with_the_reason() {
    struct Case {
        note: &'static str,
        frame: Vec<u8>,
        expected: &'static str,
    }
    let too_long = Postcard::encode(&vec![0_u8; 9 * 1_024 * 1_024]).expect("a frame");
    assert!(too_long.len() < 100_000, "the compressed frame is short: {}", too_long.len());
    let cases = [
        Case { note: "empty", frame: Vec::new(), expected: "unknown form" },
        Case { note: "unknown form", frame: vec![7, 1, 2], expected: "unknown form" },
        Case { note: "cut", frame: vec![0, 9, 65], expected: "not a message" },
        Case { note: "not compressed", frame: vec![1, 255, 255, 255], expected: "decompressed" },
        Case {
            note: "decompressed message too long",
            frame: too_long.to_vec(),
            expected: "more than",
        },
    ];
    for Case { note, frame, expected } in cases {
        let error: CodecError = Postcard::decode::<Vec<u8>>(&frame).expect_err(note);
        assert!(error.to_string().contains(expected), "{note}: {error}");
    }
}
