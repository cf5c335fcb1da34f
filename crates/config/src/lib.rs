//! The configuration document, process settings, their verifier and the revision floor.
//!
//! Operators publish one JSON document. It is accepted whole or refused whole,
//! with every [`Flaw`] listed ([`Document::parse`]). A process reads its own
//! settings from an INI file that is checked against one declared table
//! ([`Settings::parse`]). [`Floor`] decides which revision is in force, and
//! [`Parcel`] splits a document into sections that travel by content hash.
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
