//! Running a write: through the run that its key names, once.
//!
//! The execution is a task of its own, so that a caller who hangs up can't leave it
//! half decided. Nothing is sent twice: only a home that refused the order, or could not
//! be connected to, is followed by another (docs/design/0004-writes.md).

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

use crate::search::Runner;

/// A write as a caller asked for it.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) workspace: Name,
    pub(crate) service: Name,
    pub(crate) record: Name,
    pub(crate) body: Name,
    pub(crate) deadline: Deadline,
}

impl Order {
    fn digest(&self) -> u64 {
        let service = format!("{}/{}", self.workspace, self.service);
        Owner::digest(&service, &self.record, &self.body)
    }
}

/// The memory of writes and those who wait for an outcome.
#[derive(Debug)]
struct Book {
    owner: Owner,
    waiting: HashMap<Key, watch::Sender<Option<Outcome>>>,
    serial: u64,
}

/// What an entry needs for running writes.
#[derive(Debug)]
pub(crate) struct Writer {
    node: Arc<Node>,
    runner: Arc<Runner>,
    peers: Channels<EntryClient>,
    book: Mutex<Book>,
}

impl Writer {
    pub(crate) fn new(node: Arc<Node>, runner: Arc<Runner>) -> Arc<Self> {
        let window = node.settings().entry.keys;
        let owner = Owner::new(node.incarnation(), Instant::now(), window);
        let book = Book { owner, waiting: HashMap::new(), serial: 0 };
        Arc::new(Self {
            peers: Channels::new(node.settings().instance.address),
            node,
            runner,
            book: Mutex::new(book),
        })
    }

    /// Returns the prefix for keys that callers make now.
    pub(crate) fn prefix(&self) -> Prefix {
        self.lock().owner.prefix(Instant::now())
    }

    /// Makes a key for a caller who brought none.
    pub(crate) fn own_key(&self) -> Key {
        let mut book = self.lock();
        book.serial += 1;
        let unique = Name::from(format!("entry-{}", book.serial));
        Key { prefix: book.owner.prefix(Instant::now()), unique }
    }

    /// Writes the text form that dumps use.
    pub(crate) fn dump(&self) -> String {
        format!("{}\n", self.lock().owner)
    }

    /// Runs a write here or through the run that its key names.
    pub(crate) async fn run(self: &Arc<Self>, key: Key, order: Order) -> Outcome {
        let incarnation = key.prefix.incarnation;
        if incarnation == self.node.incarnation() {
            return self.run_own(key, order).await;
        }
        self.forward(incarnation, key, order).await
    }

    /// Runs a write whose key names this run, and no other.
    pub(crate) async fn run_own(self: &Arc<Self>, key: Key, order: Order) -> Outcome {
        let deadline = order.deadline;
        let mut outcome = match self.begin(&key, order.digest()) {
            Ok(outcome) => return outcome,
            Err((true, receiver)) => {
                tokio::spawn(Arc::clone(self).execute(key, order));
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

    /// Decides about a key: its outcome, or a wait for it, perhaps with its execution.
    fn begin(
        &self,
        key: &Key,
        digest: u64,
    ) -> Result<Outcome, (bool, watch::Receiver<Option<Outcome>>)> {
        let mut book = self.lock();
        match book.owner.begin(Instant::now(), key, digest) {
            Decision::Replay(outcome) => Ok(outcome),
            Decision::Conflict => Ok(Outcome::not_run("the key came before with another request")),
            Decision::Full => Ok(Outcome::not_run("this entry remembers too many keys")),
            // An entry that has not heard of a restart yet sends us a key of the run before,
            // which may have executed it.
            Decision::Forward(_) => {
                Ok(Outcome::unknown("the key names another run, which may have executed it"))
            }
            Decision::Execute => {
                let sender = watch::Sender::new(None);
                let receiver = sender.subscribe();
                book.waiting.insert(key.clone(), sender);
                Err((true, receiver))
            }
            Decision::Join => {
                let sender =
                    book.waiting.entry(key.clone()).or_insert_with(|| watch::Sender::new(None));
                Err((false, sender.subscribe()))
            }
        }
    }

    async fn execute(self: Arc<Self>, key: Key, order: Order) {
        let outcome = self.send(&key, &order).await;
        let mut book = self.lock();
        book.owner.finish(&key, outcome.clone());
        if let Some(sender) = book.waiting.remove(&key) {
            sender.send_replace(Some(outcome));
        }
    }

    /// Sends a write to a home of its shard. Only a refusal is followed by another home.
    async fn send(&self, key: &Key, order: &Order) -> Outcome {
        if !self.node.wait_until_awake().await {
            return Outcome::not_run("this entry slept and has not caught up");
        }
        let Some(current) = self.node.active_document() else {
            return Outcome::not_run("no document is in force");
        };
        let document = &current.document;
        let Some(service) = document.service(&order.workspace, &order.service) else {
            return Outcome::not_run("the service is gone");
        };
        let shard = document.services[service].holder(&order.record);
        let wire = WriteOrder {
            revision: document.revision,
            shard,
            key: key.clone(),
            record: Name::clone(&order.record),
            body: Name::clone(&order.body),
        };
        for home in self.runner.candidates(document.layout.cell(shard), service) {
            let address = self.runner.address(home);
            let Ok(client) = self.runner.channels().get(address).await else {
                continue;
            };
            if order.deadline.passed(Instant::now()) {
                return Outcome::not_run("the deadline passed before sending");
            }
            match client.write(context(order.deadline), wire.clone()).await {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(refusal)) => {
                    log::debug!("write: {home} refused {key}: {refusal:?}.");
                }
                Err(error) => {
                    self.runner.channels().forget(address).await;
                    return Outcome::unknown(format!("the gather {home} was lost: {error}"));
                }
            }
        }
        Outcome::not_run("no home of the record's shard took the write")
    }

    async fn forward(&self, incarnation: Incarnation, key: Key, order: Order) -> Outcome {
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
        let Order { workspace, service, record, body, deadline } = order;
        match client.execute(context(deadline), workspace, service, key, record, body).await {
            Ok(outcome) => outcome,
            Err(error) => {
                log::debug!("write: Forwarding to {address} failed: {error}.");
                self.peers.forget(address).await;
                Owner::unavailable_outcome(false)
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The part of a deadline that a forwarded write keeps for the way back.
pub(crate) const FORWARD_MARGIN: Duration = Duration::from_millis(1);
