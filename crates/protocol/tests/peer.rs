//! Messages between daemons.

use googletest::prelude::*;
use protocol::peer::{DocumentVersion, PeerDigest};

fn version(version: u64) -> DocumentVersion {
    DocumentVersion {
        version,
        digest: "ab".repeat(32),
    }
}

fn digest(members: usize) -> PeerDigest {
    PeerDigest {
        host: "host-1".to_owned(),
        incarnation: u64::MAX,
        leaving: false,
        document: version(4),
        idle: vec![12; members],
        leaving_servers: Vec::new(),
    }
}

/// Guards against a request to borrow connections at the wrong member: the
/// positions of the idle counts are valid only for the document that the digest
/// names.
#[gtest]
fn idle_counts_belong_to_one_document() {
    let mut digest = digest(3);
    digest.idle = vec![0, 7, 3];
    expect_that!(digest.idle_at(&version(4), 0), none());
    expect_that!(digest.idle_at(&version(4), 1), some(eq(7)));
    expect_that!(digest.idle_at(&version(4), 2), some(eq(3)));
    expect_that!(digest.idle_at(&version(4), 3), none());
    expect_that!(digest.idle_at(&version(5), 1), none());
}

/// Guards against digests that exceed the budget for control traffic when there
/// are many members. A daemon sends and receives about 4 digests per second.
#[gtest]
fn a_digest_grows_by_a_few_bytes_per_member() -> Result<()> {
    let size = |members| serde_json::to_string(&digest(members)).map(|text| text.len());
    let growth = size(75)? - size(0)?;
    // In JSON, a count of 12 with its comma takes three characters.
    expect_that!(growth, le(75 * 3));
    Ok(())
}
