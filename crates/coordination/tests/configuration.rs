//! The document version in force and the readiness of a starting daemon.

use std::time::{Duration, Instant};

use coordination::document_version::{
    DocumentStamp, OfferDecision, ServingReadiness, StoreAnswer, VersionTracker,
};
use googletest::prelude::*;

fn stamp(version: u64, digest: &str) -> DocumentStamp {
    DocumentStamp {
        version,
        digest: digest.to_owned(),
    }
}

/// Guards against a version in force that falls, or whose body changes.
#[gtest]
fn version_in_force_never_falls() {
    let mut tracker = VersionTracker::new(0, Instant::now());
    expect_that!(tracker.adopt(stamp(3, "c")), eq(&OfferDecision::Fetch));
    expect_that!(tracker.adopt(stamp(2, "b")), eq(&OfferDecision::Older));
    expect_that!(tracker.adopt(stamp(3, "c")), eq(&OfferDecision::InForce));
    let fault = OfferDecision::DigestFault {
        in_force: stamp(3, "c"),
    };
    expect_that!(tracker.adopt(stamp(3, "x")), eq(&fault));
    expect_that!(tracker.in_force(), some(eq(&stamp(3, "c"))));
    expect_that!(tracker.adopt(stamp(9, "i")), eq(&OfferDecision::Fetch));
    expect_that!(tracker.version(), eq(9));
}

struct StartCase {
    name: &'static str,
    store: Option<StoreAnswer>,
    peers: Vec<u64>,
    adopted: u64,
    after_ms: u64,
    expected: ServingReadiness,
}

/// Guards against a restarted daemon that serves with an older document than the
/// newest one that the store or its peers report, and against one that never
/// serves.
#[gtest]
fn restarted_daemon_waits_for_the_newest_known_version() {
    use ServingReadiness::{NotReady, Ready};
    let head = |version| Some(StoreAnswer::Head(stamp(version, "d")));
    let failed = || Some(StoreAnswer::Failed);
    let case = |name, store, peers: &[u64], adopted, after_ms, expected| StartCase {
        name,
        store,
        peers: peers.to_vec(),
        adopted,
        after_ms,
        expected,
    };
    let cases = [
        case("store's version", head(5), &[], 5, 0, Ready),
        case(
            "below the store's version",
            head(5),
            &[4],
            4,
            9_000,
            NotReady,
        ),
        case(
            "peer newer than the store",
            head(5),
            &[6],
            5,
            9_000,
            NotReady,
        ),
        case("store silent, too early", None, &[5, 5], 5, 100, NotReady),
        case("store silent", None, &[5, 5], 5, 2_000, Ready),
        case("store failed, all peers", failed(), &[4, 5], 5, 100, Ready),
        case("store failed, one peer", failed(), &[5], 5, 100, NotReady),
        case(
            "store failed, one peer, later",
            failed(),
            &[5],
            5,
            1_000,
            Ready,
        ),
        case(
            "below the highest peer",
            failed(),
            &[4, 5],
            4,
            9_000,
            NotReady,
        ),
        case("store failed, no peer", failed(), &[], 5, 9_000, NotReady),
        case(
            "nothing published",
            Some(StoreAnswer::NoDocument),
            &[0, 0],
            0,
            9_000,
            NotReady,
        ),
    ];
    for case in cases {
        let now = Instant::now();
        let mut tracker = VersionTracker::new(2, now);
        if let Some(answer) = &case.store {
            tracker.record_store_answer(answer);
        }
        for version in &case.peers {
            let version = (*version > 0).then(|| stamp(*version, "d"));
            tracker.record_peer_answer(version.as_ref());
        }
        if case.adopted > 0 {
            tracker.adopt(stamp(case.adopted, "d"));
        }
        let readiness = tracker.serving_readiness(now + Duration::from_millis(case.after_ms));
        expect_that!(readiness, eq(case.expected), "{}", case.name);
    }
}
