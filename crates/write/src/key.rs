//! The text form of write keys: `incarnation-window-unique`.
//!
//! The incarnation names the run of an entry that may execute the key. The window
//! counts that run's own clock in steps of the key lifetime, so that the run can
//! tell a key that it may have forgotten from a fresh one.

use std::fmt;
use std::str::FromStr;

use bergamot_base::{Incarnation, Name};
use serde::{Deserialize, Serialize};

/// The longest unique part, in bytes.
const LONGEST_UNIQUE: usize = 128;

/// The part of a key that an entry hands out with its address answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Prefix {
    /// The run of an entry that may execute the key.
    pub incarnation: Incarnation,
    /// The window of that run's clock in which the prefix was issued.
    pub window: u64,
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation, self.window)
    }
}

/// A write key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The prefix that an entry issued.
    pub prefix: Prefix,
    /// The part that the caller chose.
    pub unique: Name,
}

/// A text that is not a write key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flaw;

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "a write_prefix from /v1/addresses, a hyphen and 1 to 128 of A-Z, a-z, 0-9, _ and -",
        )
    }
}

impl FromStr for Key {
    type Err = Flaw;

    fn from_str(text: &str) -> Result<Self, Flaw> {
        let mut parts = text.splitn(3, '-');
        let mut part = || parts.next().ok_or(Flaw);
        let (incarnation, window, unique) = (part()?, part()?, part()?);
        let number = |text: &str| u64::from_str_radix(text, 16).ok();
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
        if !(1..=LONGEST_UNIQUE).contains(&unique.len()) || !unique.bytes().all(allowed) {
            return Err(Flaw);
        }
        let prefix = Prefix {
            incarnation: number(incarnation).ok_or(Flaw)?,
            window: number(window).ok_or(Flaw)?,
        };
        Ok(Self { prefix, unique: Name::from(unique) })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.prefix, self.unique)
    }
}
