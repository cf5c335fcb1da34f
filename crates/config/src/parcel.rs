//! A document on its way between two daemons.
//!
//! A daemon that is behind sends the hashes
//! of the sections it holds and gets only the others back. Invariant: a parcel
//! that [`Parcel::assemble`] accepts yields the very document that was split; a
//! missing or damaged section is a fault, never a smaller document.

use std::collections::HashMap;

use bergamot_base::{Name, Peer, Revision, Step, hash_bytes};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::document::Document;
use crate::flaw::{Flaw, Refusal};
use crate::section::{self, Section};

/// A document on its way between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    /// The revision of the document.
    pub revision: Revision,
    /// The hash of the whole document.
    pub hash: u64,
    /// The sections in order.
    pub sections: Vec<Section>,
}

impl Parcel {
    /// Packs a document.
    pub fn of(document: &Document) -> Self {
        let sections = document.sections().to_vec();
        Self { revision: document.revision, hash: document.hash, sections }
    }

    /// Drops the text of each section that the receiver holds.
    #[must_use]
    pub fn without(mut self, held: &[u64]) -> Self {
        for section in &mut self.sections {
            if held.contains(&section.hash) {
                section.text = None;
            }
        }
        self
    }

    /// Returns the hashes of all sections.
    pub fn hashes(&self) -> Vec<u64> {
        self.sections.iter().map(|section| section.hash).collect()
    }

    /// Puts the document together again, with the help of the document held before.
    pub fn assemble(&self, held: Option<&Document>) -> Result<Document, Refusal> {
        let refuse = |flaws| Refusal { step: Step("assemble document"), peer: Peer::Here, flaws };
        let known: HashMap<u64, &Name> = held
            .into_iter()
            .flat_map(Document::sections)
            .filter_map(|section| section.text.as_ref().map(|text| (section.hash, text)))
            .collect();
        let mut values = Vec::with_capacity(self.sections.len());
        for (i, section) in self.sections.iter().enumerate() {
            let flaw =
                |found: &str| refuse(vec![Flaw::new(format!("section {i}"), found, "its text")]);
            let text = section.text.as_ref().or_else(|| known.get(&section.hash).copied());
            let text = text.ok_or_else(|| flaw("no text"))?;
            if hash_bytes(text.as_bytes()) != section.hash {
                return Err(flaw("a text of another hash"));
            }
            let value: Value =
                serde_json::from_str(text).map_err(|error| flaw(&error.to_string()))?;
            values.push(value);
        }
        let source = section::join(values).ok_or_else(|| {
            refuse(vec![Flaw::new("sections", "a wrong count", "one for each service")])
        })?;
        let document = Document::from_source(source).map_err(refuse)?;
        if document.hash == self.hash && document.revision == self.revision {
            return Ok(document);
        }
        Err(refuse(vec![Flaw::new("document", "another hash or revision", "that of the parcel")]))
    }
}
