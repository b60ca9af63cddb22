//! HTTP service of the metadata store and the promotion call.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::{Query, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::middleware::map_response_with_state;
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Json, Router};
use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::member::GroupState;
use super::{lock, SiteState, GROUP, PROMOTION_TIME};

/// Interval at which a waiting `/v1/rows-feed` request looks for changes.
const FEED_POLL: Duration = Duration::from_millis(5);
/// Age up to which copies of the rows are kept.
const COPY_MAX_AGE: Duration = Duration::from_secs(20);
/// Header of every answer with the number of the store's history.
const ERA_HEADER: &str = "Store-Era";

type SharedView = State<StoreView>;
type JsonAnswer = (StatusCode, Json<Value>);

/// The store as the readers of one address see it.
#[derive(Clone, Debug)]
pub(super) struct StoreView {
    pub(super) site: Arc<Mutex<SiteState>>,
    /// Addresses that replace the members' own, by member id.
    pub(super) endpoints: Arc<HashMap<String, SocketAddr>>,
}

impl StoreView {
    fn rows_after(&self, site: &mut SiteState, table: &str, after: u64) -> Value {
        let mut answer = site.store.rows_after(table, after);
        if table != "servers" || self.endpoints.is_empty() {
            return answer;
        }
        for row in answer["rows"].as_array_mut().into_iter().flatten() {
            let key = row["key"].as_str().unwrap_or("").to_owned();
            let found = site.groups.iter().find_map(|group| {
                let member = group.members.iter().find(|one| one.id == key)?;
                Some((member, group.slots))
            });
            if let (Some((member, slots)), Some(endpoint)) = (found, self.endpoints.get(&key)) {
                let entry = member.entry_at(*endpoint, slots);
                row["value"] = BASE64_STANDARD.encode(entry).into();
            }
        }
        answer
    }
}

/// Value of a row, and the store version that wrote it.
#[derive(Clone, Debug)]
struct RowState {
    value: Vec<u8>,
    version: u64,
    /// Whether readers get the value as it is instead of in base64.
    is_raw: bool,
}

/// The store's rows, by table and key.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    pub(super) down: bool,
    /// Whether answers do not state the era.
    pub(super) hides_era: bool,
    /// Number of returns from an older copy.
    returns: u64,
    contents: StoreContents,
    copies: VecDeque<(Instant, StoreContents)>,
    started: Option<Instant>,
}

/// What the store loses when it returns from an older copy.
#[derive(Clone, Debug, Default)]
struct StoreContents {
    version: u64,
    rows: BTreeMap<(String, String), RowState>,
}

impl StoreState {
    pub(super) fn put(&mut self, table: &str, key: &str, value: Vec<u8>) -> u64 {
        self.put_row(table, key, value, false)
    }

    /// Writes a row whose value readers get as it is instead of in base64.
    pub(super) fn put_raw(&mut self, table: &str, key: &str, text: &str) -> u64 {
        self.put_row(table, key, text.as_bytes().to_vec(), true)
    }

    fn put_row(&mut self, table: &str, key: &str, value: Vec<u8>, is_raw: bool) -> u64 {
        let contents = &mut self.contents;
        contents.version += 1;
        let row = RowState {
            value,
            version: contents.version,
            is_raw,
        };
        contents
            .rows
            .insert((table.to_owned(), key.to_owned()), row);
        contents.version
    }

    pub(super) fn remove(&mut self, table: &str, key: &str) {
        self.contents.version += 1;
        self.contents
            .rows
            .remove(&(table.to_owned(), key.to_owned()));
    }

    /// Returns the value of a row.
    pub(super) fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let row = self.contents.rows.get(&(table.to_owned(), key.to_owned()));
        row.map(|row| row.value.clone())
    }

    /// Keeps a copy of the rows.
    pub(super) fn record_copy(&mut self) {
        let now = Instant::now();
        self.copies.push_back((now, self.contents.clone()));
        self.copies
            .retain(|(at, _)| now.duration_since(*at) < COPY_MAX_AGE);
    }

    /// Returns to the newest copy that is at least `lost` old, or to an empty store if
    /// there is none. Revisions from then on are given out again.
    pub(super) fn restore(&mut self, lost: Duration) {
        let now = Instant::now();
        self.copies
            .retain(|(at, _)| now.duration_since(*at) >= lost);
        let newest = self.copies.back();
        self.contents = newest.map(|(_, copy)| copy.clone()).unwrap_or_default();
        self.returns += 1;
    }

    /// Returns the newest revision.
    pub(super) fn version(&self) -> u64 {
        self.contents.version
    }

    /// Number of the store's history.
    fn era(&self) -> u64 {
        self.returns + 1
    }

    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.contents.rows.get(&(table.to_owned(), key.to_owned()));
        row.map_or(0, |row| row.version)
    }

    fn now_ms(&mut self) -> u64 {
        let started = *self.started.get_or_insert_with(Instant::now);
        started.elapsed().as_millis() as u64
    }

    fn rows_after(&mut self, table: &str, after: u64) -> Value {
        let rows: Vec<Value> = self
            .contents
            .rows
            .iter()
            .filter(|((name, _), row)| name == table && row.version > after)
            .map(|((name, key), row)| row_value(name, key, row))
            .collect();
        json!({
            "rows": rows, "hasMore": false, "rowVersion": self.contents.version,
            "serverTimeMs": self.now_ms(),
        })
    }
}

fn row_value(table: &str, key: &str, row: &RowState) -> Value {
    let value = match row.is_raw {
        true => String::from_utf8_lossy(&row.value).into_owned(),
        false => BASE64_STANDARD.encode(&row.value),
    };
    json!({
        "table": table, "part": "", "key": key,
        "value": value, "rowVersion": row.version,
    })
}

/// Builds a configuration with a route for each database to the stand-in's
/// group. The name of the database selects the kind of the route.
pub(super) fn configuration(version: u64, databases: &[&str]) -> Value {
    let routes: Vec<Value> = databases
        .iter()
        .map(|database| {
            let kind = match *database {
                "bounded" => "bounded_stale",
                "own" => "read_your_writes",
                _ => "primary",
            };
            json!({
                "name": format!("r-{database}"), "hostname": database, "prefix": "/",
                "type": kind, "timeoutMs": 1000, "targetLatencyMs": 400, "priority": 1,
                "service": GROUP, "maxAttempts": 2, "maxStalenessMs": 1500,
            })
        })
        .collect();
    json!({
        "version": version, "routes": routes,
        "services": [{"name": GROUP, "healthPath": "/health", "maxConns": 40,
            "protocol": "h1", "tls": false, "syncReplicas": 0}],
        "limits": {"txIdleMs": 500},
    })
}

/// Serves the store and the promotion call until the future is dropped.
pub(super) async fn serve(listener: TcpListener, view: StoreView) {
    let router = Router::new()
        .route("/v1/rows-get", get(rows_get))
        .route("/v1/rows-feed", get(rows_feed))
        .route("/v1/rows-tx", post(rows_tx))
        .route("/failover", post(failover))
        .layer(map_response_with_state(view.clone(), add_era))
        .with_state(view);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("the stand-in metadata store stopped: {error}");
    }
}

async fn add_era(State(view): SharedView, mut response: Response) -> Response {
    let (era, hides_era) = {
        let site = lock(&view.site);
        (site.store.era(), site.store.hides_era)
    };
    if !hides_era {
        let headers = response.headers_mut();
        headers.insert(ERA_HEADER, HeaderValue::from(era));
    }
    response
}

fn unavailable() -> JsonAnswer {
    (StatusCode::SERVICE_UNAVAILABLE, Json(json!({})))
}

async fn rows_get(
    State(view): SharedView,
    Query(query): Query<HashMap<String, String>>,
) -> JsonAnswer {
    let mut site = lock(&view.site);
    if site.store.down {
        return unavailable();
    }
    let table = query.get("table").map_or("", String::as_str);
    (StatusCode::OK, Json(view.rows_after(&mut site, table, 0)))
}

async fn rows_feed(
    State(view): SharedView,
    Query(query): Query<HashMap<String, String>>,
) -> JsonAnswer {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let table = query.get("table").map_or("", String::as_str);
    let after = number("after").unwrap_or(0);
    let wait = Duration::from_millis(number("waitTimeoutMs").unwrap_or(0));
    let end = Instant::now() + wait;
    loop {
        {
            let mut site = lock(&view.site);
            if site.store.down {
                return unavailable();
            }
            if after > site.store.contents.version {
                return (StatusCode::GONE, Json(json!({})));
            }
            let answer = view.rows_after(&mut site, table, after);
            let has_rows = answer["rows"]
                .as_array()
                .is_some_and(|rows| !rows.is_empty());
            if has_rows || Instant::now() >= end {
                return (StatusCode::OK, Json(answer));
            }
        }
        sleep(FEED_POLL).await;
    }
}

async fn rows_tx(State(view): SharedView, Json(body): Json<Value>) -> JsonAnswer {
    let mut site = lock(&view.site);
    if site.store.down {
        return unavailable();
    }
    let text = |value: &Value, name: &str| value[name].as_str().unwrap_or("").to_owned();
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    for row in list("expected") {
        let (table, key) = (text(&row, "table"), text(&row, "key"));
        if site.store.version_of(&table, &key) != row["rowVersion"].as_u64().unwrap_or(0) {
            let current = site.store.contents.rows.get(&(table.clone(), key.clone()));
            let rows: Vec<Value> = current
                .map(|row| row_value(&table, &key, row))
                .into_iter()
                .collect();
            return (StatusCode::PRECONDITION_FAILED, Json(json!({"rows": rows})));
        }
    }
    for row in list("remove") {
        site.store.remove(&text(&row, "table"), &text(&row, "key"));
    }
    let mut version = site.store.contents.version;
    for row in list("puts") {
        let Ok(value) = BASE64_STANDARD.decode(text(&row, "value")) else {
            return (StatusCode::BAD_REQUEST, Json(json!({"error": "value"})));
        };
        version = site
            .store
            .put(&text(&row, "table"), &text(&row, "key"), value);
    }
    let now = site.store.now_ms();
    let answer = json!({"rowVersion": version, "serverTimeMs": now});
    (StatusCode::OK, Json(answer))
}

async fn failover(
    State(view): SharedView,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> JsonAnswer {
    let token = headers
        .get("Fence-Token")
        .and_then(|value| value.to_str().ok());
    let token = token.and_then(|text| text.parse().ok()).unwrap_or(0);
    let id = body["id"].as_str().unwrap_or("").to_owned();
    let group = {
        let mut site = lock(&view.site);
        let is_member = |group: &GroupState| group.members.iter().any(|one| one.id == id);
        let Some(number) = site.groups.iter().position(is_member) else {
            return (StatusCode::CONFLICT, Json(json!({})));
        };
        let group = &mut site.groups[number];
        group.promotions.push(token);
        let mut members = group.members.iter();
        if !members.any(|one| one.id == id && one.alive) {
            return (StatusCode::CONFLICT, Json(json!({})));
        }
        number
    };
    tokio::spawn(async move {
        sleep(PROMOTION_TIME).await;
        lock(&view.site).groups[group].promote(&id);
    });
    (StatusCode::OK, Json(json!({})))
}
