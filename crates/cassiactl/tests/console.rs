//! Guards against forms that are accepted without a session or form token, and
//! against an operator who unknowingly overwrites another operator's change.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cassiactl::archive::DocumentArchive;
use cassiactl::console::{serve, ConsoleContext};
use googletest::prelude::*;
use protocol::peer::DocumentVersion;
use reqwest::header::{COOKIE, LOCATION, SET_COOKIE};
use reqwest::redirect::Policy;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use standin::platform::PlatformServer;
use state::document::IntentDocument;
use state::settings::UserCredential;
use tokio::net::TcpListener;
use transport::platform::PlatformClient;

const FERNWAKE: &str = include_str!("../../../docs/examples/fernwake.toml");

type Archive = DocumentArchive<PlatformClient, PlatformClient>;

/// A console that uses the stand-in platform, with version 1 accepted.
struct ConsoleFixture {
    address: SocketAddr,
    archive: Archive,
    _platform: PlatformServer,
}

impl ConsoleFixture {
    async fn start() -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = PlatformServer::start(loopback).await.expect("a free port");
        let client = PlatformClient::new(platform.address(), Duration::from_secs(1));
        let archive = DocumentArchive::new(client.clone(), client);
        let document = IntentDocument::parse(FERNWAKE).expect("the example is valid");
        archive
            .publish(&DocumentVersion::default(), &document)
            .await;
        let listener = TcpListener::bind(loopback).await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let operators = ["ada", "ben"].map(|user| UserCredential {
            user: user.to_owned(),
            password: "correct horse".to_owned(),
        });
        let context = ConsoleContext::new(archive.clone(), operators.to_vec(), None);
        tokio::spawn(serve(listener, context));
        Self {
            address,
            archive,
            _platform: platform,
        }
    }

    async fn sign_in(&self, operator: &str, password: &str) -> Response {
        self.client()
            .post(self.url("/sign-in"))
            .body(format!("operator={operator}&password={password}"))
            .header("content-type", "application/x-www-form-urlencoded")
            .send()
            .await
            .expect("the console answers")
    }

    async fn signed_in_client(&self, name: &str) -> OperatorClient<'_> {
        let response = self.sign_in(name, "correct+horse").await;
        let cookie = response.headers()[SET_COOKIE].to_str().expect("ASCII");
        let cookie = cookie.split(';').next().expect("a value").to_owned();
        OperatorClient {
            console: self,
            cookie,
        }
    }

    fn client(&self) -> Client {
        let builder = Client::builder().redirect(Policy::none()).no_proxy();
        builder.build().expect("a client without TLS")
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

struct OperatorClient<'a> {
    console: &'a ConsoleFixture,
    cookie: String,
}

impl OperatorClient<'_> {
    async fn get(&self, path: &str) -> String {
        let request = self.console.client().get(self.console.url(path));
        let response = self.send(request).await;
        response.text().await.expect("a page")
    }

    async fn post(&self, path: &str, fields: &str) -> Response {
        let page = self.get("/").await;
        let token = page
            .split("name=\"form_token\" value=\"")
            .nth(1)
            .and_then(|rest| rest.split('"').next())
            .expect("the page has a form token");
        self.post_body(path, &format!("form_token={token}&{fields}"))
            .await
    }

    async fn post_body(&self, path: &str, body: &str) -> Response {
        let request = self.console.client().post(self.console.url(path));
        let request = request
            .header("content-type", "application/x-www-form-urlencoded")
            .body(body.to_owned());
        self.send(request).await
    }

    async fn send(&self, request: RequestBuilder) -> Response {
        let request = request.header(COOKIE, &self.cookie);
        request.send().await.expect("the console answers")
    }

    async fn save_field(&self, section: &str, pointer: &str, text: &str) {
        let pointer = pointer.replace('/', "%2F");
        let fields = format!("action=save&{pointer}={text}");
        let response = self.post(&format!("/section/{section}"), &fields).await;
        assert_eq!(response.status(), StatusCode::SEE_OTHER);
    }
}

#[gtest]
#[tokio::test]
async fn pages_require_a_session_and_forms_a_form_token() {
    let console = ConsoleFixture::start().await;
    let refused = console.sign_in("ada", "wrong").await;
    expect_that!(refused.status(), eq(StatusCode::UNAUTHORIZED));
    for path in ["/", "/section/group", "/review", "/history", "/status"] {
        let response = console.client().get(console.url(path)).send().await;
        let response = response.expect("the console answers");
        expect_that!(response.status(), eq(StatusCode::SEE_OTHER), "{path}");
        expect_that!(response.headers()[LOCATION], eq("/sign-in"), "{path}");
    }
    let ada = console.signed_in_client("ada").await;
    for path in [
        "/accept",
        "/merge",
        "/discard",
        "/restore/1",
        "/section/group",
    ] {
        let response = ada.post_body(path, "action=save&form_token=guess").await;
        expect_that!(response.status(), eq(StatusCode::FORBIDDEN), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn an_operator_with_a_stale_draft_sees_the_changes_and_merges() {
    let console = ConsoleFixture::start().await;
    let ada = console.signed_in_client("ada").await;
    let ben = console.signed_in_client("ben").await;
    ada.save_field("group", "/group/0/member/0/slots", "5")
        .await;
    ben.save_field("deadlines", "/deadlines/drain_ms", "20000")
        .await;
    let accepted = ada.post("/accept", "").await;
    let page = accepted.text().await.expect("a page");
    expect_that!(page, contains_substring("Version 2 is accepted"));
    let stale = ben.post("/accept", "").await;
    expect_that!(stale.headers()[LOCATION], eq("/review"));
    let review = ben.get("/review").await;
    expect_that!(review, contains_substring("slots: changed from 3 to 5"));
    expect_that!(
        review,
        contains_substring("drain_ms: changed from 30000 to 20000")
    );
    expect_that!(review, not(contains_substring("Accept as a new version")));
    ben.post("/merge", "").await;
    let accepted = ben.post("/accept", "").await;
    let page = accepted.text().await.expect("a page");
    expect_that!(page, contains_substring("Version 3 is accepted"));
    let head = console
        .archive
        .load_head()
        .await
        .expect("the store answers");
    let document = head.expect("version 3").document;
    expect_that!(document.group[0].member[0].slots, eq(5));
    expect_that!(document.deadlines.drain_ms, eq(20_000));
}

#[gtest]
#[tokio::test]
async fn a_draft_with_problems_cannot_be_accepted() {
    let console = ConsoleFixture::start().await;
    let ada = console.signed_in_client("ada").await;
    ada.save_field("group", "/group/0/member/0/slots", "0")
        .await;
    let section = ada.get("/section/group").await;
    expect_that!(section, contains_substring("allowed: 1 to 1024"));
    let response = ada.post("/accept", "").await;
    expect_that!(response.headers()[LOCATION], eq("/review"));
    let head = console
        .archive
        .load_head()
        .await
        .expect("the store answers");
    expect_that!(head.map(|head| head.version.version), some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn posted_text_is_escaped() {
    let console = ConsoleFixture::start().await;
    let ada = console.signed_in_client("ada").await;
    ada.save_field("region", "/region/0/name", "%3Cscript%3E")
        .await;
    let page = ada.get("/section/region").await;
    expect_that!(page, not(contains_substring("<script>")));
    expect_that!(page, contains_substring("&lt;script&gt;"));
}

#[gtest]
#[tokio::test]
async fn restoring_creates_a_new_version_with_the_old_content() {
    let console = ConsoleFixture::start().await;
    let ada = console.signed_in_client("ada").await;
    ada.save_field("deadlines", "/deadlines/drain_ms", "20000")
        .await;
    ada.post("/accept", "").await;
    ada.post("/restore/1", "").await;
    ada.post("/accept", "").await;
    let head = console
        .archive
        .load_head()
        .await
        .expect("the store answers");
    let head = head.expect("three versions");
    expect_that!(head.version.version, eq(3));
    expect_that!(head.document.deadlines.drain_ms, eq(30_000));
}
