//! Write execution: each write is executed at most once, by the entry run that its key names.
//!
//! The execution is a separate task, so that it finishes and records its outcome even if
//! the caller disconnects. A write is never sent twice: the next home is tried only if a
//! home refused the write or the connection to it failed (docs/design/0004-writes.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Incarnation, Name};
use bergamot_members::{Role, State};
use bergamot_node::Node;
use bergamot_wire::{Channels, EntryClient, WriteOrder, context};
use bergamot_write::{Decision, Key, Outcome, Owner, Prefix};
use tokio::sync::watch;

use crate::search::QueryExecutor;

/// A caller's write request.
#[derive(Clone, Debug)]
pub(crate) struct WriteRequest {
    pub(crate) workspace: Name,
    pub(crate) service: Name,
    pub(crate) record: Name,
    pub(crate) body: Name,
    pub(crate) deadline: Deadline,
}

impl WriteRequest {
    fn digest(&self) -> u64 {
        let service = format!("{}/{}", self.workspace, self.service);
        Owner::digest(&service, &self.record, &self.body)
    }
}

/// The write keys of this run, and the requests that wait for their outcomes.
#[derive(Debug)]
struct WriteState {
    owner: Owner,
    waiters: HashMap<Key, watch::Sender<Option<Outcome>>>,
    /// Number of keys generated for callers.
    serial: u64,
}

/// Executes the writes of one entry.
#[derive(Debug)]
pub(crate) struct WriteExecutor {
    node: Arc<Node>,
    query_executor: Arc<QueryExecutor>,
    peers: Channels<EntryClient>,
    state: Mutex<WriteState>,
}

impl WriteExecutor {
    pub(crate) fn new(node: Arc<Node>, query_executor: Arc<QueryExecutor>) -> Arc<Self> {
        let window = node.settings().entry.keys;
        let owner = Owner::new(node.incarnation(), Instant::now(), window);
        let state = WriteState { owner, waiters: HashMap::new(), serial: 0 };
        Arc::new(Self {
            peers: Channels::new(node.settings().instance.address),
            node,
            query_executor,
            state: Mutex::new(state),
        })
    }

    /// Returns the prefix for keys that callers generate now.
    pub(crate) fn prefix(&self) -> Prefix {
        self.lock().owner.prefix(Instant::now())
    }

    /// Generates a key for a request without one.
    pub(crate) fn generate_key(&self) -> Key {
        let mut state = self.lock();
        state.serial += 1;
        let unique = Name::from(format!("entry-{}", state.serial));
        Key { prefix: state.owner.prefix(Instant::now()), unique }
    }

    /// Formats the state for diagnostic dumps.
    pub(crate) fn dump(&self) -> String {
        format!("{}\n", self.lock().owner)
    }

    /// Executes a write here or forwards it to the run that its key names.
    pub(crate) async fn run(self: &Arc<Self>, key: Key, write: WriteRequest) -> Outcome {
        let incarnation = key.prefix.incarnation;
        if incarnation == self.node.incarnation() {
            return self.run_local(key, write).await;
        }
        self.forward(incarnation, key, write).await
    }

    /// Executes a write whose key names this run. Other keys are not executed or forwarded.
    pub(crate) async fn run_local(self: &Arc<Self>, key: Key, write: WriteRequest) -> Outcome {
        let deadline = write.deadline;
        let mut outcome = match self.begin(&key, write.digest()) {
            Ok(outcome) => return outcome,
            Err((true, receiver)) => {
                tokio::spawn(Arc::clone(self).execute(key, write));
                receiver
            }
            Err((false, receiver)) => receiver,
        };
        let ended = outcome.wait_for(Option::is_some);
        match tokio::time::timeout_at(deadline.instant().into(), ended).await {
            Ok(Ok(ended)) => ended.clone().expect("the wait was for an outcome"),
            Ok(Err(_)) | Err(_) => Outcome::unknown("no outcome came before the deadline"),
        }
    }

    /// Returns the outcome of a key if it is decided, or else a receiver for the outcome and
    /// whether the caller has to start the execution.
    fn begin(
        &self,
        key: &Key,
        digest: u64,
    ) -> Result<Outcome, (bool, watch::Receiver<Option<Outcome>>)> {
        let mut state = self.lock();
        match state.owner.begin(Instant::now(), key, digest) {
            Decision::Replay(outcome) => Ok(outcome),
            Decision::Conflict => Ok(Outcome::not_run("the key came before with another request")),
            Decision::Full => Ok(Outcome::not_run("this entry remembers too many keys")),
            // An entry that doesn't know yet that this one restarted forwards a key of the previous
            // run, which may have executed it.
            Decision::Forward(_) => {
                Ok(Outcome::unknown("the key names another run, which may have executed it"))
            }
            Decision::Execute => {
                let sender = watch::Sender::new(None);
                let receiver = sender.subscribe();
                state.waiters.insert(key.clone(), sender);
                Err((true, receiver))
            }
            Decision::Join => {
                let sender =
                    state.waiters.entry(key.clone()).or_insert_with(|| watch::Sender::new(None));
                Err((false, sender.subscribe()))
            }
        }
    }

    async fn execute(self: Arc<Self>, key: Key, write: WriteRequest) {
        let outcome = self.send(&key, &write).await;
        let mut state = self.lock();
        state.owner.finish(&key, outcome.clone());
        if let Some(sender) = state.waiters.remove(&key) {
            sender.send_replace(Some(outcome));
        }
    }

    /// Sends a write to a home of its shard. Tries the next home only if the write was refused or
    /// the connection failed.
    async fn send(&self, key: &Key, write: &WriteRequest) -> Outcome {
        if !self.node.wait_until_awake().await {
            return Outcome::not_run("this entry slept and has not caught up");
        }
        let Some(current) = self.node.active_document() else {
            return Outcome::not_run("no document is in force");
        };
        let document = &current.document;
        let Some(service) = document.service(&write.workspace, &write.service) else {
            return Outcome::not_run("the service is gone");
        };
        let shard = document.services[service].holder(&write.record);
        let order = WriteOrder {
            revision: document.revision,
            shard,
            key: key.clone(),
            record: Name::clone(&write.record),
            body: Name::clone(&write.body),
        };
        for home in self.query_executor.candidates(document.layout.cell(shard), service) {
            let address = self.query_executor.address(home);
            let Ok(client) = self.query_executor.channels().get(address).await else {
                continue;
            };
            if write.deadline.passed(Instant::now()) {
                return Outcome::not_run("the deadline passed before sending");
            }
            match client.write(context(write.deadline), order.clone()).await {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(refusal)) => {
                    log::debug!("write: {home} refused {key}: {refusal:?}.");
                }
                Err(error) => {
                    self.query_executor.channels().forget(address).await;
                    return Outcome::unknown(format!("the gather {home} was lost: {error}"));
                }
            }
        }
        Outcome::not_run("no home of the record's shard took the write")
    }

    async fn forward(&self, incarnation: Incarnation, key: Key, write: WriteRequest) -> Outcome {
        let Some(record) = self.node.find_run(incarnation) else {
            return Owner::unavailable_outcome(true);
        };
        if record.endpoint.role != Role::Entry || record.state == State::Left {
            return Owner::unavailable_outcome(true);
        }
        let port = self.node.settings().ports.entry_peers;
        let address = SocketAddr::from((record.endpoint.ip, port));
        let Ok(client) = self.peers.get(address).await else {
            return Owner::unavailable_outcome(false);
        };
        let WriteRequest { workspace, service, record, body, deadline } = write;
        match client.execute(context(deadline), workspace, service, key, record, body).await {
            Ok(outcome) => outcome,
            Err(error) => {
                log::debug!("write: Forwarding to {address} failed: {error}.");
                self.peers.forget(address).await;
                Owner::unavailable_outcome(false)
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, WriteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Part of the deadline of a forwarded write that is reserved for returning its outcome.
pub(crate) const FORWARD_MARGIN: Duration = Duration::from_millis(1);
