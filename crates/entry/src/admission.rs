//! Admission control: one concurrency limiter per workspace.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bergamot_admission::{Class, ConcurrencyLimiter, Refusal};
use bergamot_base::Name;
use bergamot_config::row;

/// The concurrency limiters of all workspaces at one entry.
#[derive(Debug, Default)]
pub(crate) struct AdmissionControl(Mutex<HashMap<Name, ConcurrencyLimiter>>);

/// An admitted request, which counts against its workspace's limit until dropped.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    admission: Arc<AdmissionControl>,
    workspace: Name,
    class: Class,
    admitted_at: Instant,
}

impl AdmissionControl {
    /// Admits a request or refuses it immediately.
    pub(crate) fn admit(
        self: &Arc<Self>,
        workspace: &row::WorkspaceRow,
        class: row::Class,
    ) -> Result<AdmissionPermit, Refusal> {
        let class = match class {
            row::Class::Interactive => Class::Interactive,
            row::Class::Bulk => Class::Bulk,
        };
        let mut limiters = self.lock();
        let limiter = limiters
            .entry(Name::clone(&workspace.name))
            .or_insert_with(|| ConcurrencyLimiter::new(workspace.in_flight));
        limiter.set_limit(workspace.in_flight);
        limiter.try_acquire(class)?;
        drop(limiters);
        let workspace = Name::clone(&workspace.name);
        Ok(AdmissionPermit {
            admission: Arc::clone(self),
            workspace,
            class,
            admitted_at: Instant::now(),
        })
    }

    /// Formats the state for diagnostic dumps, one line per workspace.
    pub(crate) fn dump(&self) -> String {
        let mut text = String::new();
        for (workspace, limiter) in self.lock().iter() {
            let _ = writeln!(text, "{workspace} {limiter}");
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, ConcurrencyLimiter>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        if let Some(limiter) = self.admission.lock().get_mut(&self.workspace) {
            limiter.release(self.class, self.admitted_at.elapsed());
        }
    }
}
