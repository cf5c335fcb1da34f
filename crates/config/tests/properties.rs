//! Properties of revision tracking and of document transfer.

use bergamot_config::{Document, DocumentTransfer, RevisionStatus, RevisionTracker};
use proptest::prelude::*;

fn document(revision: u64, epochs: &[u64]) -> Document {
    let services: Vec<_> = epochs
        .iter()
        .enumerate()
        .map(|(i, epoch)| {
            serde_json::json!({
                "name": format!("s{i}"), "prefer": "time", "class": "bulk", "epoch": epoch,
                "deadline_ms": 50, "slots": 2, "connections": 25,
                "shards": [{"replicas": [{"address": format!("127.0.0.1:{}", 1000 + i), "zone": "z"}]}]
            })
        })
        .collect();
    let (first, second) = services.split_at(services.len() / 2);
    let text = serde_json::json!({
        "revision": revision, "instances": 8, "places": [{"zone": "z", "region": "r"}],
        "workspaces": [{"name": "a", "services": first}, {"name": "b", "services": second}]
    });
    Document::parse(text.to_string().as_bytes()).expect("the document is valid")
}

proptest! {
    #[test]
    fn the_revision_in_force_never_decreases(
        offers in proptest::collection::vec((0_u64..6, 0_u64..3), 1..60),
    ) {
        let mut tracker = RevisionTracker::default();
        let mut current = (0, 0);
        for (revision, hash) in offers {
            let status = tracker.adopt(revision, hash);
            if status == RevisionStatus::Newer {
                prop_assert!(revision > current.0);
                current = (revision, hash);
            }
            prop_assert_eq!((tracker.revision(), tracker.hash()), current);
        }
    }

    #[test]
    fn a_reassembled_document_equals_the_original(
        before in proptest::collection::vec(1_u64..4, 2..6),
        after in proptest::collection::vec(1_u64..4, 2..6),
    ) {
        let (old, new) = (document(1, &before), document(2, &after));
        let sent = DocumentTransfer::new(&new).omit(&DocumentTransfer::new(&old).hashes());
        let got = sent.assemble(Some(&old)).expect("every section is in the transfer or in the previous document");
        prop_assert_eq!(got.hash, new.hash);
        prop_assert_eq!(got.to_string(), new.to_string());
    }
}

#[test]
fn a_missing_or_corrupt_section_is_rejected() {
    let (old, new) = (document(1, &[1, 1]), document(2, &[2, 1]));
    let sent = DocumentTransfer::new(&new).omit(&DocumentTransfer::new(&old).hashes());
    let error = sent.assemble(None).expect_err("a section's text is missing");
    assert!(error.to_string().contains("section"), "{error}");
    let mut corrupt = DocumentTransfer::new(&new);
    corrupt.sections[1].text = Some("{}".into());
    let error = corrupt.assemble(None).expect_err("a section is corrupt");
    assert!(error.to_string().contains("another hash"), "{error}");
}

#[test]
fn unchanged_sections_are_not_sent() {
    let (old, new) = (document(1, &[1, 1, 1, 1]), document(2, &[1, 1, 9, 1]));
    let sent = DocumentTransfer::new(&new).omit(&DocumentTransfer::new(&old).hashes());
    let sent_texts = sent.sections.iter().filter(|section| section.text.is_some()).count();
    assert_eq!(
        sent_texts, 2,
        "the document header with the revision, and the header of one service"
    );
}
