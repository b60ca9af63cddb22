//! Tests of a pool before a server that accepts fewer connections than its hosts want.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::admission::AdmissionSettings;
use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;
use transport::pool::{
    AdmissionGate, IdleState, MemberPool, PoolError, ReleaseState, ServerConnection,
};

/// Time in which the server answers a greeting.
const GREETING: Duration = Duration::from_millis(12);
/// Share of the host in these tests.
const SHARE: usize = 20;

/// A server that accepts up to `limit` connections.
#[derive(Debug, Default)]
struct FakeServer {
    limit: AtomicUsize,
    open: AtomicUsize,
    attempts: AtomicUsize,
    running: AtomicUsize,
    running_max: AtomicUsize,
}

#[derive(Debug)]
struct FakeConnection {
    server: Arc<FakeServer>,
    opened_at: Instant,
}

impl Drop for FakeConnection {
    fn drop(&mut self) {
        self.server.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ServerConnection for FakeConnection {
    type Identity = Arc<FakeServer>;
    type Owner = ();
    type Error = &'static str;
    const ATTEMPTS_MAX: usize = 2;

    async fn connect(
        _address: SocketAddr,
        server: &Arc<FakeServer>,
        _owner: &(),
        _deadline: Instant,
    ) -> std::result::Result<Self, Self::Error> {
        server.attempts.fetch_add(1, Ordering::SeqCst);
        let running = server.running.fetch_add(1, Ordering::SeqCst) + 1;
        server.running_max.fetch_max(running, Ordering::SeqCst);
        sleep(GREETING).await;
        server.running.fetch_sub(1, Ordering::SeqCst);
        if server.open.load(Ordering::SeqCst) >= server.limit.load(Ordering::SeqCst) {
            return Err("turned away");
        }
        server.open.fetch_add(1, Ordering::SeqCst);
        Ok(Self {
            server: server.clone(),
            opened_at: Instant::now(),
        })
    }

    fn is_limit_refusal(_error: &Self::Error) -> bool {
        true
    }

    fn is_refusal(_error: &Self::Error) -> bool {
        true
    }

    fn idle_state(&self) -> IdleState {
        IdleState::Alive
    }

    fn received_at(&self) -> Instant {
        self.opened_at
    }

    fn release(&mut self) -> ReleaseState {
        ReleaseState::Reusable
    }

    async fn reset(&mut self) -> bool {
        true
    }
}

fn pool_of(limit: usize) -> (Arc<FakeServer>, Arc<MemberPool<FakeConnection>>) {
    let server = Arc::new(FakeServer::default());
    server.limit.store(limit, Ordering::SeqCst);
    let gate = AdmissionGate::new(AdmissionSettings {
        in_flight_limit: SHARE,
        queue_length: SHARE,
        initial_service: Duration::from_millis(1),
    });
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let pool = MemberPool::new("a", address, server.clone(), SHARE, gate);
    (server, pool)
}

fn after(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

/// Guards against a member whose slots do nothing but open connections after a loss of
/// many hosts, 12 ms of a slot each.
#[gtest]
#[tokio::test]
async fn at_most_two_connections_are_opened_at_a_time() {
    let (server, pool) = pool_of(SHARE);
    let requests = (0..SHARE).map(|_| pool.check_out(&(), after(2_000)));
    let opened = join_all(requests).await;
    expect_that!(opened.iter().filter(|one| one.is_ok()).count(), eq(SHARE));
    expect_that!(server.running_max.load(Ordering::SeqCst), eq(2));
}

/// Guards against many requests that wait for a full server until their deadline, and
/// that each open connections which it resets.
#[gtest]
#[tokio::test]
async fn a_full_server_is_reported_at_once_and_asked_again_after_a_pause() {
    let (server, pool) = pool_of(0);
    let began_at = Instant::now();
    let requests = (0..50).map(|_| pool.check_out_below_limit(&(), after(2_000)));
    let refused = join_all(requests).await;
    expect_that!(began_at.elapsed(), lt(Duration::from_millis(300)));
    for answer in refused {
        expect_true!(matches!(answer, Err(PoolError::AtLimit { .. })));
    }
    expect_that!(server.attempts.load(Ordering::SeqCst), le(2));
    // The pauses of 50, 100, 200, 400 and 800 ms, each at least 0.75 of that, allow
    // five more rounds in 1.9 s.
    let end = after(1_900);
    while Instant::now() < end {
        // Only the number of attempts matters here.
        let _refused = pool.check_out_below_limit(&(), end).await;
        sleep(Duration::from_millis(5)).await;
    }
    expect_that!(server.attempts.load(Ordering::SeqCst), le(2 + 2 * 6));
    expect_that!(server.attempts.load(Ordering::SeqCst), ge(3));
}

/// Guards against a request that is refused although a connection becomes free in time.
#[gtest]
#[tokio::test]
async fn a_request_that_is_turned_away_gets_an_existing_connection() {
    let (server, pool) = pool_of(1);
    let held = pool.check_out(&(), after(1_000)).await.unwrap();
    let second = tokio::spawn({
        let pool = pool.clone();
        async move {
            pool.check_out_below_limit(&(), after(1_000))
                .await
                .map(drop)
        }
    });
    sleep(Duration::from_millis(30)).await;
    expect_that!(pool.share(), eq(1));
    drop(held);
    expect_true!(second.await.unwrap().is_ok());
    expect_that!(server.attempts.load(Ordering::SeqCst), eq(2));
}

/// Guards against requests that wait in vain after the last connection was lost while
/// new ones are paused.
#[gtest]
#[tokio::test]
async fn waiting_requests_learn_that_the_last_connection_is_gone() {
    let (server, pool) = pool_of(1);
    let held = pool.check_out(&(), after(1_000)).await.unwrap();
    let second = tokio::spawn({
        let pool = pool.clone();
        async move {
            pool.check_out_below_limit(&(), after(5_000))
                .await
                .map(drop)
        }
    });
    sleep(Duration::from_millis(30)).await;
    server.limit.store(0, Ordering::SeqCst);
    let closed_at = Instant::now();
    held.close();
    let answer = second.await.unwrap();
    expect_true!(matches!(answer, Err(PoolError::AtLimit { .. })));
    expect_that!(closed_at.elapsed(), lt(Duration::from_millis(500)));
}

#[gtest]
#[tokio::test]
async fn the_waiting_request_with_the_earliest_deadline_is_served_first() {
    let (_server, pool) = pool_of(SHARE);
    pool.set_share(1);
    let held = pool.check_out(&(), after(1_000)).await.unwrap();
    let order = Arc::new(std::sync::Mutex::new(Vec::new()));
    let requests = [900_u64, 600, 700].map(|millis| {
        let (pool, order) = (pool.clone(), order.clone());
        tokio::spawn(async move {
            let connection = pool.check_out(&(), after(millis)).await.unwrap();
            order.lock().unwrap().push(millis);
            drop(connection);
        })
    });
    sleep(Duration::from_millis(50)).await;
    drop(held);
    join_all(requests).await;
    expect_that!(*order.lock().unwrap(), eq(&[600, 700, 900]));
}

#[gtest]
#[tokio::test]
async fn connections_are_counted_once() {
    let (_server, pool) = pool_of(2);
    let requests = (0..3).map(|_| pool.check_out_below_limit(&(), after(100)));
    let held = join_all(requests).await;
    let counts = pool.take_counts();
    expect_that!(counts.opened, eq(2));
    expect_that!(counts.turned_away, eq(1));
    expect_that!(counts.closed, eq(0));
    drop(held);
    pool.set_share(0);
    let counts = pool.take_counts();
    expect_that!(counts.opened, eq(0));
    expect_that!(counts.closed, eq(2));
}
