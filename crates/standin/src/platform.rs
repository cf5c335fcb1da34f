//! The platform: the configuration service and the instance list.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Revision};
use bergamot_net::{Body, NetworkError, json, listen, read_body, serve, text};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The largest document, as the platform holds values of up to a megabyte.
const LARGEST: usize = 1 << 20;

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// An IP number for an instance, with a port for a searcher.
    pub address: Name,
    /// The availability zone.
    pub zone: Name,
    /// `live` or `leaving`.
    pub state: Name,
}

/// How often the platform was called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of the document, a waiting watch counted as one.
    pub document: u64,
    /// Reads of the instance list.
    pub instances: u64,
}

#[derive(Clone, Debug, Default)]
struct Published {
    text: Name,
    revision: Revision,
}

#[derive(Debug)]
struct Inner {
    document: watch::Sender<Published>,
    stale: Mutex<Option<Published>>,
    instances: Mutex<Vec<Instance>>,
    down: AtomicBool,
    configuration_down: AtomicBool,
    document_reads: AtomicU64,
    instance_reads: AtomicU64,
}

/// The platform's two services, until dropped.
#[derive(Debug)]
pub struct Platform {
    inner: Arc<Inner>,
    stop: CancellationToken,
}

impl Platform {
    /// Starts both services.
    pub async fn start(
        configuration: SocketAddr,
        instances: SocketAddr,
    ) -> Result<Self, NetworkError> {
        let inner = Arc::new(Inner {
            document: watch::Sender::new(Published::default()),
            stale: Mutex::default(),
            instances: Mutex::default(),
            down: AtomicBool::new(false),
            configuration_down: AtomicBool::new(false),
            document_reads: AtomicU64::new(0),
            instance_reads: AtomicU64::new(0),
        });
        let stop = CancellationToken::new();
        for address in [configuration, instances] {
            let listener = listen(address).await?;
            let inner = Arc::clone(&inner);
            tokio::spawn(serve(listener, stop.clone(), move |request, _peer| {
                Arc::clone(&inner).handle(request)
            }));
        }
        Ok(Self { inner, stop })
    }

    /// Publishes a document as operators do; the service itself checks nothing.
    pub fn publish(&self, text: &str) {
        self.inner.publish(text);
    }

    /// Replaces the instance list.
    pub fn list(&self, instances: Vec<Instance>) {
        *lock(&self.inner.instances) = instances;
    }

    /// Makes both services answer 503, or answer again.
    pub fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::Relaxed);
        self.set_configuration_down(down);
    }

    /// Makes only the configuration service answer 503, or answer again.
    pub fn set_configuration_down(&self, down: bool) {
        self.inner.configuration_down.store(down, Ordering::Relaxed);
    }

    /// Makes the service answer with an older document, or with the published one again.
    pub fn set_stale(&self, text: Option<&str>) {
        *lock(&self.inner.stale) = text.map(published);
    }

    /// Returns how often the platform was called.
    pub fn counts(&self) -> Counts {
        Counts {
            document: self.inner.document_reads.load(Ordering::Relaxed),
            instances: self.inner.instance_reads.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Inner {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let down = match path.as_str() {
            "/v1/instances" => self.down.load(Ordering::Relaxed),
            _ => self.configuration_down.load(Ordering::Relaxed),
        };
        match (request.method(), path.as_str()) {
            (&Method::POST, "/publish") => self.take_document(request).await,
            (&Method::POST, "/instances") => self.take_instances(request).await,
            (&Method::GET, "/counts") => {
                let counts = Counts {
                    document: self.document_reads.load(Ordering::Relaxed),
                    instances: self.instance_reads.load(Ordering::Relaxed),
                };
                json(StatusCode::OK, serde_json::to_vec(&counts).unwrap_or_default())
            }
            (&Method::POST, "/down") => self.set_down(true),
            (&Method::POST, "/up") => self.set_down(false),
            _ if down => text(StatusCode::SERVICE_UNAVAILABLE, "down"),
            (&Method::GET, "/v1/document") => self.read_document(),
            (&Method::GET, "/v1/watch") => self.watch(request.uri().query()).await,
            (&Method::GET, "/v1/instances") => {
                self.instance_reads.fetch_add(1, Ordering::Relaxed);
                let body = serde_json::to_vec(&*lock(&self.instances)).unwrap_or_default();
                json(StatusCode::OK, body)
            }
            _ => text(StatusCode::NOT_FOUND, "unknown path"),
        }
    }

    fn set_down(&self, down: bool) -> Response<Body> {
        self.down.store(down, Ordering::Relaxed);
        self.configuration_down.store(down, Ordering::Relaxed);
        text(StatusCode::OK, "taken")
    }

    fn read_document(&self) -> Response<Body> {
        self.document_reads.fetch_add(1, Ordering::Relaxed);
        let stale = lock(&self.stale).clone();
        let published = stale.unwrap_or_else(|| self.document.borrow().clone());
        if published.revision == 0 && published.text.is_empty() {
            return text(StatusCode::NOT_FOUND, "nothing published");
        }
        json(StatusCode::OK, published.text.as_bytes().to_vec())
    }

    async fn watch(&self, query: Option<&str>) -> Response<Body> {
        self.document_reads.fetch_add(1, Ordering::Relaxed);
        let number = |name: &str| {
            let pairs =
                query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).and_then(|(_, n)| n.parse().ok())
        };
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(1000));
        if let Some(stale) = lock(&self.stale).clone()
            && stale.revision > after
        {
            return json(StatusCode::OK, stale.text.as_bytes().to_vec());
        }
        let mut document = self.document.subscribe();
        let newer = document.wait_for(|published| published.revision > after);
        match tokio::time::timeout(wait, newer).await {
            Ok(Ok(published)) => json(StatusCode::OK, published.text.as_bytes().to_vec()),
            _ => json(StatusCode::NO_CONTENT, ""),
        }
    }

    async fn take_document(&self, request: Request<Incoming>) -> Response<Body> {
        match read_body(request, LARGEST).await.map(|body| String::from_utf8(body.to_vec())) {
            Ok(Ok(document)) => {
                self.publish(&document);
                text(StatusCode::OK, "published")
            }
            _ => text(StatusCode::BAD_REQUEST, "not a document"),
        }
    }

    async fn take_instances(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_body(request, LARGEST).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(instances) => {
                *lock(&self.instances) = instances;
                text(StatusCode::OK, "taken")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn publish(&self, text: &str) {
        self.document.send_replace(published(text));
    }
}

/// Reads the revision loosely: the service publishes whatever operators give it.
fn published(text: &str) -> Published {
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    let revision = value.get("revision").and_then(serde_json::Value::as_u64).unwrap_or(u64::MAX);
    Published { text: Name::from(text), revision }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
