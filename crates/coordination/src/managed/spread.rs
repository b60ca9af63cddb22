//! Spreads reads over the members of a group when many hosts choose at the same time.
//!
//! What a host knows of a member's load is as old as the member's last answer to it. If
//! every host takes the member that looks best, all of them take the same one until new
//! answers arrive. Here a host chooses at random, with weights in inverse proportion to
//! the estimates, and all but avoids members that are much slower.
//! `docs/design/member-selection.md` compares the alternatives.

use std::time::Duration;

/// Ratio of an estimate to the lowest one up to which weights are in inverse proportion.
/// Steeper weights let all hosts move between equal members together.
const GENTLE_RATIO: f64 = 2.0;
/// Exponent of the fall of the weights beyond [`GENTLE_RATIO`]: a member that is slower by
/// a factor of 7.5 gets less than 1 read in 300.
const STEEP_EXPONENT: i32 = 4;
/// Answer time that an unanswered read suggests, as a multiple of the time since it was
/// sent. A member that became slow is noticed before its first slow answer.
const UNANSWERED_FACTOR: f64 = 3.0;
/// Time in which the weight of a member that joined or returned grows to its full value.
/// Its caches are cold and no host knows its answer times yet.
const RAMP: Duration = Duration::from_secs(2);
/// Part of the full weight at the start of [`RAMP`].
const RAMP_START: f64 = 0.1;

/// Age at which half of what a host knows of a member's answer times is given up. A
/// member that was slow gets a read of each host again after some 20 s, which shows
/// whether it has recovered: at 300 hosts that are 15 reads per second, less than half of
/// what a member can run that is slower by a factor of 7.5. With 0.5 s, single slow answers moved
/// the load of equal members to and fro.
const KNOWLEDGE_HALF_LIFE: Duration = Duration::from_secs(8);

/// How the member for a read is chosen among those that qualify.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum SelectionRule {
    /// The lowest estimate.
    #[default]
    Least,
    /// [`choose_spread`] with this random number, which is uniform in [0, 1).
    Spread {
        /// The random number.
        random: f64,
    },
}

/// A member to which a read may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpreadCandidate {
    /// Estimated time until the member has answered.
    pub answer_time: Duration,
    /// Time since the oldest statement of this host that the member has not answered was
    /// sent; zero if there is none.
    pub unanswered_for: Duration,
    /// Time since the newest answer that `answer_time` takes into account.
    pub answer_age: Duration,
    /// Cost of the member's distance and role.
    pub extra_cost: Duration,
    /// Time since the member joined, or answered again after failures.
    pub serving_for: Duration,
}

impl SpreadCandidate {
    /// Returns the estimate in seconds. What is known of the answer time falls with its
    /// age to `lowest`, the lowest answer time of all candidates.
    fn estimate(&self, lowest: f64) -> f64 {
        let excess = self.answer_time.as_secs_f64() - lowest;
        let answer_time = lowest + excess * kept_part(self.answer_age);
        let unanswered = UNANSWERED_FACTOR * self.unanswered_for.as_secs_f64();
        // Above zero, because weights are ratios.
        (answer_time.max(unanswered) + self.extra_cost.as_secs_f64()).max(1e-4)
    }

    /// Returns the weight for an estimate, of which `lowest` is the lowest one.
    fn weight(&self, estimate: f64, lowest: f64) -> f64 {
        let ratio = estimate / lowest;
        let beyond = (ratio / GENTLE_RATIO).max(1.0);
        ramp(self.serving_for) / (ratio.min(GENTLE_RATIO) * beyond.powi(STEEP_EXPONENT))
    }
}

/// Chooses one of `candidates` and returns its index. `random` is uniform in [0, 1).
/// Returns `None` if there are no candidates.
pub fn choose_spread(candidates: &[SpreadCandidate], random: f64) -> Option<usize> {
    let quickest = candidates.iter().map(|one| one.answer_time).min()?;
    let estimate = |one: &SpreadCandidate| one.estimate(quickest.as_secs_f64());
    let lowest = candidates.iter().map(estimate).reduce(f64::min)?;
    let weight = |one: &SpreadCandidate| one.weight(estimate(one), lowest);
    let mut remaining = random * candidates.iter().map(weight).sum::<f64>();
    let chosen = candidates.iter().position(|one| {
        remaining -= weight(one);
        remaining < 0.0
    });
    // Rounding may leave a rest after the last one.
    Some(chosen.unwrap_or(candidates.len() - 1))
}

/// Returns the part of what is known that counts at an age.
fn kept_part(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / KNOWLEDGE_HALF_LIFE.as_secs_f64())
}

fn ramp(serving_for: Duration) -> f64 {
    let progress = serving_for.as_secs_f64() / RAMP.as_secs_f64();
    (RAMP_START + (1.0 - RAMP_START) * progress).min(1.0)
}

/// Returns the weight of a new answer time in the moving average, of which `base` is the
/// weight of a sample that follows at once. `age` is the time since the sample before, if there
/// is one.
pub fn sample_weight(base: f64, age: Option<Duration>) -> f64 {
    1.0 - (1.0 - base) * age.map_or(1.0, kept_part)
}
