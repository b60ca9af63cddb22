//! Report of a run, as a Markdown table row and as JSON.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::checker::CheckCounts;
use super::faults::WriteFault;

/// Longest time between a fault and the start of the pause of writes that it
/// causes. Acknowledgements that were in transit when the primary died still
/// arrive in this time.
const PAUSE_START_LIMIT: Duration = Duration::from_millis(500);

/// Smallest accepted goodput under overload, as a fraction of the peak.
const GOODPUT_MIN: f64 = 0.9;

/// Latencies of one class.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencyFigures {
    /// Number of answers.
    pub count: u64,
    /// Median in ms.
    pub p50_ms: f64,
    /// 99th percentile in ms.
    pub p99_ms: f64,
    /// 99.9th percentile in ms.
    pub p999_ms: f64,
}

/// Pauses of acknowledged writes after faults.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct GapFigures {
    /// Number of faults with a measured gap.
    pub faults: u64,
    /// Number of faults after which no write was acknowledged.
    pub unfinished: u64,
    /// Median in ms.
    pub p50_ms: u64,
    /// 99th percentile in ms.
    pub p99_ms: u64,
    /// Longest gap in ms.
    pub max_ms: u64,
}

/// Goodput under overload, in answers per second that meet the deadline.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct GoodputFigures {
    /// Arrivals per second in the overload stage.
    pub offered: f64,
    /// Goodput in the overload stage.
    pub overload: f64,
    /// Highest goodput of all stages.
    pub peak: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Name of the site.
    pub site: &'static str,
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the access mode.
    pub access: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Run time of the callers in seconds.
    pub seconds: f64,
    /// Number of callers.
    pub callers: usize,
    /// Load average of the machine at the start and the end.
    pub load_average: [String; 2],
    /// Answered reads and accepted writes per second.
    pub accepted_per_second: f64,
    /// Fraction of the reads that replicas served, from the daemons' counters.
    pub replica_share: Option<f64>,
    /// Latencies by class.
    pub latencies: BTreeMap<&'static str, LatencyFigures>,
    /// Number of failures by result code or kind.
    pub failures: BTreeMap<String, u64>,
    /// Failover gaps, if the scenario has faults that interrupt writes.
    pub gap: Option<GapFigures>,
    /// Goodput, if the scenario is an overload.
    pub goodput: Option<GoodputFigures>,
    /// Result of the consistency check.
    pub check: CheckCounts,
}

impl LatencyFigures {
    /// Summarises a histogram of microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let quantile = |share| histogram.value_at_quantile(share) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
        }
    }
}

impl GapFigures {
    /// Measures for each fault the longest pause between acknowledged writes of
    /// its group that spans the fault or begins within 500 ms after it.
    /// `acknowledged` holds sorted instants by group. Returns `None`
    /// without faults.
    pub fn measure(faults: &[WriteFault], acknowledged: &[Vec<Instant>]) -> Option<Self> {
        let mut gaps = super::caller::histogram();
        let mut unfinished = 0;
        for fault in faults {
            match longest_pause(fault.at, &acknowledged[fault.group]) {
                Some(gap) => gaps.saturating_record(gap.as_millis() as u64),
                None => unfinished += 1,
            }
        }
        (!faults.is_empty()).then(|| Self {
            faults: gaps.len(),
            unfinished,
            p50_ms: gaps.value_at_quantile(0.5),
            p99_ms: gaps.value_at_quantile(0.99),
            max_ms: gaps.max(),
        })
    }
}

/// Returns the longest pause in sorted instants that belongs to the fault, or
/// `None` if no write was acknowledged [`PAUSE_START_LIMIT`] or later after the
/// fault.
fn longest_pause(fault: Instant, sorted: &[Instant]) -> Option<Duration> {
    let spans = |pair: &&[Instant]| pair[1] > fault && pair[0] < fault + PAUSE_START_LIMIT;
    let pairs = sorted.windows(2).filter(spans);
    let last = sorted.last()?;
    if *last < fault + PAUSE_START_LIMIT {
        return None;
    }
    pairs.map(|pair| pair[1] - pair[0]).max()
}

impl RunReport {
    /// Header of the Markdown table.
    pub const TABLE_HEADER: &'static str = "\
| site | scenario | access | accepted/s | reads by replicas | p50/p99/p999 ms by class | \
gap n, p50/p99/max ms | goodput overload/peak | failures | \
lost/doubled/stale/refused-but-ran/unknown of writes | load average |\n\
|---|---|---|---|---|---|---|---|---|---|---|";

    /// Returns the report as a row of the Markdown table.
    pub fn table_row(&self) -> String {
        let share = self
            .replica_share
            .map_or("-".to_owned(), |share| format!("{:.1}%", share * 100.0));
        let check = &self.check;
        format!(
            "| {} | {} | {} | {:.0} | {share} | {} | {} | {} | {} | {}/{}/{}/{}/{} of {} | {} |",
            self.site,
            self.scenario,
            self.access,
            self.accepted_per_second,
            self.latency_cell(),
            self.gap_cell(),
            self.goodput_cell(),
            self.failure_cell(),
            check.lost,
            check.doubled,
            check.stale,
            check.refused_but_ran,
            check.unknown,
            check.accepted + check.not_run + check.unknown,
            self.load_average.join(" to "),
        )
    }

    /// Returns whether the check is clean and the goodput under overload, if
    /// measured, is at least 90% of the peak.
    pub fn meets_targets(&self) -> bool {
        let kept = |goodput: GoodputFigures| goodput.overload >= GOODPUT_MIN * goodput.peak;
        self.check.is_clean() && self.goodput.is_none_or(kept)
    }

    /// Returns the report as one line of JSON.
    pub fn json_line(&self) -> String {
        serde_json::to_string(self).expect("a report of numbers and texts serialises")
    }

    fn latency_cell(&self) -> String {
        let cells = self.latencies.iter().map(|(class, figures)| {
            format!(
                "{class} {:.1}/{:.1}/{:.1}",
                figures.p50_ms, figures.p99_ms, figures.p999_ms
            )
        });
        cells.collect::<Vec<_>>().join("; ")
    }

    fn gap_cell(&self) -> String {
        self.gap.map_or("-".to_owned(), |gap| {
            let open = match gap.unfinished {
                0 => String::new(),
                count => format!(" (+{count} without a later write)"),
            };
            format!(
                "{}{open}, {}/{}/{}",
                gap.faults, gap.p50_ms, gap.p99_ms, gap.max_ms
            )
        })
    }

    fn goodput_cell(&self) -> String {
        self.goodput.map_or("-".to_owned(), |goodput| {
            format!(
                "{:.0}/{:.0} = {:.0}% at {:.0}/s offered",
                goodput.overload,
                goodput.peak,
                goodput.overload / goodput.peak * 100.0,
                goodput.offered
            )
        })
    }

    fn failure_cell(&self) -> String {
        let cells = self.failures.iter();
        let cells: Vec<String> = cells.map(|(kind, n)| format!("{kind}: {n}")).collect();
        match cells.is_empty() {
            true => "none".to_owned(),
            false => cells.join(", "),
        }
    }
}

/// Returns the 1-minute load average of the machine.
pub fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or("unknown").to_owned()
}
