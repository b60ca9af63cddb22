//! Tests the daemon process: `--check` of the settings, signals and startup
//! errors.

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use standin::cluster::{Cluster, ClusterSettings};
use tokio_postgres::NoTls;
use transport::document_store;
use transport::platform::PlatformClient;

const VALID_SETTINGS: &str = r#"
host = "entry-1"
data_centre = "centre-1"
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
metrics_address = "127.0.0.1:0"

[platform]
address = "127.0.0.1:9"
"#;

struct SettingsFile(PathBuf);

impl SettingsFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("cassiad-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cassiad"));
        command.arg("--settings").arg(&self.0);
        command
    }

    fn check(&self) -> Output {
        self.command().arg("--check").output().unwrap()
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

struct CheckCase {
    name: &'static str,
    find: &'static str,
    replace: &'static str,
    expected: &'static [&'static str],
}

fn check_cases() -> Vec<CheckCase> {
    vec![
        CheckCase {
            name: "range",
            find: "[platform]",
            replace: "caller_limit = 0\n[platform]\ntimeout_ms = 5",
            expected: &[
                "caller_limit: found 0, allowed: 1 to 1000000",
                "platform.timeout_ms: found 5, allowed: 10 to 60000",
            ],
        },
        CheckCase {
            name: "name",
            find: "entry-1",
            replace: "Entry 1",
            expected: &["host: found \"Entry 1\", allowed: 1 to 63 characters"],
        },
        CheckCase {
            name: "unknown-key",
            find: "host =",
            replace: "hots =",
            expected: &["hots", "unknown field"],
        },
        CheckCase {
            name: "missing-key",
            find: "data_centre = \"centre-1\"",
            replace: "",
            expected: &["data_centre", "missing field"],
        },
        CheckCase {
            name: "bad-address",
            find: "127.0.0.1:9",
            replace: "localhost",
            expected: &["address", "invalid socket address"],
        },
        CheckCase {
            name: "empty-password",
            find: "[platform]",
            replace: "[[credential]]\nuser = \"app\"\npassword = \"\"\n[platform]",
            expected: &["credential[0]", "a user and a password"],
        },
    ]
}

/// Guards against a daemon that accepts invalid settings, or that reports only
/// the first of several problems.
#[gtest]
fn an_invalid_file_is_rejected_with_all_problems() {
    for case in check_cases() {
        let file = SettingsFile::new(
            case.name,
            &VALID_SETTINGS.replacen(case.find, case.replace, 1),
        );
        let output = file.check();
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output.status.success(), eq(false), "{}", case.name);
        let path = file.0.display().to_string();
        for expected in case.expected {
            expect_that!(text, contains_substring(*expected), "{}", case.name);
        }
        expect_that!(text, contains_substring(path), "{}", case.name);
    }
}

/// Guards against a check that rejects valid files, and against one that treats
/// a missing file as empty.
#[gtest]
fn a_valid_file_passes_and_a_missing_file_fails() {
    let file = SettingsFile::new("good", VALID_SETTINGS);
    expect_that!(file.check().status.code(), some(eq(0)));
    let missing = SettingsFile(std::env::temp_dir().join("cassiad-no-such-file.toml"));
    let output = missing.check();
    expect_that!(output.status.success(), eq(false));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text, contains_substring("cassiad-no-such-file.toml"));
}

fn spawn_daemon(file: &SettingsFile) -> Child {
    let mut command = file.command();
    command
        .stdout(Stdio::piped())
        .arg("--log-level")
        .arg("debug");
    command.spawn().unwrap()
}

fn send_sigterm(child: &Child) {
    let pid = child.id().to_string();
    let status = Command::new("kill").args(["-TERM", &pid]).status().unwrap();
    assert!(status.success());
}

fn wait_for_exit(child: &mut Child, timeout: Duration) -> Option<i32> {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    None
}

/// Guards against a daemon that ignores SIGTERM or exits without a graceful
/// shutdown, and against log lines that are not JSON objects.
#[gtest]
fn sigterm_shuts_the_daemon_down_gracefully() {
    let file = SettingsFile::new("sigterm", VALID_SETTINGS);
    let mut child = spawn_daemon(&file);
    let mut output = BufReader::new(child.stdout.take().unwrap());
    let mut first = String::new();
    output.read_line(&mut first).unwrap();
    send_sigterm(&child);
    expect_that!(
        wait_for_exit(&mut child, Duration::from_secs(5)),
        some(eq(0))
    );
    let mut rest = String::new();
    output.read_to_string(&mut rest).unwrap();
    expect_that!(rest, contains_substring("shutting down"));
    for line in first.lines().chain(rest.lines()) {
        let parsed: std::result::Result<serde_json::Value, _> = serde_json::from_str(line);
        expect_that!(
            parsed.is_ok_and(|value| value.is_object()),
            eq(true),
            "{line}"
        );
    }
}

/// Reads the log up to the line about the caller listener and returns its port.
fn caller_port(output: &mut impl BufRead) -> u16 {
    let mut line = String::new();
    while !line.contains("for callers") {
        line.clear();
        assert!(
            output.read_line(&mut line).unwrap() > 0,
            "the log ended before the caller port was logged"
        );
    }
    let address = line.split(" listens on ").nth(1).unwrap();
    let port = address.split(' ').next().unwrap().rsplit(':').next();
    port.unwrap().parse().unwrap()
}

/// Guards against a first SIGTERM that aborts an open transaction, and against
/// a second SIGTERM that is ignored while an open transaction delays the
/// shutdown.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_first_signal_drains_and_the_second_exits() {
    let reserved = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let cluster = Cluster::start(ClusterSettings {
        entry_hosts: vec![reserved.local_addr().unwrap()],
        ..ClusterSettings::default()
    });
    let cluster = cluster.await.unwrap();
    let address = cluster.platform().address();
    let platform = PlatformClient::new(address, Duration::from_secs(1));
    document_store::publish(&platform, &platform, 0, &cluster.document_text()).await;
    let text = VALID_SETTINGS
        .replace("entry-1", "entry-0")
        .replace("centre-1", &cluster.document().data_centre[0].name)
        .replace("127.0.0.1:9", &address.to_string());
    let credential = "\n[[credential]]\nuser = \"app\"\npassword = \"secret\"\n";
    let file = SettingsFile::new("drain", &format!("{text}{credential}"));
    for commits in [true, false] {
        let mut child = spawn_daemon(&file);
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let port = caller_port(&mut output);
        std::thread::spawn(move || std::io::copy(&mut output, &mut std::io::sink()));
        let target = format!("host=127.0.0.1 port={port} user=app password=secret dbname=group-0");
        let (client, connection) = tokio_postgres::connect(&target, NoTls).await.unwrap();
        tokio::spawn(connection);
        client.batch_execute("BEGIN; SELECT 1").await.unwrap();
        send_sigterm(&child);
        // The open transaction must keep the daemon running after the signal.
        tokio::time::sleep(Duration::from_millis(300)).await;
        expect_that!(child.try_wait().unwrap().is_none(), eq(true));
        if commits {
            expect_that!(client.batch_execute("COMMIT").await, ok(anything()));
        } else {
            send_sigterm(&child);
        }
        let code = if commits { 0 } else { 1 };
        let exit = wait_for_exit(&mut child, Duration::from_secs(3));
        expect_that!(exit, some(eq(code)));
    }
}

/// Guards against a daemon that keeps running although one of its listeners
/// cannot bind.
#[gtest]
fn startup_fails_if_an_address_is_in_use() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupied.local_addr().unwrap().to_string();
    let text = VALID_SETTINGS.replace(
        "peer_address = \"127.0.0.1:0\"",
        &format!("peer_address = \"{address}\""),
    );
    let file = SettingsFile::new("taken", &text);
    let mut child = spawn_daemon(&file);
    expect_that!(
        wait_for_exit(&mut child, Duration::from_secs(5)),
        some(eq(1))
    );
    let mut output = String::new();
    child
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut output)
        .unwrap();
    expect_that!(output, contains_substring("peer_address"));
    expect_that!(output, contains_substring(address));
}
