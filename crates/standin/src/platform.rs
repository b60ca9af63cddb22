//! Stand-in for the platform's services over HTTP and JSON, with fault
//! injection.
//!
//! | request | answer |
//! |---|---|
//! | `GET /table/{key}` | `TableRow`; revision 0 when the row does not exist |
//! | `PUT /table/{key}?expected=REV`, body = value | `WriteAnswer` |
//! | `GET /object/{key}` | 200 with the body, or 404 |
//! | `PUT /object/{key}`, body = object | 201 when new, 409 when it exists |
//! | `GET /hosts` | list of `HostEntry`, delayed by the host-list lag |
//! | `PUT /hosts` | replaces the list |
//! | `PUT /fault` | sets [`PlatformFaults`]; never subject to faults itself |

mod listener;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{ConnectInfo, Path, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{from_fn_with_state, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use transport::services::{HostEntry, TableRow, WriteAnswer};

use listener::{BreakableListener, ConnectionBreaker};

/// Faults that the platform injects. A field that is missing in the JSON turns
/// its fault off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", default)]
pub struct PlatformFaults {
    /// Requests have no effect and get no answer.
    pub down: bool,
    /// Time in milliseconds before a request takes effect.
    pub delay_ms: u64,
    /// Requests take effect, then the connection closes without an answer.
    pub lose_answers: bool,
    /// Lag of the host list in milliseconds: readers get the list that was
    /// current this long ago.
    pub host_lag_ms: u64,
}

/// A running platform. Dropping it stops the service and discards its content.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    content: Arc<PlatformContent>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct PlatformContent {
    rows: Mutex<HashMap<String, TableRow>>,
    objects: Mutex<HashMap<String, String>>,
    hosts: Mutex<Vec<HostListVersion>>,
    faults: Mutex<PlatformFaults>,
    requests: AtomicU64,
}

#[derive(Clone, Debug)]
struct HostListVersion {
    listed_at: Instant,
    hosts: Vec<HostEntry>,
}

#[derive(Debug, Deserialize)]
struct WriteCondition {
    expected: u64,
}

impl PlatformServer {
    /// Starts a platform at `address`. Port 0 selects a free port.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let content = Arc::new(PlatformContent::default());
        let service =
            router(content.clone()).into_make_service_with_connect_info::<ConnectionBreaker>();
        let task = tokio::spawn(async move {
            let served = axum::serve(BreakableListener::new(listener), service).await;
            if let Err(error) = served {
                log::error!("the platform stand-in stopped: {error}");
            }
        });
        Ok(Self {
            address,
            content,
            task,
        })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.content.faults) = faults;
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.content.set_hosts(hosts);
    }

    /// Reads a row directly, without the injected faults.
    pub fn row(&self, key: &str) -> TableRow {
        lock(&self.content.rows)
            .get(key)
            .cloned()
            .unwrap_or_default()
    }

    /// Reads an object directly, without the injected faults.
    pub fn object(&self, key: &str) -> Option<String> {
        lock(&self.content.objects).get(key).cloned()
    }

    /// Returns the number of requests that arrived, except those to `/fault`.
    pub fn request_count(&self) -> u64 {
        self.content.requests.load(Ordering::Relaxed)
    }

    /// Waits until the service ends, which happens only when it fails.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PlatformContent {
    fn set_hosts(&self, hosts: Vec<HostEntry>) {
        lock(&self.hosts).push(HostListVersion {
            listed_at: Instant::now(),
            hosts,
        });
    }

    fn write_if(&self, key: &str, expected: u64, value: String) -> WriteAnswer {
        let mut rows = lock(&self.rows);
        let row = rows.entry(key.to_owned()).or_default();
        if row.revision != expected {
            return WriteAnswer::Conflict { row: row.clone() };
        }
        row.revision += 1;
        row.value = value;
        WriteAnswer::Written {
            revision: row.revision,
        }
    }

    fn put_new(&self, key: &str, body: String) -> bool {
        let mut objects = lock(&self.objects);
        if objects.contains_key(key) {
            return false;
        }
        objects.insert(key.to_owned(), body);
        true
    }

    /// Returns the newest host list that is at least as old as the lag, or else
    /// the oldest.
    fn list_hosts(&self) -> Vec<HostEntry> {
        let lag = Duration::from_millis(lock(&self.faults).host_lag_ms);
        let versions = lock(&self.hosts);
        versions
            .iter()
            .rev()
            .find(|version| version.listed_at.elapsed() >= lag)
            .or(versions.first())
            .map(|version| version.hosts.clone())
            .unwrap_or_default()
    }
}

fn router(content: Arc<PlatformContent>) -> Router {
    let service = Router::new()
        .route("/table/{*key}", get(read_row).put(write_row))
        .route("/object/{*key}", get(read_object).put(write_object))
        .route("/hosts", get(read_hosts).put(write_hosts))
        .layer(from_fn_with_state(content.clone(), inject_faults));
    Router::new()
        .route("/fault", put(write_faults))
        .merge(service)
        .with_state(content)
}

async fn inject_faults(
    State(content): State<Arc<PlatformContent>>,
    ConnectInfo(breaker): ConnectInfo<ConnectionBreaker>,
    request: Request,
    next: Next,
) -> Response {
    content.requests.fetch_add(1, Ordering::Relaxed);
    let faults = *lock(&content.faults);
    if faults.down {
        // The request hangs until the client closes the connection.
        std::future::pending::<()>().await;
    }
    sleep(Duration::from_millis(faults.delay_ms)).await;
    let response = next.run(request).await;
    if faults.lose_answers {
        breaker.break_connection();
    }
    response
}

async fn read_row(
    State(content): State<Arc<PlatformContent>>,
    Path(key): Path<String>,
) -> Json<TableRow> {
    Json(lock(&content.rows).get(&key).cloned().unwrap_or_default())
}

async fn write_row(
    State(content): State<Arc<PlatformContent>>,
    Path(key): Path<String>,
    Query(condition): Query<WriteCondition>,
    value: String,
) -> Json<WriteAnswer> {
    Json(content.write_if(&key, condition.expected, value))
}

async fn read_object(
    State(content): State<Arc<PlatformContent>>,
    Path(key): Path<String>,
) -> Response {
    match lock(&content.objects).get(&key).cloned() {
        Some(body) => body.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    State(content): State<Arc<PlatformContent>>,
    Path(key): Path<String>,
    body: String,
) -> StatusCode {
    if content.put_new(&key, body) {
        StatusCode::CREATED
    } else {
        StatusCode::CONFLICT
    }
}

async fn read_hosts(State(content): State<Arc<PlatformContent>>) -> Json<Vec<HostEntry>> {
    Json(content.list_hosts())
}

async fn write_hosts(
    State(content): State<Arc<PlatformContent>>,
    Json(hosts): Json<Vec<HostEntry>>,
) -> StatusCode {
    content.set_hosts(hosts);
    StatusCode::NO_CONTENT
}

async fn write_faults(
    State(content): State<Arc<PlatformContent>>,
    Json(faults): Json<PlatformFaults>,
) -> StatusCode {
    *lock(&content.faults) = faults;
    StatusCode::NO_CONTENT
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
