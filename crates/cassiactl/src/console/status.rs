//! The state of all daemons, as one of them knows it.

use std::fmt::Write;
use std::net::SocketAddr;

use protocol::peer::{DaemonStatus, PeerDigest};
use transport::peer::{PeerChannelFactory, PeerClient, PeerFactory};
use transport::seam;

use super::page::StatusRow;

/// Asks a daemon at its peer address for its status.
pub async fn ask(daemon: SocketAddr) -> seam::Result<DaemonStatus> {
    let factory = PeerChannelFactory::default();
    factory.client(daemon).status().await
}

/// Returns a row for each known daemon, or one row that says what is missing.
pub async fn collect(daemon: Option<SocketAddr>) -> Vec<StatusRow> {
    let Some(daemon) = daemon else {
        return vec![missing("no daemon", "the settings have no `daemon`")];
    };
    match ask(daemon).await {
        Ok(status) => rows(&status),
        Err(error) => vec![missing(&daemon.to_string(), &error.to_string())],
    }
}

/// Renders a status as plain text.
pub fn render(status: &DaemonStatus) -> String {
    let mut text = String::new();
    for row in rows(status) {
        let version = row.version.unwrap_or_default();
        let age = row.age_ms.unwrap_or_default();
        let line = format!(
            "host {}\tversion {version}\tage {age} ms\t{}",
            row.host, row.note
        );
        writeln!(text, "{}", line.trim_end()).expect("writing to a string cannot fail");
    }
    for group in &status.groups {
        let primary = group.primary.as_deref().unwrap_or("none");
        writeln!(
            text,
            "group {}\tterm {}\tprimary {primary}\treachable {} of {}",
            group.group, group.term, group.reachable, group.members
        )
        .expect("writing to a string cannot fail");
    }
    text
}

fn rows(status: &DaemonStatus) -> Vec<StatusRow> {
    let mut rows = vec![row(&status.digest, 0)];
    let peers = status.peers.iter();
    rows.extend(peers.map(|peer| row(&peer.digest, peer.age_ms)));
    rows.sort_by(|left, right| left.host.cmp(&right.host));
    rows
}

fn row(digest: &PeerDigest, age_ms: u64) -> StatusRow {
    StatusRow {
        host: digest.host.clone(),
        version: Some(digest.document.version),
        age_ms: Some(age_ms),
        note: if digest.leaving { "leaving" } else { "" }.to_owned(),
    }
}

fn missing(host: &str, note: &str) -> StatusRow {
    StatusRow {
        host: host.to_owned(),
        version: None,
        age_ms: None,
        note: note.to_owned(),
    }
}
