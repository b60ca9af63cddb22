//! Tests of replication and member control: fencing, promotion and divergent
//! logs.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use protocol::member_control::{ControlRefusal, ProposerId};
use standin::cluster::{Cluster, ClusterSettings, MemberAddress};
use state::log::{LogPosition, Term};
use state::member::MemberRole;

use support::{
    connect, control, member, read_names, sqlstate, start_cluster, tarpc_context, wait_until,
};

const OTHER_PROPOSER: ProposerId = ProposerId(1);
const PROPOSER: ProposerId = ProposerId(2);

async fn cluster_with_table() -> Cluster {
    let cluster = start_cluster(ClusterSettings::default()).await;
    let client = connect(&cluster, member(0)).await;
    client
        .batch_execute("CREATE TABLE birds (id int8 PRIMARY KEY, name text)")
        .await
        .unwrap();
    cluster
}

/// Fences all of `members` at `term`, promotes `candidate` and makes the others
/// follow it.
async fn fail_over(cluster: &Cluster, members: &[usize], candidate: usize, term: u64) {
    for index in members {
        let client = control(cluster, member(*index)).await;
        let answer = client.fence(tarpc_context(), Term(term), PROPOSER).await;
        answer.unwrap().unwrap();
    }
    let client = control(cluster, member(candidate)).await;
    let answer = client.promote(tarpc_context(), Term(term), PROPOSER).await;
    answer.unwrap().unwrap();
    for index in members.iter().filter(|index| **index != candidate) {
        follow(cluster, *index, candidate, term).await;
    }
}

async fn follow(cluster: &Cluster, index: usize, primary: usize, term: u64) {
    let client = control(cluster, member(index)).await;
    let address = cluster.control_address(member(primary));
    let answer = client.follow(tarpc_context(), Term(term), address).await;
    answer.unwrap().unwrap();
}

async fn wait_for_equal_logs(cluster: &Cluster, members: &[usize]) {
    wait_until("the logs are equal", || {
        let reports: Vec<_> = members
            .iter()
            .map(|index| cluster.server(member(*index)).unwrap().report())
            .collect();
        reports
            .iter()
            .all(|report| report.log == reports[0].log && report.applied == report.log)
    })
    .await;
}

/// Fails if the replicas do not replay all committed entries in order.
#[tokio::test]
async fn replicas_replay_committed_transactions() {
    let cluster = cluster_with_table().await;
    let client = connect(&cluster, member(0)).await;
    client
        .batch_execute("BEGIN; INSERT INTO birds VALUES (1, 'wren'); INSERT INTO birds VALUES (2, 'owl'); COMMIT")
        .await
        .unwrap();
    client
        .execute("INSERT INTO birds VALUES ($1, $2)", &[&3_i64, &"kite"])
        .await
        .unwrap();
    wait_for_equal_logs(&cluster, &[0, 1, 2]).await;
    for index in 0..3 {
        let names = read_names(&cluster, member(index)).await;
        assert_that!(names, elements_are![eq("wren"), eq("owl"), eq("kite")]);
    }
}

/// Fails if an idle primary sends no heartbeats, which would cause needless
/// failovers.
#[tokio::test]
async fn idle_primary_sends_heartbeats() {
    let cluster = cluster_with_table().await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    for index in 1..3 {
        let report = cluster.server(member(index)).unwrap().report();
        assert_that!(
            report.primary_heartbeat_age,
            some(lt(Duration::from_millis(300)))
        );
    }
}

/// Fails if the receive lag does not delay the receipt of entries, or the apply
/// lag their application.
#[tokio::test]
async fn lag_delays_receipt_and_application() {
    let cluster = cluster_with_table().await;
    wait_for_equal_logs(&cluster, &[0, 1, 2]).await;
    let hour = Duration::from_secs(3_600);
    cluster.server(member(1)).unwrap().set_receive_lag(hour);
    cluster.server(member(2)).unwrap().set_apply_lag(hour);
    // A pull in progress still has the previous lag.
    tokio::time::sleep(Duration::from_millis(250)).await;
    let client = connect(&cluster, member(0)).await;
    client
        .batch_execute("INSERT INTO birds VALUES (1, 'wren')")
        .await
        .unwrap();
    let position = cluster.server(member(0)).unwrap().report().log;
    wait_until("the entry reaches member 2", || {
        cluster.server(member(2)).unwrap().report().log == position
    })
    .await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    let received = cluster.server(member(1)).unwrap().report();
    assert_that!(received.log, lt(position));
    assert_that!(
        received.primary_heartbeat_age,
        some(lt(Duration::from_millis(300)))
    );
    assert_that!(
        cluster.server(member(2)).unwrap().report().applied,
        lt(position)
    );
    assert_that!(read_names(&cluster, member(2)).await, is_empty());
    cluster
        .server(member(2))
        .unwrap()
        .set_apply_lag(Duration::ZERO);
    wait_until("the entry is applied", || {
        cluster.server(member(2)).unwrap().report().applied == position
    })
    .await;
}

/// Fails if a fence cannot be repeated after its answer was lost, or if a term is
/// granted to two proposers.
#[tokio::test]
async fn term_is_granted_to_one_proposer() {
    let cluster = cluster_with_table().await;
    let client = control(&cluster, member(1)).await;
    let first = client
        .fence(tarpc_context(), Term(2), PROPOSER)
        .await
        .unwrap();
    let repeated = client
        .fence(tarpc_context(), Term(2), PROPOSER)
        .await
        .unwrap();
    assert_that!(repeated.unwrap().log, eq(first.unwrap().log));
    let cases = [
        (Term(2), OTHER_PROPOSER, ControlRefusal::WrongProposer),
        (
            Term(1),
            PROPOSER,
            ControlRefusal::StaleTerm { promised: Term(2) },
        ),
    ];
    for (term, proposer, refusal) in cases {
        let answer = client.fence(tarpc_context(), term, proposer).await.unwrap();
        assert_that!(answer, err(eq(refusal)));
    }
    let promotions = [(Term(2), OTHER_PROPOSER), (Term(3), PROPOSER)];
    for (term, proposer) in promotions {
        let answer = client
            .promote(tarpc_context(), term, proposer)
            .await
            .unwrap();
        assert_that!(answer, err(eq(ControlRefusal::WrongProposer)));
    }
}

/// Fails if a fence that is repeated after the promotion demotes the new primary.
#[tokio::test]
async fn repeated_fence_and_promotion_change_nothing() {
    let cluster = cluster_with_table().await;
    fail_over(&cluster, &[0, 1, 2], 1, 2).await;
    let client = control(&cluster, member(1)).await;
    let before = cluster.server(member(1)).unwrap().report();
    let fenced = client
        .fence(tarpc_context(), Term(2), PROPOSER)
        .await
        .unwrap();
    let promoted = client
        .promote(tarpc_context(), Term(2), PROPOSER)
        .await
        .unwrap();
    assert_that!(fenced.unwrap(), eq(before));
    assert_that!(promoted.unwrap(), eq(before));
}

/// Fails if a member that follows the primary of a term can be promoted at that
/// term, or if the primary can be made to follow another member at its own term.
#[tokio::test]
async fn follower_of_a_term_is_not_promoted_at_it() {
    let cluster = cluster_with_table().await;
    fail_over(&cluster, &[0, 1, 2], 1, 2).await;
    let client = control(&cluster, member(2)).await;
    let answer = client
        .promote(tarpc_context(), Term(2), PROPOSER)
        .await
        .unwrap();
    assert_that!(answer, err(eq(ControlRefusal::WrongProposer)));
    let own = control(&cluster, member(1)).await;
    let address = cluster.control_address(member(2));
    let answer = own.follow(tarpc_context(), Term(2), address).await.unwrap();
    assert_that!(
        answer,
        err(eq(ControlRefusal::StaleTerm { promised: Term(2) }))
    );
}

/// Fails if a fenced primary keeps its connections, accepts a write or commits a
/// transaction that was open at the time of the fence.
#[tokio::test]
async fn fence_closes_the_connections_of_a_primary() {
    let cluster = cluster_with_table().await;
    let writer = connect(&cluster, member(0)).await;
    writer
        .batch_execute("BEGIN; INSERT INTO birds VALUES (1, 'wren')")
        .await
        .unwrap();
    let reader = connect(&cluster, member(1)).await;
    for index in 0..2 {
        let client = control(&cluster, member(index)).await;
        let answer = client.fence(tarpc_context(), Term(2), PROPOSER).await;
        answer.unwrap().unwrap();
    }
    let error = writer.batch_execute("COMMIT").await.unwrap_err();
    assert_that!(error.is_closed() || error.code().is_none(), eq(true));
    // A fenced replica keeps its connections.
    reader.batch_execute("SELECT 1").await.unwrap();
    let late_client = connect(&cluster, member(0)).await;
    let error = late_client
        .batch_execute("INSERT INTO birds VALUES (2, 'owl')")
        .await
        .unwrap_err();
    assert_that!(sqlstate(&error), eq("25006"));
    assert_that!(read_names(&cluster, member(0)).await, is_empty());
}

/// Fails if a replica accepts entries of a term below its promised term.
#[tokio::test]
async fn stale_primary_is_refused() {
    let cluster = cluster_with_table().await;
    wait_for_equal_logs(&cluster, &[0, 1, 2]).await;
    fail_over(&cluster, &[1, 2], 1, 2).await;
    let before = cluster.server(member(0)).unwrap().report();
    assert_that!(before.role, eq(MemberRole::Primary));
    let stale_client = connect(&cluster, member(0)).await;
    stale_client
        .batch_execute("INSERT INTO birds VALUES (9, 'ghost')")
        .await
        .unwrap();
    let position = cluster.server(member(0)).unwrap().report().log;
    let client = control(&cluster, member(2)).await;
    let report = client
        .await_position(tarpc_context(), position, Duration::from_secs(5))
        .await
        .unwrap();
    assert_that!(report.confirms(position), eq(false));
    let address = cluster.control_address(member(0));
    let answer = client.follow(tarpc_context(), Term(1), address).await;
    assert_that!(
        answer.unwrap(),
        err(eq(ControlRefusal::StaleTerm { promised: Term(2) }))
    );
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_that!(read_names(&cluster, member(2)).await, is_empty());
}

/// Fails if a superseded primary keeps entries that the new primary does not
/// have, or if its applied position decreases while it joins as a replica.
#[tokio::test]
async fn divergent_entries_are_truncated() {
    let cluster = cluster_with_table().await;
    wait_for_equal_logs(&cluster, &[0, 1, 2]).await;
    fail_over(&cluster, &[1, 2], 1, 2).await;
    let stale_client = connect(&cluster, member(0)).await;
    for id in 10..15 {
        let text = format!("INSERT INTO birds VALUES ({id}, 'ghost')");
        stale_client.batch_execute(&text).await.unwrap();
    }
    let primary = connect(&cluster, member(1)).await;
    primary
        .batch_execute("INSERT INTO birds VALUES (1, 'wren')")
        .await
        .unwrap();
    let before = cluster.server(member(0)).unwrap().report();
    assert_that!(
        before.log.offset,
        gt(cluster.server(member(1)).unwrap().report().log.offset)
    );
    follow(&cluster, 0, 1, 2).await;
    wait_until("member 0 applies the log of the new primary", || {
        let applied = cluster.server(member(0)).unwrap().report().applied;
        assert_that!(applied, ge(before.applied));
        applied == cluster.server(member(1)).unwrap().report().log
    })
    .await;
    for index in 0..3 {
        wait_for_equal_logs(&cluster, &[1, index]).await;
        let names = read_names(&cluster, member(index)).await;
        assert_that!(names, elements_are![eq("wren")]);
    }
}

/// Fails if a promotion does not append an entry at its term, or if a replica does
/// not confirm the position of that entry.
#[tokio::test]
async fn promotion_appends_an_entry_at_its_term() {
    let cluster = cluster_with_table().await;
    wait_for_equal_logs(&cluster, &[0, 1, 2]).await;
    let before = cluster.server(member(2)).unwrap().report().log;
    fail_over(&cluster, &[0, 1, 2], 2, 7).await;
    let expected = LogPosition::new(7, before.offset + 1);
    assert_that!(
        cluster.server(member(2)).unwrap().report().log,
        eq(expected)
    );
    let client = control(&cluster, member(0)).await;
    let report = client
        .await_position(tarpc_context(), expected, Duration::from_secs(5))
        .await
        .unwrap();
    assert_that!(report.confirms(expected), eq(true));
    assert_that!(
        cluster.primary(0),
        some(eq(MemberAddress {
            group: 0,
            member: 2
        }))
    );
}

/// Fails if `await_position` goes on waiting after the member promised a higher
/// term.
#[tokio::test]
async fn await_position_ends_with_the_term() {
    let cluster = cluster_with_table().await;
    let waiting = control(&cluster, member(1)).await;
    let position = LogPosition::new(1, 1_000);
    let wait = tokio::spawn(async move {
        waiting
            .await_position(tarpc_context(), position, Duration::from_secs(8))
            .await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let client = control(&cluster, member(1)).await;
    let answer = client.fence(tarpc_context(), Term(2), PROPOSER).await;
    answer.unwrap().unwrap();
    let report = tokio::time::timeout(Duration::from_secs(2), wait).await;
    assert_that!(report.unwrap().unwrap().unwrap().promised_term, eq(Term(2)));
}
