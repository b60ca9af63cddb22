//! The platform's service over HTTP and JSON: table rows, objects and the list
//! of hosts.

mod body;

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url};
use serde::de::DeserializeOwned;

pub use body::read_limited;

use crate::services::{
    HostEntry, HostList, ObjectStore, Result, ServiceError, TableRow, TableService, WriteAnswer,
};

/// Largest answer that is read: the largest document, and the list of 5,700
/// hosts at the target size, take well under this.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Client of the platform's service; its clones share their connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
    base: Url,
}

impl PlatformClient {
    /// Builds a client. Connections are opened on demand; a request that gets
    /// no answer within `timeout` closes its connection.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        // The environment's HTTP proxy is for callers of the internet, not for
        // the platform's own addresses.
        let client = Client::builder()
            .no_proxy()
            .timeout(timeout)
            .build()
            .expect("a client without TLS and proxy has no part that can fail");
        let base =
            Url::parse(&format!("http://{address}/")).expect("a socket address makes a valid URL");
        Self { client, base }
    }

    fn request(&self, method: Method, kind: &str, key: &str) -> RequestBuilder {
        let mut url = self.base.clone();
        url.path_segments_mut()
            .expect("an HTTP URL has a path")
            .clear()
            .push(kind)
            .extend(key.split('/').filter(|part| !part.is_empty()));
        self.client.request(method, url)
    }
}

impl TableService for PlatformClient {
    async fn read(&self, key: &str) -> Result<TableRow> {
        let response = send(self.request(Method::GET, "table", key)).await?;
        match response.status() {
            StatusCode::OK => read_json(response).await,
            StatusCode::NOT_FOUND => Ok(TableRow::default()),
            status => Err(unexpected(status)),
        }
    }

    async fn write_if(
        &self,
        key: &str,
        expected_revision: u64,
        value: &str,
    ) -> Result<WriteAnswer> {
        let request = self
            .request(Method::PUT, "table", key)
            .query(&[("expected", expected_revision)])
            .body(value.to_owned());
        let response = send(request).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CONFLICT => read_json(response).await,
            status => Err(unexpected(status)),
        }
    }
}

impl ObjectStore for PlatformClient {
    async fn get(&self, key: &str) -> Result<Option<String>> {
        let response = send(self.request(Method::GET, "object", key)).await?;
        match response.status() {
            StatusCode::OK => read_text(response).await.map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    async fn put_new(&self, key: &str, body: &str) -> Result<bool> {
        let request = self
            .request(Method::PUT, "object", key)
            .body(body.to_owned());
        match send(request).await?.status() {
            StatusCode::CREATED => Ok(true),
            StatusCode::CONFLICT => Ok(false),
            status => Err(unexpected(status)),
        }
    }
}

impl HostList for PlatformClient {
    async fn list(&self) -> Result<Vec<HostEntry>> {
        let response = send(self.request(Method::GET, "hosts", "")).await?;
        match response.status() {
            StatusCode::OK => read_json(response).await,
            status => Err(unexpected(status)),
        }
    }
}

async fn send(request: RequestBuilder) -> Result<Response> {
    request.send().await.map_err(|error| no_answer(&error))
}

async fn read_text(response: Response) -> Result<String> {
    let bytes = body::read_limited(response, BODY_LIMIT_BYTES).await?;
    String::from_utf8(bytes).map_err(|error| ServiceError::BadAnswer(error.to_string()))
}

async fn read_json<T: DeserializeOwned>(response: Response) -> Result<T> {
    let bytes = body::read_limited(response, BODY_LIMIT_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|error| ServiceError::BadAnswer(error.to_string()))
}

/// A timeout or a cut connection leaves open whether the request took effect.
fn no_answer(error: &reqwest::Error) -> ServiceError {
    ServiceError::NoAnswer(error.to_string())
}

/// A server error leaves open whether the request took effect; any other
/// status does not belong to the protocol.
fn unexpected(status: StatusCode) -> ServiceError {
    if status.is_server_error() {
        return ServiceError::NoAnswer(format!("HTTP status {status}"));
    }
    ServiceError::BadAnswer(format!("HTTP status {status}"))
}
