//! `postcard` codec for the transport of `tarpc`.
//!
//! Long messages are compressed: documents are repetitive, and many processes share one link.

use std::io::Read;
use std::io::Write;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_config::TEXT_BYTES_MAX;
use tokio_serde::Deserializer;
use tokio_serde::Serializer;

/// Maximum size of a message before compression, in bytes.
/// A message holds a document of the maximum size and the fields around the document.
pub(crate) const MESSAGE_BYTES_MAX: usize = TEXT_BYTES_MAX + 64 * 1_024;
/// Size above which a message is compressed, in bytes.
const COMPRESSED_FROM_BYTES: usize = 1_024;
/// First byte of a frame with an uncompressed message.
const PLAIN_FRAME: u8 = 0;
/// First byte of a frame with a compressed message.
const COMPRESSED_FRAME: u8 = 1;

/// Error of encoding a message or decoding a frame.
#[derive(Debug, Display, Error, From)]
pub enum CodecError {
    /// The bytes of the frame are not a message of the expected type.
    #[display("a frame is not a message: {_0}")]
    Message(postcard::Error),
    /// The frame cannot be decompressed.
    #[display("a frame cannot be decompressed: {_0}")]
    Compression(std::io::Error),
    /// The decompressed message exceeds the maximum size.
    #[display("a frame holds a message of more than {MESSAGE_BYTES_MAX} bytes")]
    #[from(ignore)]
    TooLong,
    /// The first byte marks the frame neither as plain nor as compressed.
    #[display("a frame is of an unknown form")]
    #[from(ignore)]
    UnknownForm,
}

impl From<CodecError> for std::io::Error {
    fn from(error: CodecError) -> Self {
        Self::new(std::io::ErrorKind::InvalidData, error)
    }
}

/// Codec that encodes messages as frames and decodes frames.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl Postcard {
    /// Encodes a message as a frame, compressed if it is long.
    pub fn encode<T: Serialize>(item: &T) -> Result<Bytes, CodecError> {
        let plain = postcard::to_extend(item, vec![PLAIN_FRAME])?;
        if plain.len() <= COMPRESSED_FROM_BYTES {
            return Ok(plain.into());
        }
        let mut encoder = DeflateEncoder::new(vec![COMPRESSED_FRAME], Compression::fast());
        encoder.write_all(&plain[1..])?;
        Ok(encoder.finish()?.into())
    }

    /// Decodes the message in a frame.
    pub fn decode<T: for<'de> Deserialize<'de>>(frame: &[u8]) -> Result<T, CodecError> {
        match frame.split_first() {
            Some((&PLAIN_FRAME, message)) => Ok(postcard::from_bytes(message)?),
            Some((&COMPRESSED_FRAME, packed)) => Ok(postcard::from_bytes(&decompressed(packed)?)?),
            Some(_) | None => Err(CodecError::UnknownForm),
        }
    }
}

/// Decompresses a message up to the maximum size, because a short frame may expand to any length.
fn decompressed(packed: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut message = Vec::new();
    let limit = MESSAGE_BYTES_MAX as u64 + 1;
    DeflateDecoder::new(packed).take(limit).read_to_end(&mut message)?;
    if message.len() > MESSAGE_BYTES_MAX {
        return Err(CodecError::TooLong);
    }
    Ok(message)
}

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = CodecError;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, CodecError> {
        Self::encode(item)
    }
}

impl<T: for<'de> Deserialize<'de>> Deserializer<T> for Postcard {
    type Error = CodecError;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<T, CodecError> {
        Self::decode(source)
    }
}
