//! The text format of write keys: `incarnation-window-unique`.
//!
//! The incarnation identifies the process run of an entry that may execute the key.
//! The window is that run's clock divided by the key lifetime. It lets the run
//! distinguish a new key from one whose outcome may already have been removed.

use std::fmt;
use std::str::FromStr;

use bergamot_base::{Incarnation, Name};
use serde::{Deserialize, Serialize};

/// Maximum length of the unique part, in bytes.
const MAX_UNIQUE_LEN: usize = 128;

/// The part of a key that an entry issues in its `/v1/addresses` responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Prefix {
    /// The entry incarnation that may execute the key.
    pub incarnation: Incarnation,
    /// The window of that incarnation's clock in which the prefix was issued.
    pub window: u64,
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation, self.window)
    }
}

/// An idempotency key of a write.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The prefix issued by an entry.
    pub prefix: Prefix,
    /// The part chosen by the caller.
    pub unique: Name,
}

/// The error for text that is not a valid write key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "a write_prefix from /v1/addresses, a hyphen and 1 to 128 of A-Z, a-z, 0-9, _ and -",
        )
    }
}

impl FromStr for Key {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        let mut parts = text.splitn(3, '-');
        let mut part = || parts.next().ok_or(InvalidKey);
        let (incarnation, window, unique) = (part()?, part()?, part()?);
        let parse_hex = |text: &str| u64::from_str_radix(text, 16).ok();
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
        if !(1..=MAX_UNIQUE_LEN).contains(&unique.len()) || !unique.bytes().all(allowed) {
            return Err(InvalidKey);
        }
        let prefix = Prefix {
            incarnation: parse_hex(incarnation).ok_or(InvalidKey)?,
            window: parse_hex(window).ok_or(InvalidKey)?,
        };
        Ok(Self { prefix, unique: Name::from(unique) })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.prefix, self.unique)
    }
}
