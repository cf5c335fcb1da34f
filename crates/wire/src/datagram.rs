//! Control datagrams as CBOR.

use bergamot_base::{Peer, Step};
use bergamot_members::Datagram;
use snafu::Snafu;

/// The largest datagram that is sent or taken, in bytes, so that it fits one packet.
pub const LARGEST_DATAGRAM: usize = 1400;

/// A datagram that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} {peer}: {cause}"))]
pub struct Garbled {
    /// What was being done.
    pub step: Step,
    /// Who sent it.
    pub peer: Peer,
    /// What is wrong with it.
    pub cause: String,
}

/// Encodes a datagram and drops the last rumours where it would not fit one packet.
pub fn encode(mut datagram: Datagram) -> Vec<u8> {
    loop {
        let mut bytes = Vec::with_capacity(LARGEST_DATAGRAM);
        ciborium::into_writer(&datagram, &mut bytes).expect("datagrams always serialize");
        if bytes.len() <= LARGEST_DATAGRAM || datagram.rumours.pop().is_none() {
            return bytes;
        }
    }
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8], peer: impl Into<Peer>) -> Result<Datagram, Garbled> {
    ciborium::from_reader(bytes).map_err(|error| Garbled {
        step: Step("decode datagram"),
        peer: peer.into(),
        cause: error.to_string(),
    })
}
