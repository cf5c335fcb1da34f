//! The configuration document and process settings: parsing, validation and revision tracking.
//!
//! Operators publish one JSON document. [`Document::parse`] either accepts it or
//! rejects it with a list of every [`Violation`]; a document is never applied in part.
//! [`Settings::parse`] validates a process's INI file against a single table of
//! declared settings. [`RevisionTracker`] tracks the revision in force, and
//! [`DocumentTransfer`] transfers a document as sections identified by content hash.
//! See `docs/operations/configuration.md`.

mod document;
mod layout;
mod reader;
mod revision;
pub mod row;
mod section;
mod settings;
mod transfer;
mod validation;

pub use document::Document;
pub use layout::Layout;
pub use revision::{RevisionStatus, RevisionTracker};
pub use section::Section;
pub use settings::{Setting, Settings};
pub use transfer::DocumentTransfer;
pub use validation::{ValidationError, Violation};
