//! A caller: discovers the entries of its zone, caches the answer for its time to live, and
//! connects to an entry directly.

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

/// The time past its deadline after which a request without an answer counts as lost.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// The timeout of address discovery at one entry.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections by entry.
type IdleConnections = Mutex<HashMap<SocketAddr, Vec<Client>>>;

/// A group of callers in one zone.
#[derive(Debug)]
pub struct Caller {
    zone: Name,
    bootstrap: Vec<SocketAddr>,
    cached: tokio::sync::Mutex<Option<(Instant, Addresses)>>,
    idle: IdleConnections,
    next: Mutex<usize>,
}

impl Caller {
    /// Creates callers in a zone that discover addresses through the given entries.
    pub fn new(zone: Name, bootstrap: Vec<SocketAddr>) -> Self {
        let cached = tokio::sync::Mutex::default();
        Self { zone, bootstrap, cached, idle: IdleConnections::default(), next: Mutex::new(0) }
    }

    /// Returns the entry to use and the prefix for idempotency keys.
    ///
    /// The prefix comes from the entry that returned the addresses, which may be another one
    /// than the entry that the request goes to.
    pub async fn address(&self) -> Option<(SocketAddr, String)> {
        let mut cached = self.cached.lock().await;
        if cached.as_ref().is_none_or(|(until, _)| Instant::now() >= *until) {
            *cached = self.discover(cached.take()).await;
        }
        let (_, answer) = cached.as_ref()?;
        let highest = answer.addresses.iter().map(|target| target.weight).max()?;
        let preferred: Vec<SocketAddr> = answer
            .addresses
            .iter()
            .filter(|target| target.weight == highest)
            .filter_map(|target| target.address.parse().ok())
            .collect();
        let next = self.next_index();
        Some((*preferred.get(next % preferred.len().max(1))?, answer.write_prefix.clone()))
    }

    /// Drops the cached addresses, for use after a failed connection.
    pub async fn invalidate_addresses(&self) {
        *self.cached.lock().await = None;
    }

    /// Sends a request to an entry, over an idle connection if there is one.
    pub async fn send(
        &self,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Reply, NetworkError> {
        let exchange = async {
            let mut client = match self.take_idle(entry) {
                Some(client) => client,
                None => Client::connect(Ipv4Addr::UNSPECIFIED, entry, timeout).await?,
            };
            let reply = client.send(request).await?;
            let closing = reply.headers().get("connection").is_some_and(|value| value == "close");
            if !closing && client.is_open() {
                self.put_idle(entry, client);
            }
            Ok(reply)
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|elapsed| NetworkError::new("send", entry, elapsed))?
    }

    async fn discover(
        &self,
        previous: Option<(Instant, Addresses)>,
    ) -> Option<(Instant, Addresses)> {
        let known = previous.iter().flat_map(|(_, answer)| &answer.addresses);
        let known = known.filter_map(|target| target.address.parse().ok());
        let next = self.next_index() % self.bootstrap.len().max(1);
        let bootstrap = self.bootstrap[next..].iter().chain(&self.bootstrap[..next]).copied();
        for entry in known.chain(bootstrap).collect::<Vec<SocketAddr>>() {
            let path = format!("/v1/addresses?zone={}", self.zone);
            let Ok(reply) = fetch(Ipv4Addr::UNSPECIFIED, entry, &path, DISCOVERY_TIMEOUT).await
            else {
                continue;
            };
            let received = Instant::now();
            if let Ok(answer) = serde_json::from_slice::<Addresses>(reply.body())
                && !answer.addresses.is_empty()
            {
                return Some((received + Duration::from_millis(answer.ttl_ms), answer));
            }
        }
        None
    }

    fn next_index(&self) -> usize {
        let mut next = self.next.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        *next += 1;
        *next
    }

    fn take_idle(&self, entry: SocketAddr) -> Option<Client> {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let clients = idle.get_mut(&entry)?;
        while let Some(client) = clients.pop() {
            if client.is_open() {
                return Some(client);
            }
        }
        None
    }

    fn put_idle(&self, entry: SocketAddr, client: Client) {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        idle.entry(entry).or_default().push(client);
    }
}
