//! Polls the platform's list of hosts.

use std::time::Duration;

use state::clock::MonotonicClock;

use crate::membership_hub::MembershipHub;
use crate::services::HostList;

/// Reads the list every `interval` until the returned future is dropped. After
/// a failed read the last list stays in force.
pub async fn watch_hosts<L: HostList, C: MonotonicClock>(
    list: L,
    hub: MembershipHub,
    interval: Duration,
    clock: C,
) {
    let mut failing = false;
    loop {
        match list.list().await {
            Ok(entries) => {
                hub.apply_list(&entries, clock.now());
                failing = false;
            }
            Err(error) => {
                hub.refresh(clock.now());
                // Logged once per outage instead of once per poll.
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(
                        "the list of hosts cannot be read, so the last one stays in force: {error}"
                    );
                }
            }
        }
        tokio::time::sleep(interval).await;
    }
}
