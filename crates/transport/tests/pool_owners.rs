//! Tests of a pool whose connections belong to owners, with a server that counts its
//! connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coordination::admission::AdmissionSettings;
use googletest::prelude::*;
use tokio::task::yield_now;
use tokio::time::sleep;
use transport::pool::{
    AdmissionGate, IdleState, MemberPool, PoolError, PooledConnection, ReleaseState,
    ServerConnection,
};

/// Longest wait of a request that gets a connection.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Wait of a request that gets none.
const SHORT_WAIT: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerError {
    AtLimit,
    Closed,
    Unreachable,
}

/// What the server saw.
#[derive(Debug, Default)]
struct ServerState {
    /// Owners of the opened connections, in order.
    opened: Vec<&'static str>,
    /// Owners of the closed connections, in order.
    closed: Vec<&'static str>,
    /// Answers to the next attempts to connect.
    failures: Vec<OwnerError>,
}

type SharedServer = Arc<Mutex<ServerState>>;

#[derive(Debug)]
struct OwnedConnection {
    owner: &'static str,
    server: SharedServer,
}

impl Drop for OwnedConnection {
    fn drop(&mut self) {
        self.server.lock().unwrap().closed.push(self.owner);
    }
}

impl ServerConnection for OwnedConnection {
    type Identity = SharedServer;
    type Owner = &'static str;
    type Error = OwnerError;
    const ATTEMPTS_MAX: usize = 16;

    async fn connect(
        _: SocketAddr,
        server: &SharedServer,
        owner: &&'static str,
        _: Instant,
    ) -> std::result::Result<Self, OwnerError> {
        yield_now().await;
        let mut state = server.lock().unwrap();
        if !state.failures.is_empty() {
            return Err(state.failures.remove(0));
        }
        state.opened.push(owner);
        Ok(Self {
            owner,
            server: server.clone(),
        })
    }

    fn is_limit_refusal(error: &OwnerError) -> bool {
        matches!(error, OwnerError::AtLimit | OwnerError::Closed)
    }

    fn is_refusal(error: &OwnerError) -> bool {
        *error == OwnerError::AtLimit
    }

    fn idle_state(&self) -> IdleState {
        IdleState::Alive
    }

    fn received_at(&self) -> Instant {
        Instant::now()
    }

    fn release(&mut self) -> ReleaseState {
        ReleaseState::Reusable
    }

    async fn reset(&mut self) -> bool {
        true
    }
}

struct PoolTest {
    server: SharedServer,
    pool: Arc<MemberPool<OwnedConnection>>,
}

impl PoolTest {
    fn new(share: usize) -> Self {
        let server = SharedServer::default();
        let gate = AdmissionGate::new(AdmissionSettings {
            in_flight_limit: 16,
            queue_length: 16,
            initial_service: Duration::from_millis(1),
        });
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let pool = MemberPool::new("i-1", address, server.clone(), share, gate);
        Self { server, pool }
    }

    async fn check_out(&self, owner: &'static str) -> PooledConnection<OwnedConnection> {
        let deadline = Instant::now() + MAX_WAIT;
        let connection = self.pool.check_out(&owner, deadline).await.unwrap();
        assert_eq!(connection.owner, owner);
        connection
    }

    /// Checks out and returns a connection.
    async fn use_once(&self, owner: &'static str) {
        drop(self.check_out(owner).await);
    }

    fn fail_next(&self, failures: &[OwnerError]) {
        self.server.lock().unwrap().failures = failures.to_vec();
    }

    fn opened(&self) -> Vec<&'static str> {
        self.server.lock().unwrap().opened.clone()
    }

    fn closed(&self) -> Vec<&'static str> {
        self.server.lock().unwrap().closed.clone()
    }
}

/// Guards against a connection that is handed to another owner, and against one that is
/// opened although an idle one of the same owner exists.
#[gtest]
#[tokio::test]
async fn idle_connections_are_reused_by_their_owner_only() {
    let test = PoolTest::new(3);
    for owner in ["alpha", "beta", "alpha", "", "beta", "alpha", ""] {
        test.use_once(owner).await;
    }
    expect_that!(test.opened(), eq(&["alpha", "beta", ""]));
    expect_that!(test.closed(), is_empty());
}

/// Guards against a request that waits although an idle connection of another owner could
/// make room, and against closing the one that was used last.
#[gtest]
#[tokio::test]
async fn the_least_recently_used_idle_connection_makes_room() {
    let test = PoolTest::new(2);
    for owner in ["alpha", "beta", "alpha", "gamma"] {
        test.use_once(owner).await;
    }
    expect_that!(test.closed(), eq(&["beta"]));
    expect_that!(test.opened(), eq(&["alpha", "beta", "gamma"]));
    expect_that!(test.pool.open(), eq(2));
}

/// Guards against more connections than the share when owners alternate, and against
/// closing a connection that is in use.
#[gtest]
#[tokio::test]
async fn connections_in_use_are_not_closed_for_another_owner() {
    let test = PoolTest::new(2);
    let held = [test.check_out("alpha").await, test.check_out("beta").await];
    let deadline = Instant::now() + SHORT_WAIT;
    let refused = test.pool.check_out(&"gamma", deadline).await;
    expect_that!(
        refused.is_err_and(|error| error == PoolError::Exhausted),
        eq(true)
    );
    expect_that!(test.closed(), is_empty());
    expect_that!(test.pool.open(), eq(2));
    drop(held);
    test.use_once("gamma").await;
    expect_that!(test.pool.open(), eq(2));
}

/// Guards against an owner that never gets a connection while others keep returning and
/// taking theirs: waiting requests are served in order of arrival.
#[gtest]
#[tokio::test]
async fn waiting_requests_of_all_owners_are_served_in_order() {
    let test = Arc::new(PoolTest::new(1));
    let held = test.check_out("alpha").await;
    let served = Arc::new(Mutex::new(Vec::new()));
    let mut requests = Vec::new();
    for owner in ["beta", "alpha", "gamma", "alpha"] {
        let (test, served) = (test.clone(), served.clone());
        requests.push(tokio::spawn(async move {
            let _connection = test.check_out(owner).await;
            served.lock().unwrap().push(owner);
        }));
        sleep(Duration::from_millis(5)).await;
    }
    drop(held);
    for request in requests {
        request.await.unwrap();
    }
    let served = served.lock().unwrap().clone();
    expect_that!(served, eq(&["beta", "alpha", "gamma", "alpha"]));
    expect_that!(test.pool.open(), eq(1));
}

/// Guards against a connection that is closed for a request that gave up.
#[gtest]
#[tokio::test]
async fn no_connection_is_closed_for_a_request_that_gave_up() {
    let test = PoolTest::new(1);
    let held = test.check_out("alpha").await;
    let deadline = Instant::now() + SHORT_WAIT;
    let refused = test.pool.check_out(&"beta", deadline).await;
    expect_that!(refused.is_err(), eq(true));
    drop(held);
    test.use_once("alpha").await;
    expect_that!(test.closed(), is_empty());
}

/// Guards against a server that is taken for failed, or a share that is reduced, because
/// the server still counts the connection that was closed to make room.
#[gtest]
#[tokio::test]
async fn a_refusal_after_a_replacement_is_no_failure() {
    struct FailureCase {
        /// Whether an idle connection of another owner is closed first.
        replaces: bool,
        failures: &'static [OwnerError],
        expected: std::result::Result<(), PoolError<OwnerError>>,
        share: usize,
    }
    let cases = [
        FailureCase {
            replaces: true,
            failures: &[OwnerError::AtLimit],
            expected: Ok(()),
            share: 2,
        },
        FailureCase {
            replaces: true,
            failures: &[OwnerError::Closed],
            expected: Ok(()),
            share: 2,
        },
        FailureCase {
            replaces: true,
            failures: &[OwnerError::Unreachable],
            expected: Err(PoolError::Connect(OwnerError::Unreachable)),
            share: 2,
        },
        FailureCase {
            replaces: true,
            failures: &[OwnerError::Closed, OwnerError::Closed],
            expected: Err(PoolError::Exhausted),
            share: 1,
        },
        FailureCase {
            replaces: true,
            failures: &[OwnerError::AtLimit, OwnerError::AtLimit],
            // The server accepts one connection, which is in use.
            expected: Err(PoolError::Exhausted),
            share: 1,
        },
        FailureCase {
            replaces: false,
            failures: &[OwnerError::Closed],
            // The share shrinks to the one connection that the request opens after a pause.
            expected: Ok(()),
            share: 1,
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let test = PoolTest::new(2);
        let _held = case.replaces.then_some(test.check_out("alpha").await);
        test.use_once("alpha").await;
        if !case.replaces {
            test.pool.close_idle_before(Instant::now() + MAX_WAIT);
        }
        test.fail_next(case.failures);
        let deadline = Instant::now() + MAX_WAIT;
        let opened = test.pool.check_out(&"beta", deadline).await;
        expect_that!(opened.map(drop), eq(&case.expected), "case {index}");
        expect_that!(test.pool.share(), eq(case.share), "case {index}");
        expect_that!(test.pool.open(), le(2), "case {index}");
    }
}
