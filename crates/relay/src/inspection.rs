//! The state of this member in text form, for operators.

use std::fmt::Write as _;
use std::time::Instant;

use bergamot_registry::Upstream;

use crate::link::SearcherLink;
use crate::relay::Relay;

impl Relay {
    /// Formats the current state, with one line for each searcher.
    pub fn dump(&self) -> String {
        let state = self.lock();
        let store_unavailable = state.store_unavailable_since.is_some();
        let version = state.version_tracker.revision();
        let mut text = format!(
            "declaration {version} members {} store_away {store_unavailable}\n",
            state.share.members()
        );
        for mechanism in self.settings.policy.mechanisms() {
            let state = if mechanism.on { "on" } else { "off" };
            let _ = writeln!(text, "mechanism {} {state}", mechanism.name);
        }
        let (held, limit) = self.head_copies.usage();
        // Writing to a string can't fail.
        let _ = writeln!(text, "head_copies held {held} limit {limit}");
        let now = Instant::now();
        for report in self.quarantine().reports(now) {
            // Writing to a string can't fail.
            let _ = writeln!(text, "request {}", self.describe_report(now, &report));
        }
        text.push_str(&self.describe_pools());
        for (zone, evacuation) in state.placement.evacuations.iter() {
            let (position, age) = (evacuation.position, (now - evacuation.since).as_secs());
            let _ = writeln!(text, "evacuation {zone} position {position} age_s {age}");
        }
        for upstream in state.registry.iter() {
            let line = state.links.get(&upstream.incarnation).map_or_else(
                || "not_linked".to_owned(),
                |link| {
                    let usage = link.pool.usage();
                    let estimate = link.estimate(upstream.is_cold(now), now);
                    let expected = link.candidate(false, estimate.expected).expected;
                    let (open, share, idle) = (usage.open, usage.share, usage.idle);
                    let report = describe_report(link, now);
                    format!(
                        "connections {open}/{share} idle {idle} expected_ms {expected:.1}{report}"
                    )
                },
            );
            let Upstream { incarnation, service, address, zone, state, .. } = &**upstream;
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "searcher {incarnation} {service} {address} {zone} {state:?} {line}"
            );
        }
        text
    }

    /// Logs a summary of the counters.
    pub fn log_summary(&self) {
        let latencies: Vec<String> = self
            .lock()
            .latency_percentiles
            .iter()
            .map(|(route, percentile)| format!("{route}:{percentile}"))
            .collect();
        log::info!("relay: event=summary {} usual={latencies:?}", self.meter.summary());
    }
}

/// Formats the reported latency of a searcher that is in force, if there is one.
fn describe_report(link: &SearcherLink, now: Instant) -> String {
    let report = link.estimator().reported_delay(now);
    report.map_or_else(String::new, |(delay, received)| {
        let age = now.saturating_duration_since(received).as_millis();
        format!(" reported_ms {delay:.1} age_ms {age}")
    })
}
