//! Hands what records say to the sink, once they are whole.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use bergamot_base::message;

use bergamot_wire::Item;

use crate::shared::Shared;
use crate::sink::Sink;
use crate::source::{Record, Source};

/// What the tasks of the feed need to hand a record on.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) source: Arc<Source>,
    pub(crate) sink: Arc<Sink>,
    pub(crate) shared: Arc<Shared>,
}

impl Delivery {
    /// Hands an item on, or notes that it waits for its chunks.
    pub(crate) fn item(&self, item: Item) {
        if let Some(record) = self.shared.record(&item) {
            self.record(&record);
            return;
        }
        let (key, position) = (&item.key, item.position);
        log::info!("feed: event=fetch_begun key={key} position={position}");
        self.shared.await_chunks(item);
    }

    /// Hands a whole record on.
    ///
    /// Every member reads the same records at about the same time: one that brings its reader
    /// down would bring all of them down, again and again. So a panic costs its record alone.
    pub(crate) fn record(&self, record: &Record) {
        self.shared.settle(&record.key, record.rank());
        let take = || {
            if let Some(news) = (self.source.decode)(record) {
                (self.sink.news)(news);
            }
        };
        // What a panic leaves half done is behind locks whose holders check what they read.
        if let Err(panic) = catch_unwind(AssertUnwindSafe(take)) {
            let (key, cause) = (&record.key, message(&*panic));
            log::error!("feed: event=record_panicked key={key} cause={cause:?}");
        }
    }
}
