//! CBOR encoding of control datagrams.

use bergamot_base::{Peer, Step};
use bergamot_members::Datagram;
use snafu::Snafu;

/// The maximum size in bytes of a datagram that is sent or received, so that it fits one packet.
pub const MAX_DATAGRAM_LEN: usize = 1400;

/// A datagram that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} {peer}: {cause}"))]
pub struct DecodeError {
    /// The step that failed.
    pub step: Step,
    /// The sender.
    pub peer: Peer,
    /// The cause of the failure.
    pub cause: String,
}

/// Encodes a datagram, without its last rumours if it would otherwise exceed one packet.
pub fn encode(mut datagram: Datagram) -> Vec<u8> {
    loop {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_LEN);
        ciborium::into_writer(&datagram, &mut bytes).expect("datagrams always serialize");
        if bytes.len() <= MAX_DATAGRAM_LEN || datagram.rumours.pop().is_none() {
            return bytes;
        }
    }
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8], peer: impl Into<Peer>) -> Result<Datagram, DecodeError> {
    ciborium::from_reader(bytes).map_err(|error| DecodeError {
        step: Step("decode datagram"),
        peer: peer.into(),
        cause: error.to_string(),
    })
}
