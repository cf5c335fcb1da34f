//! Values that a process keeps for other processes, under tokens that it sends them.
//!
//! Invariant: a token identifies one value of one run of the process. A token from an earlier run,
//! or from the process that used the address before, is unknown to the next run, so nobody is given
//! a value that was kept for somebody else.

use std::collections::HashMap;
use std::num::NonZeroU64;

/// Values by token.
///
/// Tokens are drawn at random rather than numbered: the numbers of two runs would overlap.
#[derive(Clone, Debug)]
pub struct TokenMap<T> {
    values: HashMap<u64, T>,
}

impl<T> Default for TokenMap<T> {
    fn default() -> Self {
        Self { values: HashMap::new() }
    }
}

impl<T> TokenMap<T> {
    /// Stores a value and returns its token, which is never zero.
    pub fn insert(&mut self, value: T) -> u64 {
        let token = rand::random::<NonZeroU64>().get();
        self.values.insert(token, value);
        token
    }

    /// Removes the value of a token, if there is one.
    pub fn take(&mut self, token: u64) -> Option<T> {
        self.values.remove(&token)
    }

    /// Removes the value of a token if it fulfils a condition.
    pub fn take_if(&mut self, token: u64, condition: impl FnOnce(&T) -> bool) -> Option<T> {
        if self.values.get(&token).is_some_and(condition) { self.take(token) } else { None }
    }

    /// Stores a value again that was taken and is not used up yet.
    pub fn put_back(&mut self, token: u64, value: T) {
        self.values.insert(token, value);
    }
}
