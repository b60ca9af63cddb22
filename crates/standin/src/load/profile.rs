//! Profiles of the two users' sites, see `docs/design.md`, section 1.1.

use std::str::FromStr;
use std::time::Duration;

use state::document::ReadClass;

/// Number of groups of a site.
pub const GROUPS: usize = 3;
/// Number of members of a group.
pub const MEMBERS: usize = 3;
/// Number of entry hosts of a site.
pub const ENTRY_HOSTS: usize = 4;

/// A user's site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteProfile {
    /// The site of Fernwake Labs.
    Fernwake,
    /// The site of Kibanda Softworks.
    Kibanda,
}

/// A read class and its share of the workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassShare {
    /// Name of the class.
    pub name: &'static str,
    /// Largest tolerated age of the data in milliseconds.
    pub max_staleness_ms: u64,
    /// Priority in the queues.
    pub priority: u64,
    /// Percentage of the reads that use the class.
    pub percent: u32,
}

const FERNWAKE_READS: [ClassShare; 3] = [
    ClassShare {
        name: "browse",
        max_staleness_ms: 5_000,
        priority: 5,
        percent: 60,
    },
    ClassShare {
        name: "survey-sync",
        max_staleness_ms: 60_000,
        priority: 1,
        percent: 30,
    },
    ClassShare {
        name: "newest",
        max_staleness_ms: 0,
        priority: 2,
        percent: 10,
    },
];

const KIBANDA_READS: [ClassShare; 2] = [
    ClassShare {
        name: "rack-slots",
        max_staleness_ms: 500,
        priority: 2,
        percent: 70,
    },
    ClassShare {
        name: "history",
        max_staleness_ms: 30_000,
        priority: 6,
        percent: 30,
    },
];

impl SiteProfile {
    /// Both sites.
    pub const ALL: [Self; 2] = [Self::Fernwake, Self::Kibanda];

    /// Returns the name in arguments and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fernwake => "fernwake",
            Self::Kibanda => "kibanda",
        }
    }

    /// Returns the number of statements that a member executes concurrently.
    pub fn slots(self) -> usize {
        match self {
            Self::Fernwake => 3,
            Self::Kibanda => 2,
        }
    }

    /// Returns the number of connections that a member accepts.
    pub fn connection_limit(self) -> usize {
        match self {
            Self::Fernwake => 20,
            Self::Kibanda => 30,
        }
    }

    /// Returns the one-way delay between a caller and an entry host.
    pub fn client_delay(self) -> Duration {
        match self {
            Self::Fernwake => Duration::from_millis(1),
            Self::Kibanda => Duration::from_millis(3),
        }
    }

    /// Returns the one-way delay between an entry host and a member. All
    /// daemons share one relay per member, so the delay is the mean of one
    /// member in the daemon's data centre and two in other regions at 10 ms.
    pub fn member_delay(self) -> Duration {
        match self {
            Self::Fernwake => Duration::from_millis(7),
            Self::Kibanda => Duration::from_micros(6_800),
        }
    }

    /// Returns the one-way delay between members of a group, each of which is
    /// in a different region.
    pub fn replication_delay(self) -> Duration {
        Duration::from_millis(10)
    }

    /// Returns the read classes with their shares.
    pub fn read_shares(self) -> &'static [ClassShare] {
        match self {
            Self::Fernwake => &FERNWAKE_READS,
            Self::Kibanda => &KIBANDA_READS,
        }
    }

    /// Returns the read classes in the form of the intent document.
    pub fn read_classes(self) -> Vec<ReadClass> {
        let classes = self.read_shares().iter();
        classes
            .map(|class| ReadClass {
                name: class.name.to_owned(),
                max_staleness_ms: class.max_staleness_ms,
                priority: class.priority,
            })
            .collect()
    }
}

impl FromStr for SiteProfile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|site| site.name() == text);
        found.ok_or_else(|| "the site must be fernwake or kibanda".to_owned())
    }
}
