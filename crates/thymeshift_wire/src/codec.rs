//! The `postcard` codec behind `tarpc`'s transport. Long messages are compressed: documents
//! repeat themselves, and many processes fetch them over the same link.

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
use tokio_serde::Deserializer;
use tokio_serde::Serializer;

/// Longest message, in bytes, before it is compressed: a whole document of a megabyte and what
/// surrounds it.
pub(crate) const MESSAGE_BYTES_MAX: usize = 2 * 1_024 * 1_024;
/// Messages shorter than this, in bytes, are not compressed.
const COMPRESSED_FROM_BYTES: usize = 1_024;
/// First byte of a frame.
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// A frame that is not a message.
#[derive(Debug, Display, Error, From)]
pub enum CodecError {
    /// Not a message of the kind expected.
    #[display("a frame is not a message: {_0}")]
    Message(postcard::Error),
    /// What was compressed cannot be restored.
    #[display("a frame cannot be decompressed: {_0}")]
    Compression(std::io::Error),
    /// The message would be too long.
    #[display("a frame holds a message of more than {MESSAGE_BYTES_MAX} bytes")]
    #[from(ignore)]
    TooLong,
    /// The first byte says neither plain nor compressed.
    #[display("a frame is of an unknown form")]
    #[from(ignore)]
    UnknownForm,
}

impl From<CodecError> for std::io::Error {
    fn from(error: CodecError) -> Self {
        Self::new(std::io::ErrorKind::InvalidData, error)
    }
}

/// Encodes and decodes messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl Postcard {
    /// The frame of a message.
    pub fn encode<T: Serialize>(item: &T) -> Result<Bytes, CodecError> {
        let plain = postcard::to_extend(item, vec![PLAIN])?;
        if plain.len() <= COMPRESSED_FROM_BYTES {
            return Ok(plain.into());
        }
        let mut encoder = DeflateEncoder::new(vec![COMPRESSED], Compression::fast());
        encoder.write_all(&plain[1..])?;
        Ok(encoder.finish()?.into())
    }

    /// The message in a frame.
    pub fn decode<T: for<'de> Deserialize<'de>>(frame: &[u8]) -> Result<T, CodecError> {
        match frame.split_first() {
            Some((&PLAIN, message)) => Ok(postcard::from_bytes(message)?),
            Some((&COMPRESSED, packed)) => Ok(postcard::from_bytes(&decompressed(packed)?)?),
            Some(_) | None => Err(CodecError::UnknownForm),
        }
    }
}

/// Restores at most the longest message: a short frame may unfold to any length.
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
