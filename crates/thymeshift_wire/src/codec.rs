//! The `postcard` codec behind `tarpc`'s transport.

use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;
use tokio_serde::Deserializer;
use tokio_serde::Serializer;

/// A frame that is not a message.
#[derive(Debug, Display, Error, From)]
#[display("a frame is not a message: {_0}")]
pub struct CodecError(postcard::Error);

impl From<CodecError> for std::io::Error {
    fn from(error: CodecError) -> Self {
        Self::new(std::io::ErrorKind::InvalidData, error)
    }
}

/// Encodes and decodes messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = CodecError;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, CodecError> {
        Ok(postcard::to_stdvec(item)?.into())
    }
}

impl<T: for<'de> Deserialize<'de>> Deserializer<T> for Postcard {
    type Error = CodecError;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<T, CodecError> {
        Ok(postcard::from_bytes(source)?)
    }
}
