//! Malformed messages at the caller endpoint before log-in. Load pattern: a scanner
//! sends random bytes while other callers are served.

#[path = "support/proxy.rs"]
#[allow(dead_code)]
mod proxy;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use proxy::{connect, rows, start};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::cluster::ClusterSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SEED: u64 = 20_261_204;
const INPUTS: u64 = 600;
/// Time in which the proxy answers or closes the connection.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Wraps a start-up body in a packet of protocol version 3.
fn startup(body: &[u8]) -> Vec<u8> {
    let mut packet = Vec::new();
    packet.extend_from_slice(&(8 + body.len() as i32).to_be_bytes());
    packet.extend_from_slice(&[0, 3, 0, 0]);
    packet.extend_from_slice(body);
    packet
}

/// Wraps the body of a password message.
fn password(body: &[u8]) -> Vec<u8> {
    let mut frame = vec![b'p'];
    frame.extend_from_slice(&(4 + body.len() as i32).to_be_bytes());
    frame.extend_from_slice(body);
    frame
}

fn random_bytes(rng: &mut StdRng) -> Vec<u8> {
    let length = rng.random_range(0..60);
    (0..length).map(|_| rng.random()).collect()
}

fn random_input(rng: &mut StdRng) -> Vec<u8> {
    let login = startup(b"user\0app\0database\0group-0\0\0");
    let body = random_bytes(rng);
    let later = [b"SCRAM-SHA-256\0\0\0\0\x0cn,,n=,r=abcd".as_slice(), &[]].concat();
    match rng.random_range(0..5) {
        0 => body,
        1 => startup(&body),
        2 => [login, password(&body)].concat(),
        3 => [
            login,
            password(&[b"SCRAM-SHA-256\0".as_slice(), &body].concat()),
        ]
        .concat(),
        _ => [login, password(&later), password(&body)].concat(),
    }
}

/// Sends `input` and returns all that the proxy answers until it closes the
/// connection.
async fn answer_to(port: u16, input: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).await.unwrap();
    let mut answer = Vec::new();
    let exchange = async {
        // The proxy may close the connection before it has read everything.
        let _sent = stream.write_all(input).await;
        let _closed = stream.shutdown().await;
        let _read = stream.read_to_end(&mut answer).await;
    };
    let ended = tokio::time::timeout(ANSWER_LIMIT, exchange).await;
    assert!(ended.is_ok(), "the connection stays open");
    answer
}

/// Guards against bytes of a caller that make a task panic, against malformed
/// log-ins without an answer, and against other callers that are not served
/// meanwhile.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_logins_are_answered_and_harm_nobody() {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        hook(info);
    }));
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let config = proxy.config();
    let port = config.get_ports()[0];
    let client = connect(&config).await;
    struct AnswerCase {
        name: &'static str,
        input: Vec<u8>,
    }
    let login = startup(b"user\0app\0database\0group-0\0\0");
    let cases = [
        AnswerCase {
            name: "a start-up packet without terminators",
            input: startup(b"user"),
        },
        AnswerCase {
            name: "a short log-in message",
            input: [login.clone(), password(b"")].concat(),
        },
        AnswerCase {
            name: "a log-in message without its data",
            input: [login, password(b"SCRAM-SHA-256\0\0\0\0\x40n,,")].concat(),
        },
    ];
    for case in cases {
        let answer = answer_to(port, &case.input).await;
        let text = String::from_utf8_lossy(&answer);
        expect_that!(text, contains_substring("08P01"), "{}", case.name);
    }
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..INPUTS {
        answer_to(port, &random_input(&mut rng)).await;
    }
    expect_that!(PANICS.load(Ordering::Relaxed), eq(0));
    let found = rows(&client, "SELECT 1").await.unwrap();
    expect_that!(found, len(eq(1)));
}
