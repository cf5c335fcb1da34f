//! Admission to the pools of searchers that this member coordinates for its region.
//!
//! `bergamot-admission` makes the decisions; this module holds them under a lock of their own and
//! delivers them to the requests that wait. While some do, a task makes the decisions that depend
//! on time. Invariant: each queued request has one channel, on which it receives one decision; a
//! grant that nobody receives is ended at once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_admission::{
    Changes, Coordinator, Decision, Demand, Grant, Outcome, Pool, Shortage, Status,
};
use bergamot_policy::Policy;
use bergamot_wire::{Admission, AdmissionRequest, Coverage};
use tokio::sync::oneshot;

use crate::meter::AdmissionMeter;

/// The interval at which waiting requests that can't finish in time any more are refused.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// The longest target and deadline that a member may state: longer than any caller waits.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// A queued request without a decision.
#[derive(Debug)]
struct Waiter {
    priority: u32,
    decision: oneshot::Sender<Admission>,
}

/// A decision that the member which asked has not waited for yet.
#[derive(Debug)]
struct Unclaimed {
    decision: oneshot::Receiver<Admission>,
    /// When the caller's deadline has passed, after which nobody waits for it.
    until: Instant,
}

#[derive(Debug)]
struct Inner {
    coordinator: Coordinator,
    waiters: HashMap<Grant, Waiter>,
    unclaimed: HashMap<Grant, Unclaimed>,
    /// Whether the task that runs while requests wait exists.
    is_expiring: bool,
}

/// Admission to the pools of searchers that a member coordinates.
#[derive(Debug)]
pub struct PoolCoordinator {
    inner: Mutex<Inner>,
    meter: AdmissionMeter,
}

impl PoolCoordinator {
    pub(crate) fn new(policy: &Policy, meter: AdmissionMeter) -> Arc<Self> {
        // A grant of an earlier run of the process must not be taken for one of this run.
        let coordinator =
            Coordinator::new(&policy.queue, &policy.comeback).with_first_grant(rand::random());
        let inner = Inner {
            coordinator,
            waiters: HashMap::new(),
            unclaimed: HashMap::new(),
            is_expiring: false,
        };
        Arc::new(Self { inner: Mutex::new(inner), meter })
    }

    /// Decides about a request to a pool.
    pub fn admit(self: &Arc<Self>, request: AdmissionRequest) -> Admission {
        let now = Instant::now();
        let AdmissionRequest { pool, priority, origin, target, deadline, slots } = request;
        let (target, deadline) = (target.min(MAX_WAIT), deadline.min(MAX_WAIT));
        let demand = Demand { priority, origin, target, deadline, slots: (slots as usize).max(1) };
        let mut inner = self.lock();
        let decision = inner.coordinator.request(now, Pool::from_id(pool), demand);
        match decision {
            Decision::Granted(grant) => {
                self.meter.count(priority, "granted");
                Admission::Granted(grant.0)
            }
            Decision::Queued(grant) => {
                self.meter.count(priority, "queued");
                inner.enqueue(grant, priority, now + deadline);
                self.start_expiry(&mut inner);
                Admission::Queued(grant.0)
            }
            Decision::Refused(shortage) => {
                self.meter.count(priority, "refused");
                refused(shortage)
            }
        }
    }

    /// Waits until a queued request is granted or refused; returns `None` if the grant is unknown.
    pub async fn await_grant(&self, grant: u64) -> Option<Admission> {
        let unclaimed = self.lock().unclaimed.remove(&Grant(grant))?;
        // The sender is dropped without a decision if the grant is completed.
        unclaimed.decision.await.ok()
    }

    /// Ends a grant, with how the required coverage was reached, if it was.
    pub fn complete(&self, grant: u64, covered: Option<Coverage>) {
        let grant = Grant(grant);
        let outcome = covered.map_or(Outcome::Ended, |Coverage { took, is_congested }| {
            Outcome::Covered(bergamot_admission::Coverage { took, is_congested })
        });
        let mut inner = self.lock();
        inner.waiters.remove(&grant);
        inner.unclaimed.remove(&grant);
        let changes = inner.coordinator.complete(Instant::now(), grant, outcome);
        self.deliver(&mut inner, changes);
    }

    /// Ends leases, and refuses the requests that can't finish in time any more.
    pub(crate) fn expire(&self, now: Instant) {
        let mut inner = self.lock();
        let changes = inner.coordinator.expire(now);
        self.deliver(&mut inner, changes);
        inner.unclaimed.retain(|_, unclaimed| now < unclaimed.until);
    }

    /// Returns the state of each pool.
    pub(crate) fn status(&self) -> Vec<Status> {
        self.lock().coordinator.status()
    }

    /// Starts the task that runs while requests wait, unless there is one.
    fn start_expiry(self: &Arc<Self>, inner: &mut Inner) {
        if std::mem::replace(&mut inner.is_expiring, true) {
            return;
        }
        let coordinator = Arc::clone(self);
        tokio::spawn(async move {
            while coordinator.has_waiters() {
                tokio::time::sleep(EXPIRY_INTERVAL).await;
                coordinator.expire(Instant::now());
            }
        });
    }

    /// Returns whether a request waits; if none does, the task that asks this ends.
    fn has_waiters(&self) -> bool {
        let mut inner = self.lock();
        inner.is_expiring = !inner.waiters.is_empty();
        inner.is_expiring
    }

    /// Sends the decisions to the requests that waited for them.
    fn deliver(&self, inner: &mut Inner, changes: Changes) {
        let mut pending = vec![changes];
        while let Some(Changes { granted, refused: late }) = pending.pop() {
            for (grant, shortage) in late {
                self.decide(inner, grant, "refused", refused(shortage));
            }
            for grant in granted {
                if !self.decide(inner, grant, "granted", Admission::Granted(grant.0)) {
                    let now = Instant::now();
                    pending.push(inner.coordinator.complete(now, grant, Outcome::Ended));
                }
            }
        }
    }

    /// Sends its decision to a request. Returns whether it can still be received.
    fn decide(&self, inner: &mut Inner, grant: Grant, result: &str, decision: Admission) -> bool {
        let Some(waiter) = inner.waiters.remove(&grant) else {
            return false;
        };
        self.meter.count(waiter.priority, result);
        waiter.decision.send(decision).is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn enqueue(&mut self, grant: Grant, priority: u32, until: Instant) {
        let (sender, decision) = oneshot::channel();
        self.waiters.insert(grant, Waiter { priority, decision: sender });
        self.unclaimed.insert(grant, Unclaimed { decision, until });
    }
}

/// Encodes the refusal of a request.
fn refused(shortage: Shortage) -> Admission {
    let Shortage { expected, retry_after, ahead, limit } = shortage;
    Admission::Refused { expected, retry_after, ahead: ahead as u32, limit: limit as u32 }
}
