//! Adoption of document versions and the start of a daemon.

use std::time::{Duration, Instant};

use coordination::adoption::{
    DocumentAdoption, DocumentStamp, OfferDecision, ServingRight, StoreAnswer,
};
use googletest::prelude::*;

fn stamp(version: u64, digest: &str) -> DocumentStamp {
    DocumentStamp {
        version,
        digest: digest.to_owned(),
    }
}

/// Guards against a version in force that falls or changes its body.
#[gtest]
fn versions_only_rise() {
    let mut adoption = DocumentAdoption::new(0, Instant::now());
    expect_that!(adoption.adopt(stamp(3, "c")), eq(&OfferDecision::Fetch));
    expect_that!(adoption.adopt(stamp(2, "b")), eq(&OfferDecision::Older));
    expect_that!(adoption.adopt(stamp(3, "c")), eq(&OfferDecision::InForce));
    let fault = OfferDecision::DigestFault {
        in_force: stamp(3, "c"),
    };
    expect_that!(adoption.adopt(stamp(3, "x")), eq(&fault));
    expect_that!(adoption.in_force(), some(eq(&stamp(3, "c"))));
    expect_that!(adoption.adopt(stamp(9, "i")), eq(&OfferDecision::Fetch));
    expect_that!(adoption.version(), eq(9));
}

struct StartCase {
    name: &'static str,
    store: Option<StoreAnswer>,
    peers: Vec<u64>,
    adopted: u64,
    after_ms: u64,
    expected: ServingRight,
}

/// Guards against a restarted daemon that serves with an older document than
/// one it could have known, and against one that never serves.
#[gtest]
fn restarted_daemon_waits_for_the_newest_known_version() {
    use ServingRight::{Serve, Wait};
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
        case("store's version", head(5), &[], 5, 0, Serve),
        case("below the store's version", head(5), &[4], 4, 9_000, Wait),
        case("peer newer than the store", head(5), &[6], 5, 9_000, Wait),
        case("store silent, too early", None, &[5, 5], 5, 100, Wait),
        case("store silent", None, &[5, 5], 5, 2_000, Serve),
        case("store failed, all peers", failed(), &[4, 5], 5, 100, Serve),
        case("store failed, one peer", failed(), &[5], 5, 100, Wait),
        case(
            "store failed, one peer, later",
            failed(),
            &[5],
            5,
            1_000,
            Serve,
        ),
        case("below the highest peer", failed(), &[4, 5], 4, 9_000, Wait),
        case("alone", failed(), &[], 5, 9_000, Wait),
        case(
            "nothing published",
            Some(StoreAnswer::NoDocument),
            &[0, 0],
            0,
            9_000,
            Wait,
        ),
    ];
    for case in cases {
        let now = Instant::now();
        let mut adoption = DocumentAdoption::new(2, now);
        if let Some(answer) = &case.store {
            adoption.store_answered(answer);
        }
        for version in &case.peers {
            let version = (*version > 0).then(|| stamp(*version, "d"));
            adoption.peer_answered(version.as_ref());
        }
        if case.adopted > 0 {
            adoption.adopt(stamp(case.adopted, "d"));
        }
        let right = adoption.serving_right(now + Duration::from_millis(case.after_ms));
        expect_that!(right, eq(case.expected), "{}", case.name);
    }
}
