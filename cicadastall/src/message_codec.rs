//! JSON codec for messages between instances.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::{marker::PhantomData, pin::Pin};
use tarpc::tokio_serde::{Deserializer, Serializer};

/// JSON codec that decodes a received message from its whole buffer.
///
/// The JSON codec of `tokio_serde` reads through `io::Read`, byte by byte.
#[derive(Debug)]
pub(crate) struct MessageCodec<I, O> {
    _items: PhantomData<fn(O) -> I>,
}

impl<I, O> Default for MessageCodec<I, O> {
    fn default() -> Self {
        Self { _items: PhantomData }
    }
}

impl<I: for<'de> Deserialize<'de>, O> Deserializer<I> for MessageCodec<I, O> {
    type Error = serde_json::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<I, serde_json::Error> {
        serde_json::from_slice(source)
    }
}

impl<I, O: Serialize> Serializer<O> for MessageCodec<I, O> {
    type Error = serde_json::Error;

    fn serialize(self: Pin<&mut Self>, item: &O) -> Result<Bytes, serde_json::Error> {
        serde_json::to_vec(item).map(Bytes::from)
    }
}
