//! The decisions about one request: whom to ask, when to ask another, when to answer.
//!
//! Everything here is pure: time and events go in, decisions come out, and no test needs
//! a socket. [`Outlook`] estimates how long a searcher will take, [`rank`] orders the
//! searchers, [`Allowance`] bounds the additional attempts of the whole fleet without a
//! message between its members, [`Crossings`] knows how far other places are, [`Arrivals`] tells what of a caller's time passes elsewhere,
//! [`Patience`] sets the moments of a request, [`Ending`]
//! says what may follow the end of an exchange, [`comeback`] when a refused caller may
//! return, [`Tally`] when a gathered answer goes
//! out, and [`greatest`] what it holds. See `docs/design/0009-platform.md`.

mod admit;
mod allowance;
mod arrivals;
mod comeback;
mod crossing;
mod ending;
mod outlook;
mod patience;
mod rank;
mod record;
mod rhythm;
mod tally;

pub use admit::admit;
pub use allowance::{Allowance, Need, Terms};
pub use arrivals::Arrivals;
pub use comeback::{Obstacle, comeback};
pub use crossing::Crossings;
pub use ending::Ending;
pub use outlook::Outlook;
pub use patience::Patience;
pub use rank::{Candidate, Distance, rank};
pub use record::{RECORD, greatest, may_lack, sufficient};
pub use rhythm::{Rhythm, Silences};
pub use tally::{Tally, Verdict};
