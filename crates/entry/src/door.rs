//! Admission: one gate for each workspace.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bergamot_admission::{Class, ConcurrencyLimiter, Refusal};
use bergamot_base::Name;
use bergamot_config::row;

/// The gates of all workspaces at one entry.
#[derive(Debug, Default)]
pub(crate) struct Door(Mutex<HashMap<Name, ConcurrencyLimiter>>);

/// A request that was admitted, until it is dropped.
#[derive(Debug)]
pub(crate) struct Admitted {
    door: Arc<Door>,
    workspace: Name,
    class: Class,
    since: Instant,
}

impl Door {
    /// Admits a request or refuses it at once.
    pub(crate) fn enter(
        self: &Arc<Self>,
        workspace: &row::WorkspaceRow,
        class: row::Class,
    ) -> Result<Admitted, Refusal> {
        let class = match class {
            row::Class::Interactive => Class::Interactive,
            row::Class::Bulk => Class::Bulk,
        };
        let mut gates = self.lock();
        let gate = gates
            .entry(Name::clone(&workspace.name))
            .or_insert_with(|| ConcurrencyLimiter::new(workspace.in_flight));
        gate.set_limit(workspace.in_flight);
        gate.try_acquire(class)?;
        drop(gates);
        let workspace = Name::clone(&workspace.name);
        Ok(Admitted { door: Arc::clone(self), workspace, class, since: Instant::now() })
    }

    /// Writes the text form that dumps use: one line a workspace.
    pub(crate) fn dump(&self) -> String {
        let mut text = String::new();
        for (workspace, gate) in self.lock().iter() {
            let _ = writeln!(text, "{workspace} {gate}");
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, ConcurrencyLimiter>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(gate) = self.door.lock().get_mut(&self.workspace) {
            gate.release(self.class, self.since.elapsed());
        }
    }
}
