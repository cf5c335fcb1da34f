//! A caller as the brief describes it: asks which entry to use, keeps the answer for its
//! time to live, connects there itself.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_members::AddressList as Addresses;
use bergamot_net::{Client, NetworkError, Reply, fetch};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

/// How long a caller waits past the deadline before it counts a request as lost.
pub const GRACE: Duration = Duration::from_secs(1);

/// How long asking for addresses may take.
const ASK: Duration = Duration::from_secs(1);

/// The idle connections of callers, by entry.
type Idle = Mutex<HashMap<SocketAddr, Vec<Client>>>;

/// A group of callers in one zone.
#[derive(Debug)]
pub struct Caller {
    zone: Name,
    first: Vec<SocketAddr>,
    held: tokio::sync::Mutex<Option<(Instant, Addresses)>>,
    idle: Idle,
    turn: Mutex<usize>,
}

impl Caller {
    /// Makes callers of a zone who know some entries' addresses from before.
    pub fn new(zone: Name, first: Vec<SocketAddr>) -> Self {
        let held = tokio::sync::Mutex::default();
        Self { zone, first, held, idle: Idle::default(), turn: Mutex::new(0) }
    }

    /// Returns the entry to use and the prefix for write keys.
    ///
    /// The prefix is that of the entry that gave the addresses, which is not always the
    /// one that takes the request.
    pub async fn address(&self) -> Option<(SocketAddr, String)> {
        let mut held = self.held.lock().await;
        if held.as_ref().is_none_or(|(until, _)| Instant::now() >= *until) {
            *held = self.ask(held.take()).await;
        }
        let (_, answer) = held.as_ref()?;
        let best = answer.addresses.iter().map(|target| target.weight).max()?;
        let near: Vec<SocketAddr> = answer
            .addresses
            .iter()
            .filter(|target| target.weight == best)
            .filter_map(|target| target.address.parse().ok())
            .collect();
        let turn = self.next_turn();
        Some((*near.get(turn % near.len().max(1))?, answer.write_prefix.clone()))
    }

    /// Forgets the addresses, as after a failed connection.
    pub async fn forget(&self) {
        *self.held.lock().await = None;
    }

    /// Sends a request to an entry, over an idle connection where there is one.
    pub async fn send(
        &self,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Reply, NetworkError> {
        let exchange = async {
            let mut client = match self.take(entry) {
                Some(client) => client,
                None => Client::connect(Ipv4Addr::UNSPECIFIED, entry, timeout).await?,
            };
            let reply = client.send(request).await?;
            let closing = reply.headers().get("connection").is_some_and(|value| value == "close");
            if !closing && client.is_open() {
                self.put(entry, client);
            }
            Ok(reply)
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|elapsed| NetworkError::new("send", entry, elapsed))?
    }

    async fn ask(&self, before: Option<(Instant, Addresses)>) -> Option<(Instant, Addresses)> {
        let known = before.iter().flat_map(|(_, answer)| &answer.addresses);
        let known = known.filter_map(|target| target.address.parse().ok());
        let turn = self.next_turn() % self.first.len().max(1);
        let first = self.first[turn..].iter().chain(&self.first[..turn]).copied();
        for entry in known.chain(first).collect::<Vec<SocketAddr>>() {
            let path = format!("/v1/addresses?zone={}", self.zone);
            let Ok(reply) = fetch(Ipv4Addr::UNSPECIFIED, entry, &path, ASK).await else {
                continue;
            };
            let asked = Instant::now();
            if let Ok(answer) = serde_json::from_slice::<Addresses>(reply.body())
                && !answer.addresses.is_empty()
            {
                return Some((asked + Duration::from_millis(answer.ttl_ms), answer));
            }
        }
        None
    }

    fn next_turn(&self) -> usize {
        let mut turn = self.turn.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        *turn += 1;
        *turn
    }

    fn take(&self, entry: SocketAddr) -> Option<Client> {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let clients = idle.get_mut(&entry)?;
        while let Some(client) = clients.pop() {
            if client.is_open() {
                return Some(client);
            }
        }
        None
    }

    fn put(&self, entry: SocketAddr, client: Client) {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        idle.entry(entry).or_default().push(client);
    }
}
