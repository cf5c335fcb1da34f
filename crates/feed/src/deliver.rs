//! Decodes complete records and delivers them to the sink.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use bergamot_base::panic_message;

use bergamot_wire::Item;

use crate::sink::Sink;
use crate::source::{Record, Source};
use crate::state::FeedState;

/// The state that the feed's tasks need to deliver records.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) source: Arc<Source>,
    pub(crate) sink: Arc<Sink>,
    pub(crate) shared: Arc<FeedState>,
}

impl Delivery {
    /// Delivers an item, or queues it for fetching if chunks are missing.
    pub(crate) fn deliver_item(&self, item: Item) {
        if let Some(record) = self.shared.assemble_record(&item) {
            self.shared.mark_complete(&item);
            self.deliver_record(&record);
            return;
        }
        let (key, position) = (&item.key, item.position);
        log::info!("feed: event=fetch_begun key={key} position={position}");
        self.shared.add_pending(item);
    }

    /// Decodes and delivers a complete record.
    ///
    /// All members read the same records at about the same time, so a record that crashed its
    /// reader would crash every member repeatedly. A panic is therefore caught and loses only the
    /// record that caused it.
    pub(crate) fn deliver_record(&self, record: &Record) {
        self.shared.remove_pending(&record.key, record.rank());
        let deliver = || {
            if let Some(event) = (self.source.decode)(record) {
                (self.sink.on_record)(event);
            }
        };
        // State that a panic leaves half updated is behind locks whose users validate what they
        // read.
        if let Err(panic) = catch_unwind(AssertUnwindSafe(deliver)) {
            let (key, cause) = (&record.key, panic_message(&*panic));
            log::error!("feed: event=record_panicked key={key} cause={cause:?}");
        }
    }
}
