//! The known searchers: selection, observations, and the retry budgets.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_dispatch::{AttemptPriority, Distance, Other, Others, sufficient_records};
use bergamot_placement::{Constraints, Withheld, WithheldCounts};
use bergamot_registry::{Incarnation, Upstream};
use bergamot_scatter::fund_attempts;
use bergamot_upstream::LatencyPercentile;
use bergamot_wire::{QuietPeriod, ReportedDelay};

use crate::link::SearcherLink;
use crate::relay::Relay;
use crate::settings::Settings;

/// Why a request must not be sent to a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unusable {
    /// The searcher is unknown, leaving or gone.
    NoWork,
    /// The request may not be sent there.
    Withheld(Withheld),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoWork => f.write_str("searcher no longer accepts work"),
            Self::Withheld(reason) => write!(f, "searcher withheld: {reason}"),
        }
    }
}

impl Relay {
    /// Records a searcher failure reported by the member that sent the request for this one.
    pub(crate) fn record_searcher_failure(&self, searcher: &Incarnation) {
        if let Some(link) = self.lock().links.get(searcher) {
            link.estimator().record_failure(Instant::now());
        }
    }

    /// Returns what is known of the rejections of the other searchers of a searcher's service.
    pub(crate) fn rejections_of_others(&self, searcher: &SearcherLink) -> Others {
        let upstream = &searcher.upstream;
        let state = self.lock();
        let others = state
            .usable_links(&upstream.service)
            .filter(|link| link.upstream.incarnation != upstream.incarnation);
        Others::of(others.map(|link| Other {
            rate: link.estimator().rejections().rate(),
            is_near: link.distance <= searcher.distance,
        }))
    }

    /// Returns the expected stalls of the searchers near this member.
    pub(crate) fn expected_stalls(&self, shards: &[Name]) -> Vec<QuietPeriod> {
        let now = Instant::now();
        let state = self.lock();
        let mut quiet = Vec::new();
        for (index, shard) in shards.iter().enumerate() {
            for link in state.usable_links(shard).filter(|link| link.distance != Distance::Far) {
                let Some((begin, end)) = link.estimator().next_stall(now) else { continue };
                let ms_from_now =
                    |at: Instant| at.saturating_duration_since(now).as_millis() as u32;
                let (begins_ms, ends_ms) = (ms_from_now(begin), ms_from_now(end));
                let searcher = link.short_hash();
                quiet.push(QuietPeriod { index: index as u32, searcher, begins_ms, ends_ms });
            }
        }
        quiet
    }

    /// Applies an expected stall of a searcher that was reported by another member.
    pub(crate) fn apply_reported_stall(&self, shard: &str, quiet: QuietPeriod) {
        let now = Instant::now();
        let at = |ms: u32| now + Duration::from_millis(u64::from(ms));
        let state = self.lock();
        let reported = |link: &&Arc<SearcherLink>| link.short_hash() == quiet.searcher;
        if let Some(link) = state.usable_links(shard).find(reported) {
            link.estimator().set_reported_stall(at(quiet.begins_ms), at(quiet.ends_ms));
        }
    }

    /// Returns the delays to report of the searchers near this member.
    pub(crate) fn delays_to_report(&self, shards: &[Name]) -> Vec<ReportedDelay> {
        let now = Instant::now();
        let state = self.lock();
        let mut delays = Vec::new();
        for (index, shard) in shards.iter().enumerate() {
            for link in state.usable_links(shard).filter(|link| link.distance != Distance::Far) {
                let Some(delay) = link.delay_to_report(now) else { continue };
                let (index, searcher) = (index as u32, link.short_hash());
                // The conversion saturates.
                delays.push(ReportedDelay { index, searcher, delay_ms: delay.ceil() as u16 });
            }
        }
        self.meter.count_reports("sent", delays.len());
        delays
    }

    /// Applies the delays of searchers of some shards that were reported by a member near them.
    pub(crate) fn apply_reported_delays(&self, shards: &[Name], delays: &[ReportedDelay]) {
        let now = Instant::now();
        let state = self.lock();
        let mut applied = 0;
        for delay in delays {
            let Some(shard) = shards.get(delay.index as usize) else { continue };
            let reported = |link: &&Arc<SearcherLink>| link.short_hash() == delay.searcher;
            let Some(link) = state.usable_links(shard).find(reported) else { continue };
            let measured = self.monitor.round_trip(&link.upstream.zone);
            let there = Duration::from_millis(u64::from(delay.delay_ms));
            let here = there + link.distance.round_trip(measured);
            link.estimator().set_reported_delay(now, here);
            applied += 1;
        }
        self.meter.count_reports("received", applied);
    }

    /// Records the latency of a successful attempt for a route.
    pub(crate) fn record_latency(&self, route: &Name, took: Duration) {
        let percentile = self.settings.policy.hedge.percentile;
        let mut state = self.lock();
        let latency_percentile = state
            .latency_percentiles
            .entry(Name::clone(route))
            .or_insert_with(|| LatencyPercentile::new(percentile));
        latency_percentile.record(took);
    }

    /// Counts the searchers of some services that are withheld from a request, and the services
    /// that have no other.
    pub(crate) fn count_withheld(
        &self,
        services: &[Name],
        constraints: &Constraints,
    ) -> WithheldCounts {
        let now = Instant::now();
        let state = self.lock();
        let mut counts = WithheldCounts::default();
        for service in services {
            let withheld =
                state.placement.count_withheld(state.registry.usable(service), constraints, now);
            let permitted =
                state.placement.permitted(state.registry.usable(service), constraints, now).next();
            if permitted.is_none() {
                self.meter.count_withheld(&withheld);
            }
            counts.add(&withheld);
        }
        counts
    }

    /// Returns the number of records initially requested from a member.
    pub(crate) fn initial_record_count(&self, top_k: usize, shards: usize, all: usize) -> usize {
        let policy = &self.settings.policy.brief;
        let lacking =
            self.lock().records_lacking_at.is_some_and(|last| last.elapsed() < policy.again);
        if lacking { top_k } else { sufficient_records(top_k, shards, all, policy) }
    }

    /// Records that records left out by a member were needed.
    pub(crate) fn note_records_lacking(&self) {
        self.meter.records_lacking.inc();
        self.lock().records_lacking_at = Some(Instant::now());
    }

    /// Returns whether a request may be sent to a searcher now, or why not.
    pub(crate) fn check_searcher(
        &self,
        upstream: &Upstream,
        constraints: &Constraints,
    ) -> Result<(), Unusable> {
        let state = self.lock();
        if !state.registry.takes_work(&upstream.incarnation) {
            return Err(Unusable::NoWork);
        }
        // The entry may have changed since the link was created.
        let current = state.registry.get(&upstream.incarnation).map_or(upstream, |known| known);
        state.placement.check(current, constraints, Instant::now()).map_err(Unusable::Withheld)
    }

    /// Marks an incarnation as ended because another searcher answered at its address.
    pub(crate) fn mark_ended(&self, searcher: &Incarnation, other: Option<&str>) {
        let other = other.unwrap_or("unnamed");
        if self.lock().registry.end_incarnation(searcher) {
            log::info!(
                "relay: event=searcher_gone searcher={searcher} cause=\"{other} answered at its address\""
            );
        }
    }

    /// Credits the retry budgets of some services for one request to each.
    pub(crate) fn credit_retry_budgets<'a>(&self, services: impl IntoIterator<Item = &'a Name>) {
        let now = Instant::now();
        let limits = &self.settings.retry_budget_limits;
        let mut state = self.lock();
        for service in services {
            state.retry_budget(service, now).record_request(now, limits);
        }
    }

    /// Charges one additional attempt to the retry budget of a service. Returns whether it
    /// was granted.
    pub(crate) fn spend_retry_budget(&self, service: &Name, priority: AttemptPriority) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let share = state.share;
        let Settings { retry_budget_limits: limits, policy, .. } = &self.settings;
        let granted =
            state.retry_budget(service, now).try_spend(now, limits, policy, share, priority);
        if !granted {
            self.meter.denied_attempts.inc();
        }
        granted
    }

    /// Charges one additional attempt for each of some shards, as far as their retry budgets allow
    /// it and the `needed` number of them is allowed. Returns whether each was granted.
    pub(crate) fn spend_group_budget(
        &self,
        shards: &[&Name],
        needed: usize,
        priority: AttemptPriority,
    ) -> Vec<bool> {
        let now = Instant::now();
        let mut state = self.lock();
        let share = state.share;
        let Settings { retry_budget_limits: limits, policy, .. } = &self.settings;
        let allowed: Vec<bool> = shards
            .iter()
            .map(|shard| {
                state.retry_budget(shard, now).can_spend(now, limits, policy, share, priority)
            })
            .collect();
        let granted = fund_attempts(&allowed, needed);
        for (shard, granted) in shards.iter().zip(&granted) {
            if *granted {
                state.retry_budget(shard, now).try_spend(now, limits, policy, share, priority);
            } else {
                self.meter.denied_attempts.inc();
            }
        }
        granted
    }
}
