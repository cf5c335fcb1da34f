//! Content-hashed sections, the units in which a document is transferred.
//!
//! Most changes touch a few shards of one service, so a document is split into a header
//! without the services, one header per service without its shards, and fixed-size chunks
//! of shards. Unchanged sections need not be sent again.
//!
//! Invariant: [`join`] inverts [`split`]. The hash of a document depends only on its
//! content, not on white space or key order, because section texts are serialized from
//! the parsed tree, whose keys are sorted.

use bergamot_base::{Name, hash_bytes, hash_parts};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The maximum number of shards per section.
const SHARDS_PER_SECTION: usize = 64;

/// A section: its content hash and, unless the receiver already has it, its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// The content hash of the text.
    pub hash: u64,
    /// The JSON text, or `None` if the receiver already has it.
    pub text: Option<Name>,
}

impl Section {
    fn new(value: &Value) -> Self {
        let text = Name::from(value.to_string());
        Self { hash: hash_bytes(text.as_bytes()), text: Some(text) }
    }
}

/// Computes the document hash from the section hashes.
pub(crate) fn hash(sections: &[Section]) -> u64 {
    let hashes: Vec<_> = sections.iter().map(|section| section.hash.to_le_bytes()).collect();
    hash_parts(hashes.iter().map(<[u8; 8]>::as_slice))
}

/// Splits a document into sections, in the order that [`join`] expects.
pub(crate) fn split(mut source: Value) -> Vec<Section> {
    let mut sections = Vec::new();
    for workspace in list_mut(&mut source, "workspaces") {
        for mut service in take_list(workspace, "services") {
            let shards = take_list(&mut service, "shards");
            sections.push(Section::new(&service));
            sections.extend(
                shards.chunks(SHARDS_PER_SECTION).map(|chunk| Section::new(&Value::from(chunk))),
            );
        }
    }
    sections.insert(0, Section::new(&source));
    sections
}

/// Reassembles a document from its parsed sections.
///
/// Returns `None` if the sections are inconsistent with each other.
pub(crate) fn join(values: Vec<Value>) -> Option<Value> {
    let mut values = values.into_iter();
    let mut source = values.next()?;
    for workspace in list_mut(&mut source, "workspaces") {
        let count = workspace.get("services")?.as_u64()? as usize;
        let mut services = Vec::new();
        for _ in 0..count {
            services.push(join_service(&mut values)?);
        }
        workspace["services"] = Value::from(services);
    }
    values.next().is_none().then_some(source)
}

fn join_service(values: &mut impl Iterator<Item = Value>) -> Option<Value> {
    let mut service = values.next()?;
    let count = service.get("shards")?.as_u64()? as usize;
    let mut shards = Vec::new();
    while shards.len() < count {
        match values.next()? {
            Value::Array(chunk) if !chunk.is_empty() => shards.extend(chunk),
            _ => return None,
        }
    }
    service["shards"] = Value::from(shards);
    Some(service)
}

/// Removes a list from an object and stores its length in its place.
fn take_list(object: &mut Value, key: &str) -> Vec<Value> {
    let Some(list) = object.get_mut(key) else { return Vec::new() };
    let Some(items) = list.as_array_mut() else { return Vec::new() };
    let items = std::mem::take(items);
    *list = Value::from(items.len());
    items
}

fn list_mut<'a>(object: &'a mut Value, key: &str) -> impl Iterator<Item = &'a mut Value> {
    object.get_mut(key).and_then(Value::as_array_mut).into_iter().flatten()
}
