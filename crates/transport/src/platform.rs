//! A client of the platform's HTTP and JSON service, which has table rows,
//! objects and the list of hosts.

mod body;

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url};
use serde::de::DeserializeOwned;

pub use body::read_limited;

use crate::services::{
    HostEntry, HostList, ObjectStore, Result, ServiceError, TableRow, TableService, WriteAnswer,
};

/// Largest response body that is read. The largest document and the list of
/// 5,700 hosts, which is the target size, are well below it.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Client of the platform's service. Its clones share the connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
    base: Url,
}

impl PlatformClient {
    /// Creates a client. Connections are opened on demand. A request without an
    /// answer after `timeout` fails, and its connection is closed.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        // An HTTP proxy that is set in the environment is for requests to the
        // internet, not for those to the platform.
        let client = Client::builder()
            .no_proxy()
            .timeout(timeout)
            .build()
            .expect("a client without TLS and proxy has no part that can fail");
        let base =
            Url::parse(&format!("http://{address}/")).expect("a socket address makes a valid URL");
        Self { client, base }
    }

    /// Builds a request for `key` in a collection of the service.
    fn request(&self, method: Method, collection: &str, key: &str) -> RequestBuilder {
        let mut url = self.base.clone();
        url.path_segments_mut()
            .expect("an HTTP URL has a path")
            .clear()
            .push(collection)
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

/// Converts a timeout or a lost connection, after which it is unknown whether the
/// request took effect.
fn no_answer(error: &reqwest::Error) -> ServiceError {
    ServiceError::NoAnswer(error.to_string())
}

/// Converts a status that is no answer to the request. After a server error it is
/// unknown whether the request took effect; other statuses violate the protocol.
fn unexpected(status: StatusCode) -> ServiceError {
    if status.is_server_error() {
        return ServiceError::NoAnswer(format!("HTTP status {status}"));
    }
    ServiceError::BadAnswer(format!("HTTP status {status}"))
}
