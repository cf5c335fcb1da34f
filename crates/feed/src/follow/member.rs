//! What other members tell of the store.
//!
//! Invariants: a listing is taken in whole or not at all; what it has brought is kept when the
//! member that told it fails, and another one goes on from there, unless either of them has gaps.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Position;
use bergamot_wire::{Item, News, NewsQuery};

use super::Follower;
use crate::clock::now;
use crate::mirror::{Change, Mirror};
use crate::origin::Origin;
use crate::source::Trouble;

/// How many times as old as usual a member's knowledge may be while an answer of the store is
/// coming in to it: 700 KB over a busy link, and still within the 3 s for news.
const ARRIVING_FACTOR: u32 = 2;

/// A listing that other members are telling, page by page.
#[derive(Debug)]
pub(super) struct Listing {
    /// The position at which it began.
    since: Position,
    /// The position up to which it has been told.
    told: Position,
    /// The last position that any of those knew who told it.
    known: Position,
    /// Who told it, if it was one member alone.
    by: Option<Ipv4Addr>,
    /// Whether nobody else can go on with it.
    own_order: bool,
    items: Vec<Item>,
}

impl Follower {
    pub(super) async fn ask_member(&mut self, ip: Ipv4Addr) -> Result<(), Trouble> {
        // A member that is out of reach must not cost as much as a watch.
        let proven = self.proven == Some(Origin::Member(ip));
        let waits = proven && !(self.delivery.sink.behind)();
        let unheard = self.shared().lock().at().is_start();
        let mut wait = match () {
            () if waits => self.settings.wait,
            () if unheard => self.settings.first,
            () => Duration::ZERO,
        };
        if self.listing.as_ref().is_some_and(|begun| begun.own_order && begun.by != Some(ip)) {
            self.listing = None;
        }
        loop {
            let news = (self.members.ask)(ip, self.query(wait)).await?;
            let (age, more, arriving) = (news.age, news.more, news.arriving);
            self.read(ip, news)?;
            if !more {
                let bound = self.settings.stale * if arriving { ARRIVING_FACTOR } else { 1 };
                let fresh = age.is_some_and(|age| age <= bound);
                return if fresh { Ok(()) } else { Err(Trouble::Stale { age }) };
            }
            wait = Duration::ZERO;
        }
    }

    fn query(&self, wait: Duration) -> NewsQuery {
        let start = Position::default();
        match &self.listing {
            Some(Listing { since, told, known, .. }) => {
                NewsQuery { after: *told, listing: Some(*since), known: *known, wait }
            }
            None => {
                NewsQuery { after: self.shared().lock().at(), listing: None, known: start, wait }
            }
        }
    }

    /// Takes in a page of news from a member.
    fn read(&mut self, ip: Ipv4Addr, news: News) -> Result<(), Trouble> {
        let (age, more) = (news.age, news.more);
        if news.at.is_start() {
            return Ok(());
        }
        if news.listing.unwrap_or(news.at).era < self.shared().lock().at().era {
            // The member hasn't heard of the store since it was restored.
            return Err(Trouble::Stale { age });
        }
        self.bytes += news.items.iter().map(Item::size).sum::<usize>();
        // All of it is known as of that moment, a page is not.
        let moment = age.and_then(|age| now().checked_sub(age)).filter(|_| !more);
        if let Some(since) = news.listing {
            return self.read_listing(ip, since, news, moment);
        }
        self.listing = None;
        let News { items, at, listed, .. } = news;
        self.take(|mirror| refreshed(mirror, moment, |mirror| mirror.follow(items, at, listed)));
        Ok(())
    }

    /// Takes in a page of a listing, and the listing once it is whole.
    fn read_listing(
        &mut self,
        ip: Ipv4Addr,
        since: Position,
        news: News,
        moment: Option<Instant>,
    ) -> Result<(), Trouble> {
        let News { items, at, known, more, own_order, age, .. } = news;
        let begun = self.listing.as_ref().filter(|begun| begun.since == since);
        let known = begun.map_or(known, |begun| begun.known.max(known));
        if at < known && !more {
            // The member is behind those that have told the listing so far.
            return Err(Trouble::Stale { age });
        }
        let begun = self.listing.take().filter(|begun| begun.since == since);
        if begun.as_ref().is_some_and(|begun| own_order && begun.by != Some(ip)) {
            // It must be told anew.
            return Ok(());
        }
        let by = begun.as_ref().map_or(Some(ip), |begun| begun.by.filter(|by| *by == ip));
        let items = begun.map(|begun| begun.items).into_iter().flatten().chain(items).collect();
        if more {
            self.listing = Some(Listing { since, told: at, known, by, own_order, items });
        } else {
            self.take(|mirror| refreshed(mirror, moment, |mirror| mirror.replace(items, at)));
        }
        Ok(())
    }
}

/// Changes the mirror, and notes the moment as of which it is whole.
fn refreshed(
    mirror: &mut Mirror,
    moment: Option<Instant>,
    change: impl FnOnce(&mut Mirror) -> Change,
) -> Change {
    let change = change(mirror);
    if let Some(moment) = moment {
        mirror.refresh(moment);
    }
    change
}
