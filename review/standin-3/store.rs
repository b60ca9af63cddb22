//! The platform's metadata store and its `POST /failover`, over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{decode, encode, quote, Json};

type Promote = Box<dyn Fn(&str, &str, &str, u64) -> u16 + Send + Sync>;

struct Row {
    value: Vec<u8>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
    promote: Promote,
}

impl Store {
    /// `promote` gets service, id, holder and fence, and returns the status of the answer.
    pub fn start(promote: Promote) -> Arc<Store> {
        Arc::new(Store {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            promote,
        })
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let version = tables.version;
        let row = Row {
            value: value.as_bytes().to_vec(),
            version,
        };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        drop(tables);
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        tables.rows.remove(&(table.to_owned(), key.to_owned()));
        drop(tables);
        self.changed.notify_all();
    }

    /// Opens an address, at which one machine calls the store.
    pub fn open(self: &Arc<Store>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let serving = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut words = line.split_whitespace();
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let mut headers = BTreeMap::new();
            loop {
                let mut header = String::new();
                if input.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                match header.trim().split_once(':') {
                    Some((name, value)) => {
                        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned())
                    }
                    None => break,
                };
            }
            let length = headers
                .get("content-length")
                .and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            if input.read_exact(&mut body).is_err() {
                return;
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(method, target, &headers, &body);
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            if output.write_all((head + &answer).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        method: &str,
        target: &str,
        headers: &BTreeMap<String, String>,
        body: &str,
    ) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/v1/rows-get") => {
                let tables = self.tables.lock().unwrap();
                (
                    200,
                    self.rows(&tables, &parameter("table"), &parameter("fromRev"), 0),
                )
            }
            ("GET", "/v1/rows-feed") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("waitTimeoutMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let table = parameter("table");
                let mut tables = self.tables.lock().unwrap();
                loop {
                    let mut rows = tables.rows.iter();
                    let is_new = rows.any(|((name, _), row)| *name == table && row.version > after);
                    let left = end.saturating_duration_since(Instant::now());
                    if is_new || left.is_zero() {
                        return (200, self.rows(&tables, &table, "", after));
                    }
                    tables = self.changed.wait_timeout(tables, left).unwrap().0;
                }
            }
            ("POST", "/v1/rows-tx") => self.transact(&Json::parse(body).unwrap_or(Json::Null)),
            ("POST", "/failover") => {
                let order = Json::parse(body).unwrap_or(Json::Null);
                let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
                let fence = header("fence-token").parse().unwrap_or(0);
                let (service, id) = (order.get("service").text(), order.get("id").text());
                let status = (self.promote)(service, id, &header("lease-holder"), fence);
                (status, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows(&self, tables: &Tables, table: &str, from: &str, after: u64) -> String {
        let mut rows = Vec::new();
        for ((name, key), row) in &tables.rows {
            if name == table && key.as_str() >= from && row.version > after {
                rows.push(row_json(name, key, row));
            }
        }
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"rowVersion\":{},\"serverTimeMs\":{}}}",
            rows.join(","),
            tables.version,
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, call: &Json) -> (u16, String) {
        let mut tables = self.tables.lock().unwrap();
        let key_of = |entry: &Json| {
            let (table, key) = (entry.get("table").text(), entry.get("key").text());
            (table.to_owned(), key.to_owned())
        };
        let is_met = call.get("expected").list().iter().all(|entry| {
            let version = tables.rows.get(&key_of(entry)).map_or(0, |row| row.version);
            version == entry.get("rowVersion").number()
        });
        let puts = call.get("puts").list();
        let is_foreign = |entry: &Json| ["op", "servers"].contains(&entry.get("table").text());
        if puts.iter().any(is_foreign) {
            return (403, "{}".to_owned());
        }
        if !is_met {
            let expected = call.get("expected").list().iter();
            let rows: Vec<String> = expected
                .filter_map(|entry| {
                    let place = key_of(entry);
                    let row = tables.rows.get(&place)?;
                    Some(row_json(&place.0, &place.1, row))
                })
                .collect();
            let time = self.started.elapsed().as_millis();
            let answer = format!(
                "{{\"rows\":[{}],\"rowVersion\":{},\"serverTimeMs\":{time}}}",
                rows.join(","),
                tables.version
            );
            return (412, answer);
        }
        tables.version += 1;
        let version = tables.version;
        for entry in puts {
            let value = decode(entry.get("value").text());
            tables.rows.insert(key_of(entry), Row { value, version });
        }
        for entry in call.get("remove").list() {
            tables.rows.remove(&key_of(entry));
        }
        drop(tables);
        self.changed.notify_all();
        let time = self.started.elapsed().as_millis();
        (
            200,
            format!("{{\"rowVersion\":{version},\"serverTimeMs\":{time}}}"),
        )
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> String {
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":{},\"rowVersion\":{}}}",
        quote(table),
        quote(key),
        quote(&encode(&row.value)),
        row.version
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
