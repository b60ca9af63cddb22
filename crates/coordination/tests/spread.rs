//! A simulation of 2,800 daemons that distribute document versions by gossip.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use coordination::gossip::{
    DataCentrePeers, GossipAction, GossipPeers, GossipSchedule, PEER_CALL_TIMEOUT,
};
use coordination::rendezvous;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DATA_CENTRES: usize = 6;
const DAEMONS: usize = 2_800;
/// Size of a digest with its RPC and TCP/IP headers, in one direction.
const DIGEST_BYTES: u64 = 400;
/// Size of a request for a document, with headers.
const FETCH_BYTES: u64 = 150;
/// Size of the changed part of a document. Sending whole documents of 2,900 groups
/// would exceed 5 KB/s at 1,700 changes a day.
const BODY_BYTES: u64 = 4_000;
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

struct GossipCase {
    name: &'static str,
    loss: f64,
    /// Fraction of the listed hosts that are dead.
    dead: f64,
    /// Whether all readers of the first data centre are dead but not suspected.
    readers_dead: bool,
    /// Seconds during which the store is down.
    outage: std::ops::Range<u64>,
    /// Seconds at which versions are published.
    publish: Vec<u64>,
}

/// A request or answer between two daemons. `call` is the number of the exchange or
/// fetch, or 0 for a push.
#[derive(Clone, Copy)]
struct PeerMessage {
    from: usize,
    to: usize,
    version: u64,
    call: u64,
}

impl PeerMessage {
    fn answer(self, version: u64) -> Self {
        let (from, to) = (self.to, self.from);
        Self {
            from,
            to,
            version,
            ..self
        }
    }
}

enum SimEvent {
    Due(usize),
    Digest(PeerMessage),
    DigestAnswer(PeerMessage),
    Fetch(PeerMessage),
    Body(PeerMessage),
    ExchangeTimeout(usize, u64),
    FetchTimeout(usize, u64),
    StoreAnswer(usize, Option<u64>),
}

struct SimDaemon {
    gossip: GossipSchedule,
    data_centre: usize,
    alive: bool,
    reader: bool,
    version: u64,
    due_at: Instant,
    exchange_call: u64,
    fetch_call: u64,
    bytes: u64,
}

struct Simulation<'a> {
    case: &'a GossipCase,
    rng: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Events by sequence number.
    pending: HashMap<u64, SimEvent>,
    sequence: u64,
    daemons: Vec<SimDaemon>,
    peer_sets: Vec<[GossipPeers<'a>; 2]>,
    messages: u64,
    store_reads: Vec<u64>,
    propagation_times: Vec<Duration>,
    outdated_daemons: usize,
}

impl<'a> Simulation<'a> {
    fn new(case: &'a GossipCase, names: &'a [String], seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let group = |data_centre: usize| DataCentrePeers {
            data_centre: "",
            hosts: names
                .iter()
                .skip(data_centre)
                .step_by(DATA_CENTRES)
                .map(String::as_str)
                .collect(),
        };
        let peer_sets = (0..DATA_CENTRES).map(|own| {
            [false, true].map(|reader| GossipPeers {
                own: group(own),
                others: (0..DATA_CENTRES)
                    .filter(|other| *other != own)
                    .map(group)
                    .collect(),
                reader,
            })
        });
        let peer_sets: Vec<_> = peer_sets.collect();
        let readers: Vec<Vec<&str>> = peer_sets
            .iter()
            .map(|pair| rendezvous::choose("reader", pair[0].own.hosts.iter().copied(), 2))
            .collect();
        let daemons = (0..DAEMONS).map(|index| {
            let data_centre = index % DATA_CENTRES;
            let reader = readers[data_centre].contains(&names[index].as_str());
            let lost_reader = reader && data_centre == 0 && case.readers_dead;
            SimDaemon {
                gossip: GossipSchedule::new(start, &mut rng),
                data_centre,
                alive: !lost_reader && (reader || !rng.random_bool(case.dead)),
                reader,
                version: 0,
                due_at: start,
                exchange_call: 0,
                fetch_call: 0,
                bytes: 0,
            }
        });
        Self {
            case,
            start,
            now: start,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            sequence: 0,
            daemons: daemons.collect(),
            rng,
            peer_sets,
            messages: 0,
            store_reads: vec![0; 200],
            propagation_times: Vec::new(),
            outdated_daemons: 0,
        }
    }

    fn schedule(&mut self, at: Instant, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    /// Sends a message of `bytes` bytes. It is lost with the probability of the
    /// case.
    fn send(&mut self, bytes: u64, message: PeerMessage, event: fn(PeerMessage) -> SimEvent) {
        let PeerMessage { from, to, .. } = message;
        self.messages += 1;
        self.daemons[from].bytes += bytes;
        if self.rng.random_bool(self.case.loss) || !self.daemons[to].alive || from == to {
            return;
        }
        self.daemons[to].bytes += bytes;
        let other_data_centre = self.daemons[from].data_centre != self.daemons[to].data_centre;
        // Network latency plus up to 50 ms for a busy receiver.
        let micros =
            if other_data_centre { 10_000 } else { 500 } + self.rng.random_range(0..50_000);
        self.schedule(self.now + Duration::from_micros(micros), event(message));
    }

    fn send_digest(&mut self, from: usize, to: usize, call: u64) {
        let version = self.daemons[from].version;
        let message = PeerMessage {
            from,
            to,
            version,
            call,
        };
        self.send(DIGEST_BYTES, message, SimEvent::Digest);
    }

    fn perform(&mut self, index: usize, action: GossipAction) {
        let timeout = self.now + PEER_CALL_TIMEOUT;
        let call = self.sequence + 1;
        match action {
            GossipAction::Exchange { host } => {
                self.schedule(timeout, SimEvent::ExchangeTimeout(index, call));
                self.daemons[index].exchange_call = call;
                self.send_digest(index, host_index(&host), call);
            }
            GossipAction::Fetch { host, version } => {
                self.schedule(timeout, SimEvent::FetchTimeout(index, call));
                self.daemons[index].fetch_call = call;
                let (from, to) = (index, host_index(&host));
                let message = PeerMessage {
                    from,
                    to,
                    version,
                    call,
                };
                self.send(FETCH_BYTES, message, SimEvent::Fetch);
            }
            GossipAction::ReadStore => self.read_store(index),
        }
    }

    fn published(&self) -> u64 {
        let second = self.now.duration_since(self.start).as_secs();
        self.case.publish.iter().filter(|at| **at <= second).count() as u64
    }

    fn adopt(&mut self, index: usize, version: u64) {
        let daemon = &mut self.daemons[index];
        if version <= daemon.version {
            return;
        }
        daemon.version = version;
        let peers = &self.peer_sets[daemon.data_centre][usize::from(daemon.reader)];
        let pushed = daemon.gossip.version_adopted(version, peers, &mut self.rng);
        let pushed: Vec<usize> = pushed.into_iter().map(host_index).collect();
        for to in pushed {
            self.send_digest(index, to, 0);
        }
        self.outdated_daemons -= 1;
        if self.outdated_daemons == 0 {
            let at = self.start + Duration::from_secs(self.case.publish[version as usize - 1]);
            self.propagation_times.push(self.now.duration_since(at));
        }
    }

    fn due(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let peers = &self.peer_sets[daemon.data_centre][usize::from(daemon.reader)];
        let actions = daemon.gossip.due(peers, &mut self.rng, self.now);
        for action in actions {
            self.perform(index, action);
        }
        let daemon = &mut self.daemons[index];
        let next = daemon.gossip.next_due();
        if daemon.due_at != next {
            daemon.due_at = next;
            self.schedule(next, SimEvent::Due(index));
        }
    }

    fn read_store(&mut self, index: usize) {
        let second = self.now.duration_since(self.start).as_secs();
        self.store_reads[second as usize] += 1;
        let down = self.case.outage.contains(&second);
        let version = (!down).then(|| self.published());
        let delay = if down {
            STORE_TIMEOUT
        } else {
            Duration::from_millis(20)
        };
        self.schedule(self.now + delay, SimEvent::StoreAnswer(index, version));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Due(index) if self.daemons[index].due_at == self.now => self.due(index),
            SimEvent::Due(_) => {}
            SimEvent::Digest(message) => {
                let answer = message.answer(self.daemons[message.to].version);
                self.send(DIGEST_BYTES, answer, SimEvent::DigestAnswer);
                self.receive_version(message);
            }
            SimEvent::DigestAnswer(message) => {
                let daemon = &mut self.daemons[message.to];
                if daemon.exchange_call == message.call {
                    daemon.exchange_call = 0;
                }
                self.receive_version(message);
            }
            SimEvent::Fetch(message) => {
                let answer = message.answer(self.daemons[message.to].version);
                self.send(BODY_BYTES, answer, SimEvent::Body);
            }
            SimEvent::Body(message) => {
                if self.daemons[message.to].fetch_call == message.call {
                    self.daemons[message.to].fetch_call = 0;
                    self.adopt(message.to, message.version);
                    self.daemons[message.to].gossip.fetch_ended();
                }
            }
            SimEvent::ExchangeTimeout(of, call) => {
                if self.daemons[of].exchange_call == call {
                    self.daemons[of].gossip.exchange_failed(self.now);
                    self.due(of);
                }
            }
            SimEvent::FetchTimeout(of, call) => {
                if self.daemons[of].fetch_call == call {
                    self.daemons[of].fetch_call = 0;
                    self.daemons[of].gossip.fetch_ended();
                    self.due(of);
                }
            }
            SimEvent::StoreAnswer(to, version) => {
                let daemon = &mut self.daemons[to];
                daemon
                    .gossip
                    .read_ended(version.is_some(), &mut self.rng, self.now);
                self.due(to);
                self.adopt(to, version.unwrap_or(0));
            }
        }
    }

    fn receive_version(&mut self, message: PeerMessage) {
        let host = format!("h{}", message.from);
        let daemon = &mut self.daemons[message.to];
        if let Some(fetch) = daemon
            .gossip
            .version_announced(message.version, &host, self.now)
        {
            self.perform(message.to, fetch);
        }
    }

    fn run(&mut self, seconds: u64) {
        let alive: Vec<usize> = (0..DAEMONS)
            .filter(|index| self.daemons[*index].alive)
            .collect();
        for index in &alive {
            self.due(*index);
        }
        let mut seen = 0;
        while let Some(Reverse((at, sequence))) = self.events.pop() {
            self.now = at;
            if at > self.start + Duration::from_secs(seconds) {
                break;
            }
            if self.published() > seen {
                assert_eq!(
                    self.outdated_daemons, 0,
                    "a version was not in force before the next"
                );
                seen += 1;
                self.outdated_daemons = alive.len();
            }
            let event = self.pending.remove(&sequence).expect("scheduled once");
            self.handle(event);
        }
        assert_eq!(
            self.outdated_daemons, 0,
            "the last version is not in force everywhere"
        );
    }
}

fn host_index(name: &str) -> usize {
    name[1..].parse().expect("names are numbered")
}

/// Guards against versions that reach some daemons too late, against control
/// traffic above the budget, and against simultaneous store reads by many daemons.
#[gtest]
fn versions_are_in_force_everywhere_within_nine_seconds() {
    let seed = std::env::var("CASSIA_SEED").map_or(1, |text| text.parse().expect("a number"));
    let names: Vec<String> = (0..DAEMONS).map(|index| format!("h{index}")).collect();
    let case = |name, loss, dead, readers_dead, outage, publish: &[u64]| GossipCase {
        name,
        loss,
        dead,
        readers_dead,
        outage,
        publish: publish.to_vec(),
    };
    let cases = [
        case("calm", 0.0, 0.0, false, 0..0, &[10, 30]),
        case("10% loss, 1% dead", 0.1, 0.01, false, 0..0, &[10, 30]),
        case("30% loss, 5% dead", 0.3, 0.05, false, 0..0, &[10, 30]),
        case(
            "readers of a data centre dead",
            0.1,
            0.01,
            true,
            0..0,
            &[10, 30],
        ),
        case(
            "published as an outage of 20 s ends",
            0.1,
            0.01,
            false,
            10..30,
            &[30],
        ),
    ];
    for case in &cases {
        let mut simulation = Simulation::new(case, &names, seed);
        simulation.run(50);
        let slowest = simulation
            .propagation_times
            .iter()
            .max()
            .expect("published");
        let bytes: Vec<u64> = simulation
            .daemons
            .iter()
            .map(|daemon| daemon.bytes / 50)
            .collect();
        let mean = bytes.iter().sum::<u64>() / DAEMONS as u64;
        let most = *bytes.iter().max().expect("daemons");
        let reads = simulation.store_reads.iter().max().expect("seconds");
        let messages = simulation.messages as f64 / DAEMONS as f64 / 50.0;
        println!(
            "{}: in force after {:.2} s, {messages:.2} messages/s per daemon, {mean} B/s mean, \
             {most} B/s most, {reads} store reads in the busiest second",
            case.name,
            slowest.as_secs_f64()
        );
        expect_that!(*slowest, le(Duration::from_secs(9)), "{}", case.name);
        expect_that!(most, le(5_000), "{}", case.name);
        expect_that!(*reads, le(200), "{}", case.name);
    }
}
