//! The configuration document and process settings: parsing, validation and revision tracking.
//!
//! Operators publish one JSON document. [`Document::parse`] either accepts it or
//! rejects it with a list of every [`Flaw`]; a document is never applied in part.
//! [`Settings::parse`] validates a process's INI file against a single table of
//! declared settings. [`Floor`] tracks the revision in force, and [`Parcel`]
//! transfers a document as sections identified by content hash.
//! See `docs/operations/configuration.md`.

mod document;
mod flaw;
mod floor;
mod layout;
mod parcel;
mod reader;
pub mod row;
mod section;
mod settings;

pub use document::Document;
pub use flaw::{Flaw, Refusal};
pub use floor::{Floor, Verdict};
pub use layout::Layout;
pub use parcel::Parcel;
pub use section::Section;
pub use settings::{Key, Settings};
