//! Whose answer a response is, by the identifiers that it names.

/// What the identifiers of a response say about whose answer it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// It names the request that waits for an answer, and no other.
    Own,
    /// It names another request.
    Other,
    /// It names no request.
    Nobody,
    /// It names more than one.
    Several,
}

impl Attribution {
    /// Compares the identifiers that a response names with that of the request.
    pub fn of<'a>(named: impl IntoIterator<Item = &'a [u8]>, request: &[u8]) -> Self {
        let mut named = named.into_iter();
        match (named.next(), named.next()) {
            (None, _) => Self::Nobody,
            (Some(_), Some(_)) => Self::Several,
            (Some(id), None) if id == request => Self::Own,
            (Some(_), None) => Self::Other,
        }
    }

    /// Returns the name in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Nobody => "nobody",
            Self::Several => "several",
        }
    }
}
