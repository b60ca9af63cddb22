//! Prints the table of `docs/design/member-selection.md`, in about a minute:
//! `cargo run --release -p coordination --example spread_table`.

#[path = "../tests/support/spread_simulation.rs"]
mod spread_simulation;

use spread_simulation::{mean_wait, Case, Simulation, RULES, SCENARIOS};

fn main() {
    for scenario in SCENARIOS {
        for rule in RULES {
            let mut cells = String::new();
            for hosts in [3, 24, 79, 300] {
                for age in [0.05, 0.5, 2.0] {
                    let case = Case {
                        hosts,
                        age,
                        ..scenario
                    };
                    let run = Simulation::run(case, rule, 1);
                    cells += &format!(
                        " {:.0} / {:.0} / {:.0} |",
                        run.spread, run.excess, run.wait_p99
                    );
                }
            }
            println!("| {} | {rule:?} |{cells}", scenario.name);
        }
        for rule in RULES {
            let wait = mean_wait(scenario, rule, &[3, 24, 79, 300], &[0.05, 0.5, 2.0]);
            println!("# {} {rule:?} {wait:.0}", scenario.name);
        }
    }
}
