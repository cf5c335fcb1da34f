//! Requests under which searchers end: how that is noticed.
//!
//! Whoever gets no answer can't tell a searcher that crashed from a connection that broke. So
//! after a connection that ended without an answer the searcher's address is dialled; a
//! connection that is made is kept.

use std::sync::Arc;

use crate::link::Link;
use crate::message::Job;

/// Finds out whether a searcher has ended whose connection has, and logs under which request.
///
/// Goes on when nobody waits for the attempt any more.
pub(crate) fn inquire(link: &Arc<Link>, job: &Arc<Job>) {
    let (link, job) = (Arc::clone(link), Arc::clone(job));
    tokio::spawn(async move {
        if !link.pool.is_gone().await {
            return;
        }
        let (request, fingerprint) = (&job.request.id, job.request.fingerprint());
        log::warn!(
            "relay: event=searcher_ended request={request:?} fingerprint={fingerprint} \
             searcher={} service={}",
            link.upstream.incarnation,
            link.upstream.service
        );
    });
}
