//! A grant of the coordinator of a pool, as held by the member that received the request.
//!
//! Invariant: the end of a grant is reported once, at the latest when its request is dropped.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_wire::Coverage;
use tokio::runtime::Handle;

use crate::relay::Relay;

/// The timeout for reporting the end of a grant, which nothing waits for: some round trips between
/// regions (16 ms) plus late timers of a slow core. If it fails, the lease ends the grant.
const COMPLETE_TIMEOUT: Duration = Duration::from_millis(250);

/// A grant of a coordinator, which is ended on drop at the latest.
#[derive(Debug)]
pub(crate) struct HeldGrant {
    relay: Arc<Relay>,
    coordinator: Ipv4Addr,
    pub(crate) grant: u64,
    pub(crate) since: Instant,
    ended: bool,
}

impl HeldGrant {
    pub(crate) fn new(relay: &Arc<Relay>, coordinator: Ipv4Addr, grant: u64) -> Self {
        let since = Instant::now();
        Self { relay: Arc::clone(relay), coordinator, grant, since, ended: false }
    }

    /// Records that the coordinator has ended the grant itself.
    pub(crate) fn forget(mut self) {
        self.ended = true;
    }

    /// Reports the end of the grant to its coordinator.
    pub(crate) fn end(&mut self, covered: Option<Coverage>) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if self.coordinator == self.relay.settings.address {
            self.relay.coordinator().complete(self.grant, covered);
            return;
        }
        // A request may be dropped while the runtime shuts down; the lease then ends the grant.
        let Ok(runtime) = Handle::try_current() else { return };
        let (ip, until) = (self.coordinator, Instant::now() + COMPLETE_TIMEOUT);
        let call = (self.relay.helping().complete)(ip, self.grant, covered, until);
        runtime.spawn(async move {
            if let Err(cause) = call.await {
                log::info!("relay: event=grant_not_ended member={ip} cause=\"{cause}\"");
            }
        });
    }
}

impl Drop for HeldGrant {
    fn drop(&mut self) {
        self.end(None);
    }
}
