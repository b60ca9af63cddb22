//! The scenarios, and the faults that they inject into a running site.

use std::str::FromStr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::profile::{GROUPS, MEMBERS};
use super::testbed::LoadTestbed;
use crate::cluster::MemberAddress;
use crate::platform::PlatformFaults;
use crate::site::Result;

/// Interval at which the primaries' addresses for direct callers are updated.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for new primaries, and for restarted members to catch up.
const ROUND_LIMIT: Duration = Duration::from_secs(10);
/// Time between the election of a new primary and the restart of the old one,
/// and before the next round.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Limit of the random pause before a primary is killed, in milliseconds.
const KILL_JITTER_MS: u64 = 300;
/// Index of the data centre that the cut scenario isolates.
const CUT_DATA_CENTRE: usize = 0;
/// Number of data centres of a site.
const DATA_CENTRES: usize = 3;
/// Index of the entry host that is killed.
const KILLED_ENTRY_HOST: usize = 1;

/// A workload scenario with its faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadScenario {
    /// Nothing fails.
    Steady,
    /// Replicas apply entries 1 s late.
    LagSecond,
    /// Replicas apply entries 30 s late.
    LagHalfMinute,
    /// Primaries are killed and restarted repeatedly.
    Failover,
    /// Primaries stall in the middle half of the run.
    Freeze,
    /// A data centre is isolated in the middle half of the run.
    Cut,
    /// The platform is down for the whole run.
    PlatformDown,
    /// One of the entry hosts dies after a quarter of the run.
    EntryHostKilled,
    /// The load is twice the capacity of the slots.
    OverloadDouble,
    /// The load is five times the capacity of the slots.
    OverloadFivefold,
}

/// A fault of a group's primary, which interrupts the group's writes.
#[derive(Clone, Copy, Debug)]
pub struct WriteFault {
    /// Index of the group.
    pub group: usize,
    /// When the fault was injected.
    pub at: Instant,
}

impl LoadScenario {
    /// All scenarios.
    pub const ALL: [Self; 10] = [
        Self::Steady,
        Self::LagSecond,
        Self::LagHalfMinute,
        Self::Failover,
        Self::Freeze,
        Self::Cut,
        Self::PlatformDown,
        Self::EntryHostKilled,
        Self::OverloadDouble,
        Self::OverloadFivefold,
    ];

    /// Returns the name in arguments and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::LagSecond => "lag-1s",
            Self::LagHalfMinute => "lag-30s",
            Self::Failover => "failover",
            Self::Freeze => "freeze",
            Self::Cut => "cut",
            Self::PlatformDown => "platform-down",
            Self::EntryHostKilled => "entry-host-killed",
            Self::OverloadDouble => "overload-2x",
            Self::OverloadFivefold => "overload-5x",
        }
    }

    /// Returns the load as a multiple of the capacity of the slots, or `None`
    /// if the scenario does not overload them.
    pub fn overload(self) -> Option<f64> {
        match self {
            Self::OverloadDouble => Some(2.0),
            Self::OverloadFivefold => Some(5.0),
            _ => None,
        }
    }
}

impl FromStr for LoadScenario {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let found = Self::ALL.into_iter().find(|one| one.name() == text);
        found.ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.into_iter().map(Self::name).collect();
            format!("the scenario must be one of {}", names.join(", "))
        })
    }
}

/// Injects the faults of a scenario for `duration`, and returns those that
/// interrupt writes. The failover scenario lasts longer if fewer than `kills`
/// primaries were killed in that time.
pub async fn inject(
    testbed: &mut LoadTestbed,
    scenario: LoadScenario,
    duration: Duration,
    kills: usize,
    seed: u64,
) -> Result<Vec<WriteFault>> {
    let quarter = duration / 4;
    match scenario {
        LoadScenario::Failover => return kill_primaries(testbed, duration, kills, seed).await,
        LoadScenario::LagSecond => set_apply_lag(testbed, Duration::from_secs(1)),
        LoadScenario::LagHalfMinute => set_apply_lag(testbed, Duration::from_secs(30)),
        LoadScenario::Freeze => return freeze_primaries(testbed, quarter).await,
        LoadScenario::Cut => return cut_data_centre(testbed, quarter).await,
        LoadScenario::PlatformDown => set_platform_down(testbed, true),
        LoadScenario::EntryHostKilled => {
            sleep(quarter).await;
            testbed.stop_daemon(KILLED_ENTRY_HOST);
            sleep(quarter * 3).await;
            return Ok(Vec::new());
        }
        _ => {}
    }
    sleep(duration).await;
    Ok(Vec::new())
}

/// Removes lasting faults, restarts stopped members and waits until all members
/// have caught up. Stopped daemons stay stopped.
pub async fn heal(testbed: &mut LoadTestbed) -> Result<()> {
    set_platform_down(testbed, false);
    set_apply_lag(testbed, Duration::ZERO);
    for address in LoadTestbed::members() {
        if testbed.site.cluster.server(address).is_none() {
            testbed.site.cluster.restart_member(address).await?;
        }
    }
    testbed.settle().await
}

fn set_platform_down(testbed: &LoadTestbed, down: bool) {
    testbed.site.cluster.platform().set_faults(PlatformFaults {
        down,
        ..PlatformFaults::default()
    });
}

fn set_apply_lag(testbed: &LoadTestbed, lag: Duration) {
    for address in LoadTestbed::members() {
        if let Some(server) = testbed.site.cluster.server(address) {
            server.set_apply_lag(lag);
        }
    }
}

/// Kills the primaries of all groups in rounds. A round ends when the killed
/// members have restarted and caught up.
async fn kill_primaries(
    testbed: &mut LoadTestbed,
    duration: Duration,
    kills: usize,
    seed: u64,
) -> Result<Vec<WriteFault>> {
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut faults = Vec::new();
    sleep(RESTART_PAUSE).await;
    while faults.len() < kills || Instant::now() < end {
        let mut killed = Vec::new();
        for group in 0..GROUPS {
            sleep(Duration::from_millis(
                random.random_range(0..KILL_JITTER_MS),
            ))
            .await;
            let Some(primary) = testbed.site.cluster.primary(group) else {
                continue;
            };
            faults.push(WriteFault {
                group,
                at: Instant::now(),
            });
            testbed.site.cluster.stop_member(primary);
            killed.push(primary);
        }
        wait_for_groups(testbed, |testbed, group| {
            testbed.site.cluster.primary(group).is_some()
        })
        .await;
        wait_and_update_primaries(testbed, RESTART_PAUSE).await;
        for address in killed {
            testbed.site.cluster.restart_member(address).await?;
        }
        // Writes continue, so waits for the current ends of the logs only.
        let targets: Vec<_> = (0..GROUPS)
            .map(|group| testbed.primary_log(group))
            .collect();
        wait_for_groups(testbed, |testbed, group| {
            targets[group].is_some_and(|target| testbed.members_reach(group, target))
        })
        .await;
        wait_and_update_primaries(testbed, RESTART_PAUSE).await;
    }
    Ok(faults)
}

async fn wait_for_groups(testbed: &LoadTestbed, holds: impl Fn(&LoadTestbed, usize) -> bool) {
    let limit = Instant::now() + ROUND_LIMIT;
    while Instant::now() < limit && !(0..GROUPS).all(|group| holds(testbed, group)) {
        wait_and_update_primaries(testbed, POLL_INTERVAL).await;
    }
}

/// Waits for `time`, and meanwhile updates the primaries' addresses for direct
/// callers.
async fn wait_and_update_primaries(testbed: &LoadTestbed, time: Duration) {
    let end = Instant::now() + time;
    loop {
        testbed.update_primaries();
        if Instant::now() >= end {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn set_stalled(testbed: &LoadTestbed, address: MemberAddress, is_stalled: bool) {
    if let Some(relays) = testbed.site.cluster.relays(address) {
        relays.statements.set_stalled(is_stalled);
        relays.control.set_stalled(is_stalled);
        relays.replication.set_stalled(is_stalled);
    }
}

async fn freeze_primaries(testbed: &mut LoadTestbed, quarter: Duration) -> Result<Vec<WriteFault>> {
    sleep(quarter).await;
    let primaries: Vec<MemberAddress> = (0..GROUPS)
        .filter_map(|group| testbed.site.cluster.primary(group))
        .collect();
    stall_for(testbed, &primaries, quarter).await
}

/// Stalls all paths to the members for two quarters, and then waits for one.
async fn stall_for(
    testbed: &mut LoadTestbed,
    members: &[MemberAddress],
    quarter: Duration,
) -> Result<Vec<WriteFault>> {
    let at = Instant::now();
    let mut faults = Vec::new();
    for address in members {
        if testbed.site.cluster.primary(address.group) == Some(*address) {
            let group = address.group;
            faults.push(WriteFault { group, at });
        }
        set_stalled(testbed, *address, true);
    }
    wait_and_update_primaries(testbed, quarter * 2).await;
    for address in members {
        set_stalled(testbed, *address, false);
    }
    wait_and_update_primaries(testbed, quarter).await;
    Ok(faults)
}

/// Stalls the paths to the members of a data centre and cuts those of callers to
/// its entry hosts. The daemons on these hosts still reach the members in other
/// data centres, because all daemons share one relay per member.
async fn cut_data_centre(testbed: &mut LoadTestbed, quarter: Duration) -> Result<Vec<WriteFault>> {
    sleep(quarter).await;
    let members: Vec<MemberAddress> = LoadTestbed::members()
        .filter(|one| (one.group + one.member) % DATA_CENTRES == CUT_DATA_CENTRE)
        .collect();
    debug_assert_eq!(members.len(), GROUPS * MEMBERS / DATA_CENTRES);
    set_entry_cut(testbed, true);
    let faults = stall_for(testbed, &members, quarter).await?;
    set_entry_cut(testbed, false);
    Ok(faults)
}

fn set_entry_cut(testbed: &LoadTestbed, is_cut: bool) {
    let relays = testbed.entry_relays.iter().enumerate();
    for (entry_host, relay) in relays {
        if entry_host % DATA_CENTRES == CUT_DATA_CENTRE {
            relay.set_cut(is_cut);
        }
    }
}
