//! The scenarios, and what they do to a running site.

use std::str::FromStr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::bed::LoadBed;
use super::profile::{GROUPS, MEMBERS};
use crate::cluster::MemberAddress;
use crate::platform::PlatformFaults;
use crate::site::Result;

/// Interval at which direct callers learn of a new primary.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for a new primary, and for a restarted member to follow.
const ROUND_LIMIT: Duration = Duration::from_secs(10);
/// Time between the new primary and the restart of the old one.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Longest random pause before a primary is killed.
const KILL_JITTER_MS: u64 = 300;
/// Data centre that the cut scenario isolates.
const CUT_CENTRE: usize = 0;
/// Data centres of a site.
const CENTRES: usize = 3;
/// Entry host that is killed.
const KILLED_ENTRY_HOST: usize = 1;

/// A scenario.
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
    /// A data centre is cut off in the middle half of the run.
    Cut,
    /// The platform is down for the whole run.
    PlatformDown,
    /// One of the entry hosts dies after a quarter of the run.
    EntryHostKilled,
    /// Twice the load that the slots can serve.
    OverloadDouble,
    /// Five times the load that the slots can serve.
    OverloadFivefold,
}

/// A fault that stops the writes of a group.
#[derive(Clone, Copy, Debug)]
pub struct WriteFault {
    /// Index of the group.
    pub group: usize,
    /// When it happened.
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

    /// Returns the name of the scenario.
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

    /// Returns the load as a multiple of what the slots can serve.
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

/// Carries out the faults of a scenario for `duration`; the failover scenario
/// goes on until `kills` primaries were killed.
pub async fn inject(
    bed: &mut LoadBed,
    scenario: LoadScenario,
    duration: Duration,
    kills: usize,
    seed: u64,
) -> Result<Vec<WriteFault>> {
    let quarter = duration / 4;
    match scenario {
        LoadScenario::Failover => return kill_primaries(bed, duration, kills, seed).await,
        LoadScenario::LagSecond => set_apply_lag(bed, Duration::from_secs(1)),
        LoadScenario::LagHalfMinute => set_apply_lag(bed, Duration::from_secs(30)),
        LoadScenario::Freeze => return freeze_primaries(bed, quarter).await,
        LoadScenario::Cut => return cut_centre(bed, quarter).await,
        LoadScenario::PlatformDown => set_platform_down(bed, true),
        LoadScenario::EntryHostKilled => {
            sleep(quarter).await;
            bed.stop_daemon(KILLED_ENTRY_HOST);
            sleep(quarter * 3).await;
            return Ok(Vec::new());
        }
        _ => {}
    }
    sleep(duration).await;
    Ok(Vec::new())
}

/// Ends the faults that last.
pub async fn heal(bed: &mut LoadBed) -> Result<()> {
    set_platform_down(bed, false);
    set_apply_lag(bed, Duration::ZERO);
    for address in LoadBed::members() {
        if bed.site.cluster.server(address).is_none() {
            bed.site.cluster.restart_member(address).await?;
        }
    }
    bed.settle().await
}

fn set_platform_down(bed: &LoadBed, down: bool) {
    bed.site.cluster.platform().set_faults(PlatformFaults {
        down,
        ..PlatformFaults::default()
    });
}

fn set_apply_lag(bed: &LoadBed, lag: Duration) {
    for address in LoadBed::members() {
        if let Some(server) = bed.site.cluster.server(address) {
            server.set_apply_lag(lag);
        }
    }
}

/// Kills the primaries of all groups in rounds. A round ends when the killed
/// members follow again.
async fn kill_primaries(
    bed: &mut LoadBed,
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
            let Some(primary) = bed.site.cluster.primary(group) else {
                continue;
            };
            faults.push(WriteFault {
                group,
                at: Instant::now(),
            });
            bed.site.cluster.stop_member(primary);
            killed.push(primary);
        }
        wait_for(bed, |bed, group| bed.site.cluster.primary(group).is_some()).await;
        watch(bed, RESTART_PAUSE).await;
        for address in killed {
            bed.site.cluster.restart_member(address).await?;
        }
        // Writes go on, so the members need not have the newest entries.
        let targets: Vec<_> = (0..GROUPS).map(|group| bed.primary_log(group)).collect();
        wait_for(bed, |bed, group| {
            targets[group].is_some_and(|target| bed.reaches(group, target))
        })
        .await;
        watch(bed, RESTART_PAUSE).await;
    }
    Ok(faults)
}

async fn wait_for(bed: &LoadBed, holds: impl Fn(&LoadBed, usize) -> bool) {
    let limit = Instant::now() + ROUND_LIMIT;
    while Instant::now() < limit && !(0..GROUPS).all(|group| holds(bed, group)) {
        watch(bed, LOOK_INTERVAL).await;
    }
}

/// Waits, and tells direct callers where the primaries are.
async fn watch(bed: &LoadBed, time: Duration) {
    let end = Instant::now() + time;
    loop {
        bed.note_primaries();
        if Instant::now() >= end {
            return;
        }
        sleep(LOOK_INTERVAL).await;
    }
}

fn set_stalled(bed: &LoadBed, address: MemberAddress, is_stalled: bool) {
    if let Some(relays) = bed.site.cluster.relays(address) {
        relays.statements.set_stalled(is_stalled);
        relays.control.set_stalled(is_stalled);
        relays.replication.set_stalled(is_stalled);
    }
}

async fn freeze_primaries(bed: &mut LoadBed, quarter: Duration) -> Result<Vec<WriteFault>> {
    sleep(quarter).await;
    let primaries: Vec<MemberAddress> = (0..GROUPS)
        .filter_map(|group| bed.site.cluster.primary(group))
        .collect();
    stall_for(bed, &primaries, quarter).await
}

/// Stalls everything between members for two quarters.
async fn stall_for(
    bed: &mut LoadBed,
    members: &[MemberAddress],
    quarter: Duration,
) -> Result<Vec<WriteFault>> {
    let at = Instant::now();
    let mut faults = Vec::new();
    for address in members {
        if bed.site.cluster.primary(address.group) == Some(*address) {
            let group = address.group;
            faults.push(WriteFault { group, at });
        }
        set_stalled(bed, *address, true);
    }
    watch(bed, quarter * 2).await;
    for address in members {
        set_stalled(bed, *address, false);
    }
    watch(bed, quarter).await;
    Ok(faults)
}

/// Cuts off the members of a data centre; callers do not reach its entry hosts.
/// The daemons on these hosts still reach the members elsewhere, because all
/// daemons share one relay per member.
async fn cut_centre(bed: &mut LoadBed, quarter: Duration) -> Result<Vec<WriteFault>> {
    sleep(quarter).await;
    let members: Vec<MemberAddress> = LoadBed::members()
        .filter(|one| (one.group + one.member) % CENTRES == CUT_CENTRE)
        .collect();
    debug_assert_eq!(members.len(), GROUPS * MEMBERS / CENTRES);
    set_entry_cut(bed, true);
    let faults = stall_for(bed, &members, quarter).await?;
    set_entry_cut(bed, false);
    Ok(faults)
}

fn set_entry_cut(bed: &LoadBed, is_cut: bool) {
    let relays = bed.entry_relays.iter().enumerate();
    for (entry_host, relay) in relays {
        if entry_host % CENTRES == CUT_CENTRE {
            relay.set_cut(is_cut);
        }
    }
}
