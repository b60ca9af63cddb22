//! Event loop of the document follower.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::document_version::{
    DocumentStamp, OfferDecision, ServingReadiness, StoreAnswer, VersionTracker,
};
use coordination::gossip::{DataCentrePeers, GossipAction, GossipPeers, GossipSchedule};
use coordination::publish::HeadRow;
use protocol::peer::{DocumentBody, PeerDigest};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use state::clock::MonotonicClock;
use state::document::IntentDocument;
use tokio::task::JoinSet;

use super::{AdoptedDocument, FollowerChannels, FollowerEvent, FollowerServices};
use crate::document_store::{self, stamp_of, version_of};
use crate::membership_hub::LivePeers;
use crate::peer::{ClientCache, PeerClient, PeerFactory};
use crate::services::{ObjectStore, Result, ServiceError, TableService};

/// Interval at which a daemon that does not serve yet asks the store and the
/// seeds.
const START_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which this daemon contacts the readers that precede it in the
/// reader order, and at which expired reports of peers are dropped.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of peers in its data centre that a leaving daemon notifies at
/// once. The others learn of it from later exchanges and from the list of hosts.
const ANNOUNCE_LIMIT: usize = 32;

/// Keeps the newest document in force until the returned future is dropped.
pub async fn follow_documents<T, O, P, C>(
    services: FollowerServices<T, O, P, C>,
    channels: FollowerChannels,
) where
    T: TableService,
    O: ObjectStore,
    P: PeerFactory,
    C: MonotonicClock,
{
    DocumentFollower::new(services, channels).run().await;
}

/// Source from which the body of a version is fetched.
#[derive(Clone, Debug)]
enum BodySource<K> {
    /// The object store, under the key of this stamp.
    Store(DocumentStamp),
    /// The peer that this client reaches.
    Peer(K),
}

/// Identity of a peer that was called.
#[derive(Clone, Debug)]
enum PeerIdentity {
    /// Name of a host in the document in force.
    Host(String),
    /// Seed address from the settings.
    Seed(SocketAddr),
}

/// Result of a spawned call.
enum FollowerResult<K> {
    Head(Result<HeadRow>),
    Body {
        version: u64,
        from_peer: bool,
        answer: Result<DocumentBody>,
    },
    Exchanged {
        peer: PeerIdentity,
        client: K,
        answer: Result<PeerDigest>,
    },
}

struct DocumentFollower<T, O, P: PeerFactory, C> {
    services: FollowerServices<T, O, P, C>,
    channels: FollowerChannels,
    clients: ClientCache<P>,
    versions: VersionTracker,
    gossip: GossipSchedule,
    rng: StdRng,
    calls: JoinSet<FollowerResult<P::Client>>,
    reading_head: bool,
    /// Last version that this program could not parse.
    rejected: Option<DocumentStamp>,
    answered_seeds: BTreeSet<SocketAddr>,
    next_start_query: Instant,
    next_watch: Instant,
}

impl<T, O, P, C> DocumentFollower<T, O, P, C>
where
    T: TableService,
    O: ObjectStore,
    P: PeerFactory,
    C: MonotonicClock,
{
    fn new(services: FollowerServices<T, O, P, C>, channels: FollowerChannels) -> Self {
        let now = services.clock.now();
        let mut rng = StdRng::from_os_rng();
        Self {
            clients: ClientCache::new(services.peers.clone()),
            versions: VersionTracker::new(services.seeds.len(), now),
            gossip: GossipSchedule::new(now, &mut rng),
            rng,
            calls: JoinSet::new(),
            reading_head: false,
            rejected: None,
            answered_seeds: BTreeSet::new(),
            next_start_query: now,
            next_watch: now + WATCH_INTERVAL,
            services,
            channels,
        }
    }

    async fn run(mut self) {
        loop {
            self.advance();
            let wake = tokio::time::Instant::from_std(self.next_wake());
            tokio::select! {
                event = self.channels.events.recv() => match event {
                    Some(FollowerEvent::Digest(digest)) => self.handle_digest(&digest),
                    Some(FollowerEvent::AnnounceLeaving) => self.announce_leaving(),
                    None => return,
                },
                Some(result) = self.calls.join_next(), if !self.calls.is_empty() => {
                    match result {
                        Ok(result) => self.handle_result(result),
                        Err(error) if error.is_panic() => {
                            std::panic::resume_unwind(error.into_panic());
                        }
                        // Calls are cancelled only when the process ends.
                        Err(_) => return,
                    }
                }
                () = tokio::time::sleep_until(wake) => {}
            }
        }
    }

    fn is_serving(&self) -> bool {
        *self.channels.serving.borrow()
    }

    fn next_wake(&self) -> Instant {
        let wake = self.gossip.next_due().min(self.next_watch);
        match self.is_serving() {
            true => wake,
            false => wake.min(self.next_start_query),
        }
    }

    fn advance(&mut self) {
        let now = self.services.clock.now();
        let serves = self.versions.serving_readiness(now) == ServingReadiness::Ready;
        if serves && !self.is_serving() {
            log::info!(
                "document version {} is in force; serving callers",
                self.versions.version()
            );
            self.channels.serving.send_replace(true);
        }
        if !self.is_serving() && now >= self.next_start_query {
            self.next_start_query = now + START_INTERVAL;
            self.query_store_and_seeds();
        }
        let peers = self.services.hub.live_peers(now);
        for action in self.gossip.due(&gossip_peers(&peers), &mut self.rng, now) {
            match action {
                GossipAction::ReadStore => self.read_head(),
                GossipAction::Exchange { host } => self.exchange_with(&host),
                GossipAction::Fetch { host, version } => self.fetch_from_host(&host, version),
            }
        }
        if now >= self.next_watch {
            self.next_watch = now + WATCH_INTERVAL;
            self.services.hub.refresh(now);
            for host in &peers.watched {
                self.exchange_with(host);
            }
        }
    }

    fn query_store_and_seeds(&mut self) {
        self.read_head();
        for seed in self.services.seeds.clone() {
            if self.answered_seeds.contains(&seed) {
                continue;
            }
            let client = self.clients.client(seed);
            self.exchange(PeerIdentity::Seed(seed), client);
        }
    }

    fn read_head(&mut self) {
        if std::mem::replace(&mut self.reading_head, true) {
            return;
        }
        let table = self.services.table.clone();
        self.calls
            .spawn(async move { FollowerResult::Head(document_store::read_head(&table).await) });
    }

    fn exchange_with(&mut self, host: &str) {
        if let Some(client) = self.client_of(host) {
            self.exchange(PeerIdentity::Host(host.to_owned()), client);
        }
    }

    fn exchange(&mut self, peer: PeerIdentity, client: P::Client) {
        let digest = self.services.digest.current();
        self.calls.spawn(async move {
            let answer = client.exchange(digest).await;
            FollowerResult::Exchanged {
                peer,
                client,
                answer,
            }
        });
    }

    /// Returns the client of a host of the document in force.
    fn client_of(&mut self, host: &str) -> Option<P::Client> {
        let adopted = self.channels.documents.borrow().clone()?;
        let hosts = &adopted.document.entry_host;
        let entry = hosts.iter().find(|entry| entry.name == host)?;
        Some(self.clients.client(entry.peer_address))
    }

    fn handle_digest(&mut self, digest: &PeerDigest) {
        self.services
            .hub
            .apply_digest(digest, self.services.clock.now());
        self.consider_host(&digest.host, &stamp_of(&digest.document));
    }

    /// Fetches the version that a host of the document announced, if it is newer.
    fn consider_host(&mut self, host: &str, stamp: &DocumentStamp) {
        if !self.is_newer(stamp) {
            return;
        }
        let now = self.services.clock.now();
        if let Some(GossipAction::Fetch { host, version }) =
            self.gossip.version_announced(stamp.version, host, now)
        {
            self.fetch_from_host(&host, version);
        }
    }

    fn fetch_from_host(&mut self, host: &str, version: u64) {
        match self.client_of(host) {
            Some(client) => self.fetch(version, BodySource::Peer(client)),
            // The host is not in the document in force. Another peer will
            // announce the version too.
            None => self.gossip.fetch_ended(),
        }
    }

    fn announce_leaving(&mut self) {
        let peers = self.services.hub.live_peers(self.services.clock.now());
        let own = peers.own.choose_multiple(&mut self.rng, ANNOUNCE_LIMIT);
        let mut hosts: Vec<String> = own.cloned().collect();
        for (_, others) in &peers.others {
            hosts.extend(others.choose(&mut self.rng).cloned());
        }
        for host in hosts {
            self.exchange_with(&host);
        }
    }

    fn handle_result(&mut self, result: FollowerResult<P::Client>) {
        match result {
            FollowerResult::Head(answer) => self.handle_head(answer),
            FollowerResult::Body {
                version,
                from_peer,
                answer,
            } => self.handle_body(version, from_peer, answer),
            FollowerResult::Exchanged {
                peer,
                client,
                answer,
            } => self.handle_exchange(&peer, client, answer),
        }
    }

    fn handle_head(&mut self, answer: Result<HeadRow>) {
        let now = self.services.clock.now();
        self.reading_head = false;
        self.gossip.read_ended(answer.is_ok(), &mut self.rng, now);
        let stamp = match answer {
            Ok(row) => row.value.map(|value| value.stamp),
            Err(error) => {
                log::debug!("the head row of the document cannot be read: {error}");
                return self.versions.record_store_answer(&StoreAnswer::Failed);
            }
        };
        let Some(stamp) = stamp else {
            return self.versions.record_store_answer(&StoreAnswer::NoDocument);
        };
        self.versions
            .record_store_answer(&StoreAnswer::Head(stamp.clone()));
        if self.is_newer(&stamp) {
            self.fetch(stamp.version, BodySource::Store(stamp));
        }
    }

    fn handle_exchange(
        &mut self,
        peer: &PeerIdentity,
        client: P::Client,
        answer: Result<PeerDigest>,
    ) {
        let now = self.services.clock.now();
        let digest = match answer {
            Ok(digest) => digest,
            Err(error) => {
                if let PeerIdentity::Host(host) = peer {
                    self.services.hub.record_failure(host, &error, now);
                    self.gossip.exchange_failed(now);
                }
                return;
            }
        };
        self.services.hub.apply_digest(&digest, now);
        let stamp = stamp_of(&digest.document);
        match peer {
            PeerIdentity::Host(_) => self.consider_host(&digest.host, &stamp),
            PeerIdentity::Seed(seed) => self.consider_seed(*seed, stamp, client),
        }
    }

    /// Handles the version that a seed announced. Before the first document is
    /// adopted, peers are known by address only. A seed that has no document yet
    /// does not count as an answer and is asked again.
    fn consider_seed(&mut self, seed: SocketAddr, stamp: DocumentStamp, client: P::Client) {
        if stamp.version > 0 && self.answered_seeds.insert(seed) {
            self.versions.record_peer_answer(Some(&stamp));
        }
        if self.is_newer(&stamp) {
            self.fetch(stamp.version, BodySource::Peer(client));
        }
    }

    /// Returns whether an announced version should be fetched.
    fn is_newer(&self, stamp: &DocumentStamp) -> bool {
        if stamp.version == 0 || self.rejected.as_ref() == Some(stamp) {
            return false;
        }
        match self.versions.check_offer(stamp) {
            OfferDecision::Fetch => true,
            OfferDecision::InForce | OfferDecision::Older => false,
            OfferDecision::DigestFault { in_force } => {
                log::error!(
                    "document version {} was announced with digest {}, but is in force with digest {}",
                    stamp.version,
                    stamp.digest,
                    in_force.digest
                );
                false
            }
        }
    }

    fn fetch(&mut self, version: u64, source: BodySource<P::Client>) {
        let objects = self.services.objects.clone();
        self.calls.spawn(async move {
            let (from_peer, answer) = match source {
                BodySource::Store(stamp) => {
                    (false, document_store::read_body(&objects, &stamp).await)
                }
                BodySource::Peer(client) => (true, fetch_from_peer(&client, version).await),
            };
            FollowerResult::Body {
                version,
                from_peer,
                answer,
            }
        });
    }

    fn handle_body(&mut self, version: u64, from_peer: bool, answer: Result<DocumentBody>) {
        match answer {
            Ok(body) => self.adopt(body),
            Err(error) => log::warn!("document version {version} could not be fetched: {error}"),
        }
        if from_peer {
            self.gossip.fetch_ended();
        }
    }

    fn adopt(&mut self, body: DocumentBody) {
        let stamp = stamp_of(&body.version);
        let document = match IntentDocument::parse(&body.text) {
            Ok(document) => document,
            Err(problems) => {
                // A newer console may accept keys that this program does not
                // know. The document in force then stays in force.
                for problem in problems {
                    log::error!(
                        "document version {} cannot be used: {problem}",
                        stamp.version
                    );
                }
                self.rejected = Some(stamp);
                self.gossip.fetch_abandoned();
                return;
            }
        };
        if self.versions.adopt(stamp.clone()) != OfferDecision::Fetch {
            return;
        }
        let now = self.services.clock.now();
        log::info!("document version {} adopted", stamp.version);
        self.services.digest.set_document(version_of(&stamp));
        self.services.hub.apply_document(&document, now);
        let version = stamp.version;
        let adopted = AdoptedDocument {
            stamp,
            text: body.text,
            document,
        };
        self.publish(Arc::new(adopted));
        let peers = self.services.hub.live_peers(now);
        let targets = gossip_peers(&peers);
        for host in self
            .gossip
            .version_adopted(version, &targets, &mut self.rng)
        {
            self.exchange_with(host);
        }
    }

    fn publish(&mut self, adopted: Arc<AdoptedDocument>) {
        let known = self
            .channels
            .documents
            .borrow()
            .as_ref()
            .map(|known| known.stamp.version);
        // INVARIANT: the version in force only rises.
        assert!(known < Some(adopted.stamp.version), "version in force fell");
        self.channels.documents.send_replace(Some(adopted));
    }
}

async fn fetch_from_peer<K: PeerClient>(client: &K, version: u64) -> Result<DocumentBody> {
    let body = client.fetch_document(version).await?;
    let body = body.ok_or_else(|| {
        ServiceError::BadAnswer(format!("the peer does not have document version {version}"))
    })?;
    document_store::check_body(body)
}

fn gossip_peers(peers: &LivePeers) -> GossipPeers<'_> {
    GossipPeers {
        own: DataCentrePeers {
            data_centre: "",
            hosts: peers.own.iter().map(String::as_str).collect(),
        },
        others: peers
            .others
            .iter()
            .map(|(centre, hosts)| DataCentrePeers {
                data_centre: centre,
                hosts: hosts.iter().map(String::as_str).collect(),
            })
            .collect(),
        reader: peers.reader,
    }
}
