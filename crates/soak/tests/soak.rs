//! A short seeded run of the soak.

use std::time::Duration;

use googletest::prelude::*;
use soak::soak_run::{built_program, run_soak, SoakOptions};

/// Seeds that continuous integration runs.
const SEEDS: [u64; 2] = [1, 2];
/// Period in which faults begin.
const LENGTH: Duration = Duration::from_secs(8);
const CALLERS: usize = 8;

/// Guards against lost, doubled or torn writes, refused writes that take effect,
/// stale reads, processes that end unasked and hosts that do not serve again
/// after a fault.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_processes_fail() {
    for seed in SEEDS {
        let folder = format!("cassia-soak-{}-{seed}", std::process::id());
        let options = SoakOptions {
            program: built_program().unwrap(),
            folder: std::env::temp_dir().join(folder),
            seed,
            length: LENGTH,
            callers: CALLERS,
        };
        let report = run_soak(&options).await.unwrap();
        println!("seed {seed}: {report:#?}");
        expect_that!(report.findings, is_empty(), "seed {seed}");
        expect_that!(report.writes.1, gt(0));
        expect_that!(report.reads, gt(0));
    }
}
