//! Updates from other members.
//!
//! Invariants: a listing is applied as a whole or not at all; its pages are kept when the member
//! that sent them fails, and another member continues it, unless either of the two has gaps in its
//! history.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Position;
use bergamot_wire::{Item, News, NewsQuery};

use super::Follower;
use crate::clock::now;
use crate::mirror::{Change, Mirror};
use crate::origin::Origin;
use crate::source::QueryError;

/// The factor by which a member's state may be older than usual while a reply of the store is
/// arriving there. This allows for 700 KB over a busy link, and stays within the 3 s for updates.
const ARRIVING_FACTOR: u32 = 2;

/// A listing that is being received from other members, page by page.
#[derive(Debug)]
pub(super) struct Listing {
    /// The position at which it began.
    since: Position,
    /// The position up to which it has been received.
    received: Position,
    /// The highest position known to any of the members that sent it.
    known: Position,
    /// The member that sent it, if there was only one.
    sender: Option<Ipv4Addr>,
    /// Whether no other member can continue it.
    own_order: bool,
    items: Vec<Item>,
}

impl Follower {
    pub(super) async fn ask_member(&mut self, ip: Ipv4Addr) -> Result<(), QueryError> {
        // Only a member that has just answered may wait, so an unreachable one does not cost the
        // time of a watch.
        let has_answered = self.last_success == Some(Origin::Member(ip));
        let waits = has_answered && !(self.delivery.sink.was_suspended)();
        let never_synced = self.shared().mirror().position().is_start();
        let mut wait = match () {
            () if waits => self.settings.watch_wait,
            () if never_synced => self.settings.first_query_wait,
            () => Duration::ZERO,
        };
        if self
            .listing
            .as_ref()
            .is_some_and(|listing| listing.own_order && listing.sender != Some(ip))
        {
            self.listing = None;
        }
        loop {
            let news = (self.members.query_news)(ip, self.query(wait)).await?;
            let (age, more, arriving) = (news.age, news.more, news.arriving);
            self.apply_page(ip, news)?;
            if !more {
                let bound =
                    self.settings.staleness_limit * if arriving { ARRIVING_FACTOR } else { 1 };
                let fresh = age.is_some_and(|age| age <= bound);
                return if fresh { Ok(()) } else { Err(QueryError::Stale { age }) };
            }
            wait = Duration::ZERO;
        }
    }

    fn query(&self, wait: Duration) -> NewsQuery {
        let start = Position::default();
        match &self.listing {
            Some(Listing { since, received, known, .. }) => {
                NewsQuery { after: *received, listing: Some(*since), known: *known, wait }
            }
            None => NewsQuery {
                after: self.shared().mirror().position(),
                listing: None,
                known: start,
                wait,
            },
        }
    }

    /// Applies a page of updates from a member.
    fn apply_page(&mut self, ip: Ipv4Addr, news: News) -> Result<(), QueryError> {
        let (age, more) = (news.age, news.more);
        if news.at.is_start() {
            return Ok(());
        }
        if news.listing.unwrap_or(news.at).era < self.shared().mirror().position().era {
            // The member has not heard from the store since it was restored.
            return Err(QueryError::Stale { age });
        }
        self.bytes += news.items.iter().map(Item::size).sum::<usize>();
        // Only the last page makes the mirror complete as of that moment.
        let complete_as_of = age.and_then(|age| now().checked_sub(age)).filter(|_| !more);
        if let Some(since) = news.listing {
            return self.apply_listing_page(ip, since, news, complete_as_of);
        }
        self.listing = None;
        let News { items, at, listed, .. } = news;
        if !items.is_empty() {
            self.shared().set_last_sender(ip);
        }
        self.apply(|mirror| {
            apply_current(mirror, complete_as_of, |mirror| {
                mirror.update_from_member(items, at, listed)
            })
        });
        Ok(())
    }

    /// Adds a page of a listing, and applies the listing once it is complete.
    fn apply_listing_page(
        &mut self,
        ip: Ipv4Addr,
        since: Position,
        news: News,
        complete_as_of: Option<Instant>,
    ) -> Result<(), QueryError> {
        let News { items, at, known, more, own_order, age, .. } = news;
        let listing = self.listing.as_ref().filter(|listing| listing.since == since);
        let known = listing.map_or(known, |listing| listing.known.max(known));
        if at < known && !more {
            // The member is behind those that sent the earlier pages.
            return Err(QueryError::Stale { age });
        }
        let listing = self.listing.take().filter(|listing| listing.since == since);
        if listing.as_ref().is_some_and(|listing| own_order && listing.sender != Some(ip)) {
            // The listing must start over.
            return Ok(());
        }
        let sender = listing
            .as_ref()
            .map_or(Some(ip), |listing| listing.sender.filter(|sender| *sender == ip));
        let items =
            listing.map(|listing| listing.items).into_iter().flatten().chain(items).collect();
        if more {
            self.listing = Some(Listing { since, received: at, known, sender, own_order, items });
        } else {
            self.shared().set_last_sender(ip);
            self.apply(|mirror| {
                apply_current(mirror, complete_as_of, |mirror| mirror.replace(items, at))
            });
        }
        Ok(())
    }
}

/// Applies a change to the mirror, and records the moment as of which the mirror is complete.
fn apply_current(
    mirror: &mut Mirror,
    complete_as_of: Option<Instant>,
    change: impl FnOnce(&mut Mirror) -> Change,
) -> Change {
    let change = change(mirror);
    if let Some(complete_as_of) = complete_as_of {
        mirror.mark_current(complete_as_of);
    }
    change
}
