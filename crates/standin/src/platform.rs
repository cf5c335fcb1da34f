//! The platform services: the configuration service and the instance list.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Revision};
use bergamot_net::{Body, BodyLimits, NetworkError, json, listen, read_body, serve, text};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The maximum size of a document. The platform stores values of up to a megabyte.
const MAX_DOCUMENT_LEN: usize = 1 << 20;

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The IP address; for a searcher, with the port.
    pub address: Name,
    /// The availability zone.
    pub zone: Name,
    /// `live` or `leaving`.
    pub state: Name,
}

/// Request counts of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of the document. A long poll for changes counts as one.
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

/// The running platform services. They stop when dropped.
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

    /// Publishes a document as an operator does. The service does not validate it.
    pub fn publish(&self, text: &str) {
        self.inner.publish(text);
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        *lock(&self.inner.instances) = instances;
    }

    /// Makes both services respond with 503, or ends that.
    pub fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::Relaxed);
        self.set_configuration_down(down);
    }

    /// Makes only the configuration service respond with 503, or ends that.
    pub fn set_configuration_down(&self, down: bool) {
        self.inner.configuration_down.store(down, Ordering::Relaxed);
    }

    /// Makes the configuration service return this stale document, or with `None` the published
    /// one again.
    pub fn set_stale(&self, text: Option<&str>) {
        *lock(&self.inner.stale) = text.map(parse_published);
    }

    /// Returns the request counts.
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
            (&Method::POST, "/publish") => self.handle_publish(request).await,
            (&Method::POST, "/instances") => self.handle_set_instances(request).await,
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
        let parameter = |name: &str| {
            let pairs =
                query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).and_then(|(_, n)| n.parse().ok())
        };
        let after: u64 = parameter("after").unwrap_or(0);
        let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(1000));
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

    async fn handle_publish(&self, request: Request<Incoming>) -> Response<Body> {
        match read_body(request, &BodyLimits::of_size(MAX_DOCUMENT_LEN))
            .await
            .map(|body| String::from_utf8(body.to_vec()))
        {
            Ok(Ok(document)) => {
                self.publish(&document);
                text(StatusCode::OK, "published")
            }
            _ => text(StatusCode::BAD_REQUEST, "not a document"),
        }
    }

    async fn handle_set_instances(&self, request: Request<Incoming>) -> Response<Body> {
        let body =
            read_body(request, &BodyLimits::of_size(MAX_DOCUMENT_LEN)).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(instances) => {
                *lock(&self.instances) = instances;
                text(StatusCode::OK, "taken")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn publish(&self, text: &str) {
        self.document.send_replace(parse_published(text));
    }
}

/// Parses the revision of a document. A document without a readable revision gets the highest one,
/// because the service publishes whatever operators provide.
fn parse_published(text: &str) -> Published {
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    let revision = value.get("revision").and_then(serde_json::Value::as_u64).unwrap_or(u64::MAX);
    Published { text: Name::from(text), revision }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
