//! Random failovers, restarts and replication lag must not lose accepted writes.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use protocol::member_control::ProposerId;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use standin::cluster::{Cluster, ClusterSettings, MemberAddress};
use state::log::Term;

use support::{connect, control, member, simple_rows, start_cluster, tarpc_context, wait_until};

const MEMBERS: usize = 3;
const ROUNDS: u64 = 25;
const SEEDS: std::ops::Range<u64> = 0..4;

/// Runs random failovers, and counts a write as accepted once a majority of the
/// members confirms its log position.
struct FailoverDriver {
    cluster: Cluster,
    random: StdRng,
    term: u64,
    next_id: i64,
    accepted: BTreeSet<i64>,
}

impl FailoverDriver {
    async fn start(seed: u64) -> Self {
        let cluster = start_cluster(ClusterSettings::default()).await;
        let client = connect(&cluster, member(0)).await;
        client
            .batch_execute("CREATE TABLE birds (id int8 PRIMARY KEY)")
            .await
            .unwrap();
        let position = cluster.server(member(0)).unwrap().report().log;
        wait_until("the table is replicated", || {
            (1..MEMBERS).all(|index| {
                let report = cluster.server(member(index)).unwrap().report();
                report.confirms(position)
            })
        })
        .await;
        Self {
            cluster,
            random: StdRng::seed_from_u64(seed),
            term: 1,
            next_id: 0,
            accepted: BTreeSet::new(),
        }
    }

    /// Tries writes at every member, so that superseded primaries that still
    /// act as primary write too.
    async fn write(&mut self) {
        for index in 0..MEMBERS {
            let client = connect(&self.cluster, member(index)).await;
            let mut last = None;
            for _ in 0..self.random.random_range(1..4) {
                self.next_id += 1;
                let text = format!("INSERT INTO birds VALUES ({})", self.next_id);
                if client.batch_execute(&text).await.is_ok() {
                    last = Some(self.next_id);
                }
            }
            if let Some(id) = last.filter(|_| self.random.random_bool(0.7)) {
                self.confirm(member(index), id).await;
            }
        }
    }

    async fn confirm(&mut self, primary: MemberAddress, id: i64) {
        let position = self.cluster.server(primary).unwrap().report().log;
        let mut confirmations = 1;
        for index in (0..MEMBERS).filter(|index| *index != primary.member) {
            let client = control(&self.cluster, member(index)).await;
            let report = client
                .await_position(tarpc_context(), position, Duration::from_millis(60))
                .await
                .unwrap();
            confirmations += usize::from(report.confirms(position));
        }
        if confirmations > MEMBERS / 2 {
            self.accepted.insert(id);
        }
    }

    /// Fences a random majority and promotes its member with the longest log.
    async fn fail_over(&mut self) {
        self.term += 1;
        let term = Term(self.term);
        let proposer = ProposerId(self.random.random());
        let mut order: Vec<usize> = (0..MEMBERS).collect();
        order.shuffle(&mut self.random);
        order.truncate(self.random.random_range(2..=MEMBERS));
        let mut reports = Vec::new();
        for index in &order {
            let client = control(&self.cluster, member(*index)).await;
            let answer = client.fence(tarpc_context(), term, proposer).await;
            reports.push((answer.unwrap().unwrap().log, *index));
        }
        let (_, chosen) = *reports.iter().max().unwrap();
        let client = control(&self.cluster, member(chosen)).await;
        let answer = client.promote(tarpc_context(), term, proposer).await;
        answer.unwrap().unwrap();
        order.retain(|index| *index != chosen);
        self.follow(&order, chosen).await;
    }

    async fn follow(&self, members: &[usize], primary: usize) {
        for index in members {
            let client = control(&self.cluster, member(*index)).await;
            let address = self.cluster.control_address(member(primary));
            let answer = client.follow(tarpc_context(), Term(self.term), address);
            answer.await.unwrap().unwrap();
        }
    }

    async fn inject_faults(&mut self) {
        let address = member(self.random.random_range(0..MEMBERS));
        if self.random.random_bool(0.3) {
            self.cluster.stop_member(address);
            self.cluster.restart_member(address).await.unwrap();
        }
        let lag = Duration::from_millis(self.random.random_range(0..30));
        let server = self.cluster.server(address).unwrap();
        server.set_receive_lag(lag);
        server.set_apply_lag(lag);
    }

    async fn ids(&self, index: usize) -> BTreeSet<i64> {
        let client = connect(&self.cluster, member(index)).await;
        let rows = simple_rows(&client, "SELECT id FROM birds").await;
        rows.iter()
            .map(|row| row[0].as_deref().unwrap().parse().unwrap())
            .collect()
    }

    async fn check(&self, seed: u64) {
        let primary = self.cluster.primary(0).unwrap().member;
        let others: Vec<usize> = (0..MEMBERS).filter(|index| *index != primary).collect();
        self.follow(&others, primary).await;
        let position = self.cluster.server(member(primary)).unwrap().report().log;
        wait_until("all members agree", || {
            let mut reports =
                (0..MEMBERS).map(|index| self.cluster.server(member(index)).unwrap().report());
            reports.all(|report| report.applied == position)
        })
        .await;
        let ids = self.ids(primary).await;
        for index in others {
            assert_eq!(self.ids(index).await, ids, "seed {seed}, member {index}");
        }
        let lost: Vec<&i64> = self.accepted.difference(&ids).collect();
        assert!(
            lost.is_empty(),
            "seed {seed}: lost accepted writes {lost:?}"
        );
        assert!(
            self.accepted.len() > 5,
            "seed {seed}: too few accepted writes"
        );
    }
}

/// Guards against a failover that loses a write confirmed by a majority, and
/// against members whose data differ after the failovers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_writes_survive_random_failovers() {
    for seed in SEEDS {
        let mut driver = FailoverDriver::start(seed).await;
        for _ in 0..ROUNDS {
            driver.write().await;
            driver.inject_faults().await;
            if driver.random.random_bool(0.6) {
                driver.fail_over().await;
            }
        }
        driver.check(seed).await;
    }
}
