//! Admission under seeded load: goodput, fairness, bounds, and that a refused
//! request never runs.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use coordination::admission::{
    AdmissionAction, AdmissionQueue, AdmissionRefusal, AdmissionRequest, AdmissionSettings,
    CancelAnswer, OfferAnswer, TicketKey,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;
use state::keys::CustomerKey;

const SLOTS: usize = 6;
const MEAN_SERVICE: f64 = 0.002;
const CAPACITY_PER_SECOND: f64 = SLOTS as f64 / MEAN_SERVICE;

fn seed() -> u64 {
    std::env::var("CASSIA_SEED").map_or(1, |text| text.parse().expect("CASSIA_SEED is a number"))
}

fn exponential(rng: &mut StdRng, mean: f64) -> Duration {
    Duration::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln())
}

fn queue(queue_length: usize, now: Instant) -> AdmissionQueue {
    let settings = AdmissionSettings {
        in_flight_limit: SLOTS,
        queue_length,
        initial_service: Duration::from_secs_f64(MEAN_SERVICE),
    };
    AdmissionQueue::new(settings, now)
}

struct LoadSource {
    customer: CustomerKey,
    weight: u64,
    priority: u8,
    /// Offered load as a share of the capacity.
    load: f64,
    slowness: f64,
}

#[derive(Clone, Debug, Default)]
struct SourceTally {
    offered: u64,
    refused: u64,
    ran: u64,
    in_time: u64,
    service: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum LoadEvent {
    Arrival(usize),
    End(TicketKey, Duration),
}

struct LoadRun<'a> {
    rng: StdRng,
    sources: &'a [LoadSource],
    queue: AdmissionQueue,
    events: BinaryHeap<std::cmp::Reverse<(Instant, LoadEvent)>>,
    owners: BTreeMap<TicketKey, (usize, Instant)>,
    churn: bool,
    tallies: Vec<SourceTally>,
}

impl LoadRun<'_> {
    fn act(&mut self, actions: Vec<AdmissionAction>, now: Instant) {
        for action in actions {
            match action {
                AdmissionAction::Run(ticket) => self.run(ticket, now),
                AdmissionAction::Refuse(ticket, _) => {
                    let (source, _) = self.owners.remove(&ticket).expect("refused once");
                    self.tallies[source].refused += 1;
                }
            }
        }
    }

    fn run(&mut self, ticket: TicketKey, now: Instant) {
        let (source, deadline) = self.owners[&ticket];
        assert!(now < deadline, "ran after the deadline");
        let slowness = self.sources[source].slowness;
        let service = exponential(&mut self.rng, MEAN_SERVICE * slowness);
        self.tallies[source].service += service.as_secs_f64();
        let end = LoadEvent::End(ticket, service);
        self.events.push(std::cmp::Reverse((now + service, end)));
    }

    fn arrive(&mut self, source: usize, now: Instant) {
        let load = &self.sources[source];
        let mean_gap = load.slowness / (load.load * CAPACITY_PER_SECOND);
        let gap = exponential(&mut self.rng, mean_gap);
        let next = LoadEvent::Arrival(source);
        self.events.push(std::cmp::Reverse((now + gap, next)));
        let deadline = now + Duration::from_millis(self.rng.random_range(20..60));
        let request = AdmissionRequest {
            customer: load.customer,
            class: None,
            weight: load.weight,
            priority: load.priority,
            deadline,
        };
        self.tallies[source].offered += 1;
        match self.queue.offer(&request, now) {
            Ok(OfferAnswer::Run(ticket)) => {
                self.owners.insert(ticket, (source, deadline));
                self.run(ticket, now);
            }
            Ok(OfferAnswer::Queued(ticket)) => {
                let known = self.owners.insert(ticket, (source, deadline));
                assert!(known.is_none(), "ticket given twice");
            }
            Err(_) => self.tallies[source].refused += 1,
        }
    }

    fn cancel_or_resize(&mut self, now: Instant) {
        if self.rng.random_bool(0.1) {
            let limit = self.rng.random_range(0..=SLOTS);
            let actions = self.queue.set_in_flight_limit(limit, now);
            self.act(actions, now);
        }
        let count = self.owners.len();
        if count == 0 || self.rng.random_bool(0.8) {
            return;
        }
        let index = self.rng.random_range(0..count);
        let (&ticket, &(source, _)) = self.owners.iter().nth(index).expect("counted");
        match self.queue.cancel(ticket) {
            CancelAnswer::NotRun => {
                self.owners.remove(&ticket);
                self.tallies[source].refused += 1;
            }
            CancelAnswer::Running => {}
            CancelAnswer::Gone => panic!("a live ticket is gone"),
        }
    }

    fn end(&mut self, ticket: TicketKey, service: Duration, now: Instant) {
        let (source, deadline) = self.owners.remove(&ticket).expect("ended once");
        self.tallies[source].ran += 1;
        self.tallies[source].in_time += u64::from(now <= deadline);
        let actions = self.queue.release(ticket, Some(service), now);
        self.act(actions, now);
    }
}

/// Drives a queue with Poisson arrivals and exponential service times; with
/// `churn` callers cancel and the limit in flight changes.
fn drive(sources: &[LoadSource], seconds: u64, seed: u64, churn: bool) -> Vec<SourceTally> {
    let start = Instant::now();
    let end = start + Duration::from_secs(seconds);
    let mut run = LoadRun {
        rng: StdRng::seed_from_u64(seed),
        sources,
        queue: queue(1_000, start),
        events: BinaryHeap::new(),
        owners: BTreeMap::new(),
        churn,
        tallies: vec![SourceTally::default(); sources.len()],
    };
    for source in 0..sources.len() {
        run.arrive(source, start);
    }
    while let Some(std::cmp::Reverse((now, event))) = run.events.pop() {
        if run.churn {
            run.cancel_or_resize(now);
        }
        if run.queue.next_deadline().is_some_and(|due| due <= now) {
            let actions = run.queue.expire(now);
            run.act(actions, now);
        }
        match event {
            LoadEvent::Arrival(_) if now > end => {}
            LoadEvent::Arrival(source) => run.arrive(source, now),
            LoadEvent::End(ticket, service) => run.end(ticket, service, now),
        }
    }
    while let Some(due) = run.queue.next_deadline() {
        let actions = run.queue.expire(due);
        run.act(actions, due);
    }
    assert!(run.owners.is_empty(), "a request was lost");
    for tally in &run.tallies {
        assert_eq!(tally.offered, tally.ran + tally.refused);
    }
    run.tallies
}

fn customers(count: usize) -> Vec<CustomerKey> {
    let mut keys = SlotMap::<CustomerKey, ()>::with_key();
    (0..count).map(|_| keys.insert(())).collect()
}

/// Guards against collapse under overload: work that runs but misses its
/// deadline, or queues that hold only requests that cannot finish.
#[gtest]
fn goodput_under_overload_stays_within_a_tenth_of_the_peak() {
    let customers = customers(3);
    let mut figures = Vec::new();
    for offered in [0.5, 0.9, 1.0, 1.2, 2.0, 5.0] {
        let sources: Vec<LoadSource> = customers
            .iter()
            .enumerate()
            .map(|(index, customer)| LoadSource {
                customer: *customer,
                weight: 1,
                priority: index as u8 * 4,
                load: offered / 3.0,
                slowness: 1.0,
            })
            .collect();
        let tallies = drive(&sources, 20, seed(), false);
        let in_time: u64 = tallies.iter().map(|tally| tally.in_time).sum();
        let late: u64 = tallies.iter().map(|tally| tally.ran - tally.in_time).sum();
        let goodput = in_time as f64 / 20.0;
        println!("offered {offered}x: goodput {goodput:.0}/s, late {late}");
        figures.push((offered, goodput));
    }
    let peak = figures.iter().map(|figure| figure.1).fold(0.0, f64::max);
    for (offered, goodput) in figures.iter().filter(|figure| figure.0 >= 2.0) {
        expect_that!(*goodput, ge(peak * 0.9), "goodput at {}x", offered);
    }
}

/// Guards against a customer that takes more than its weight by flooding, or by
/// sending slow statements.
#[gtest]
fn slot_time_follows_the_weights() {
    let customers = customers(3);
    let source = |index: usize, weight, load, slowness| LoadSource {
        customer: customers[index],
        weight,
        priority: 3,
        load,
        slowness,
    };
    let sources = [
        source(0, 1, 5.0, 1.0),
        source(1, 1, 1.0, 3.0),
        source(2, 2, 1.0, 1.0),
    ];
    let tallies = drive(&sources, 20, seed(), false);
    let total: f64 = tallies.iter().map(|tally| tally.service).sum();
    let shares: Vec<f64> = tallies.iter().map(|tally| tally.service / total).collect();
    println!("shares of slot time for weights 1, 1, 2: {shares:.3?}");
    expect_that!(shares[0], near(0.25, 0.05));
    expect_that!(shares[1], near(0.25, 0.05));
    expect_that!(shares[2], near(0.50, 0.05));
}

/// Guards against starvation of the last priority by a flood of the first.
#[gtest]
fn lowest_priority_keeps_a_small_portion() {
    let customers = customers(2);
    let source = |index: usize, priority, load| LoadSource {
        customer: customers[index],
        weight: 1,
        priority,
        load,
        slowness: 1.0,
    };
    let tallies = drive(&[source(0, 0, 3.0), source(1, 9, 1.0)], 20, seed(), false);
    let total: u64 = tallies.iter().map(|tally| tally.ran).sum();
    let share = tallies[1].ran as f64 / total as f64;
    println!("share of the lowest priority: {share:.3}");
    expect_that!(share, ge(0.02));
    expect_that!(share, le(0.08));
}

/// Guards against requests that are lost, answered twice or run after a refusal
/// when callers cancel and the limit in flight changes.
#[gtest]
fn no_request_is_lost_under_churn() {
    let customers = customers(4);
    let sources: Vec<LoadSource> = (0..4)
        .map(|index| LoadSource {
            customer: customers[index],
            weight: 1 + index as u64,
            priority: index as u8 / 2 * 3,
            load: 0.5,
            slowness: 1.0,
        })
        .collect();
    let tallies = drive(&sources, 10, seed(), true);
    expect_that!(tallies.iter().all(|tally| tally.ran > 100), eq(true));
}

/// Guards against wrong answers at the edges of the bounds.
#[gtest]
fn bounds_and_deadlines_are_answered_as_not_run() {
    let now = Instant::now();
    let mut queue = queue(2, now);
    let request = |millis| AdmissionRequest {
        customer: CustomerKey::default(),
        class: None,
        weight: 1,
        priority: 0,
        deadline: now + Duration::from_millis(millis),
    };
    let running: Vec<TicketKey> = (0..SLOTS)
        .map(|_| match queue.offer(&request(100), now) {
            Ok(OfferAnswer::Run(ticket)) => ticket,
            other => panic!("not admitted: {other:?}"),
        })
        .collect();
    let short = queue.offer(&request(1), now);
    expect_that!(short, err(eq(AdmissionRefusal::DeadlineTooShort)));
    let Ok(OfferAnswer::Queued(first)) = queue.offer(&request(50), now) else {
        panic!("first is queued");
    };
    let Ok(OfferAnswer::Queued(second)) = queue.offer(&request(60), now) else {
        panic!("second is queued");
    };
    let full = queue.offer(&request(100), now);
    expect_that!(full, err(eq(AdmissionRefusal::QueueFull)));
    expect_that!(queue.cancel(running[0]), eq(CancelAnswer::Running));
    let refused = AdmissionAction::Refuse(first, AdmissionRefusal::DeadlineTooShort);
    let at = now + Duration::from_millis(50);
    expect_that!(queue.expire(at), elements_are![eq(&refused)]);
    expect_that!(queue.cancel(first), eq(CancelAnswer::Gone));
    let started = queue.release(running[0], None, at);
    expect_that!(started, elements_are![eq(&AdmissionAction::Run(second))]);
    expect_that!(queue.in_flight(), eq(SLOTS));
}

/// Guards against an estimate from a stall that refuses everything for good.
#[gtest]
fn estimate_from_a_stall_fades() {
    let start = Instant::now();
    let mut queue = queue(10, start);
    let request = |now| AdmissionRequest {
        customer: CustomerKey::default(),
        class: None,
        weight: 1,
        priority: 0,
        deadline: now + Duration::from_millis(50),
    };
    let mut tickets = Vec::new();
    for _ in 0..SLOTS {
        if let Ok(OfferAnswer::Run(ticket)) = queue.offer(&request(start), start) {
            tickets.push(ticket);
        }
    }
    let stalled = start + Duration::from_secs(20);
    for ticket in tickets {
        queue.release(ticket, Some(Duration::from_secs(20)), stalled);
    }
    let alone = queue.offer(&request(stalled), stalled);
    expect_that!(alone, ok(matches_pattern!(OfferAnswer::Run(_))));
    expect_that!(queue.offer(&request(stalled), stalled), err(anything()));
    let later = stalled + Duration::from_secs(10);
    expect_that!(queue.offer(&request(later), later), ok(anything()));
}
