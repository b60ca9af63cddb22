//! State of all daemons as one of them sees it.

use std::fmt::Write;
use std::net::SocketAddr;

use protocol::peer::{DaemonStatus, PeerDigest};
use transport::peer::{PeerChannelFactory, PeerClient, PeerFactory};
use transport::services;

use super::page::StatusRow;

/// Requests the status from the daemon at a peer address.
pub async fn request_status(daemon: SocketAddr) -> services::Result<DaemonStatus> {
    let factory = PeerChannelFactory::default();
    factory.client(daemon).status().await
}

/// Requests the status and returns a row for each daemon. If `daemon` is not
/// set or does not answer, returns one row that says so.
pub async fn status_rows(daemon: Option<SocketAddr>) -> Vec<StatusRow> {
    let Some(daemon) = daemon else {
        return vec![placeholder_row(
            "no daemon",
            "the settings have no `daemon`",
        )];
    };
    match request_status(daemon).await {
        Ok(status) => daemon_rows(&status),
        Err(error) => vec![placeholder_row(&daemon.to_string(), &error.to_string())],
    }
}

/// Renders a status as plain text: a line for each daemon and for each group.
pub fn render(status: &DaemonStatus) -> String {
    let mut text = String::new();
    for row in daemon_rows(status) {
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

fn daemon_rows(status: &DaemonStatus) -> Vec<StatusRow> {
    let mut rows = vec![daemon_row(&status.digest, 0)];
    let peers = status.peers.iter();
    rows.extend(peers.map(|peer| daemon_row(&peer.digest, peer.age_ms)));
    rows.sort_by(|left, right| left.host.cmp(&right.host));
    rows
}

fn daemon_row(digest: &PeerDigest, age_ms: u64) -> StatusRow {
    StatusRow {
        host: digest.host.clone(),
        version: Some(digest.document.version),
        age_ms: Some(age_ms),
        note: if digest.leaving { "leaving" } else { "" }.to_owned(),
    }
}

fn placeholder_row(host: &str, note: &str) -> StatusRow {
    StatusRow {
        host: host.to_owned(),
        version: None,
        age_ms: None,
        note: note.to_owned(),
    }
}
