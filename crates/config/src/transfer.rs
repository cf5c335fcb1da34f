//! Transfer of a document between two daemons.
//!
//! A daemon with an outdated document sends the hashes of its sections and receives only
//! the texts of the others. Invariant: [`DocumentTransfer::assemble`] either reproduces the
//! original document or fails; a missing or corrupt section is an error and never results
//! in a smaller document.

use std::collections::HashMap;

use bergamot_base::{Name, Peer, Revision, Step, hash_bytes};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::document::Document;
use crate::section::{self, Section};
use crate::validation::{ValidationError, Violation};

/// A document in transfer form, without the texts that the receiver already has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentTransfer {
    /// The revision of the document.
    pub revision: Revision,
    /// The hash of the whole document.
    pub hash: u64,
    /// The sections, in the order of [`Document::sections`].
    pub sections: Vec<Section>,
}

impl DocumentTransfer {
    /// Creates the transfer form of a document, with the texts of all sections.
    pub fn new(document: &Document) -> Self {
        let sections = document.sections().to_vec();
        Self { revision: document.revision, hash: document.hash, sections }
    }

    /// Omits the text of each section whose hash is in `held`.
    #[must_use]
    pub fn omit(mut self, held: &[u64]) -> Self {
        for section in &mut self.sections {
            if held.contains(&section.hash) {
                section.text = None;
            }
        }
        self
    }

    /// Returns the hashes of all sections, in order.
    pub fn hashes(&self) -> Vec<u64> {
        self.sections.iter().map(|section| section.hash).collect()
    }

    /// Reassembles the document, taking omitted texts from the previous document `held`.
    pub fn assemble(&self, held: Option<&Document>) -> Result<Document, ValidationError> {
        let reject = |violations| ValidationError {
            step: Step("assemble document"),
            peer: Peer::Local,
            violations,
        };
        let known: HashMap<u64, &Name> = held
            .into_iter()
            .flat_map(Document::sections)
            .filter_map(|section| section.text.as_ref().map(|text| (section.hash, text)))
            .collect();
        let mut values = Vec::with_capacity(self.sections.len());
        for (i, section) in self.sections.iter().enumerate() {
            let error = |found: &str| {
                reject(vec![Violation::new(format!("section {i}"), found, "its text")])
            };
            let text = section.text.as_ref().or_else(|| known.get(&section.hash).copied());
            let text = text.ok_or_else(|| error("no text, also not in the previous document"))?;
            if hash_bytes(text.as_bytes()) != section.hash {
                return Err(error("a text with another hash"));
            }
            let value: Value =
                serde_json::from_str(text).map_err(|cause| error(&cause.to_string()))?;
            values.push(value);
        }
        let source = section::join(values).ok_or_else(|| {
            reject(vec![Violation::new(
                "sections",
                "an inconsistent number of sections",
                "the number stated in the headers",
            )])
        })?;
        let document = Document::from_source(source).map_err(reject)?;
        if document.hash == self.hash && document.revision == self.revision {
            return Ok(document);
        }
        Err(reject(vec![Violation::new(
            "document",
            "another hash or revision",
            "the hash and revision of the transfer",
        )]))
    }
}
