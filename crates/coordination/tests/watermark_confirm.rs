//! Watermark rounds, the watermark history, commit confirmations and session
//! bounds.

use std::time::{Duration, Instant};

use coordination::confirm::{CommitOutcome, ConfirmTracker};
use coordination::session_bound::SessionBound;
use coordination::view::GroupWatermark;
use coordination::watermark::{WatermarkHistory, WatermarkRound};
use googletest::prelude::*;
use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};

fn keys(count: usize) -> Vec<MemberKey> {
    let mut map = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

fn report(promised: u64, role: MemberRole, log: LogPosition) -> MemberReport {
    MemberReport {
        promised_term: Term(promised),
        role,
        log,
        applied: log,
        primary_heartbeat_age: None,
    }
}

fn replica(promised: u64, term: u64, offset: u64) -> MemberReport {
    report(
        promised,
        MemberRole::Replica,
        LogPosition::new(term, offset),
    )
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a watermark from too few replies, from repeated replies or from
/// replies to requests of an earlier round. Also guards against a watermark that is
/// raised by the promised term of a fenced member or lowered by a repeated reply.
#[googletest::test]
fn a_round_needs_a_majority_of_replies_to_its_own_requests() {
    struct Reply {
        member: usize,
        sent_ms: u64,
        report: MemberReport,
    }
    struct Case {
        name: &'static str,
        replies: Vec<Reply>,
        expected: Option<LogPosition>,
    }
    let reply = |member, sent_ms, report| Reply {
        member,
        sent_ms,
        report,
    };
    let cases = [
        Case {
            name: "two replies of one member are not a majority",
            replies: vec![
                reply(0, 10, replica(1, 1, 5)),
                reply(0, 10, replica(1, 1, 5)),
            ],
            expected: None,
        },
        Case {
            name: "a reply to an earlier request does not count",
            replies: vec![
                reply(0, 9, replica(1, 1, 5)),
                reply(1, 10, replica(1, 1, 5)),
            ],
            expected: None,
        },
        Case {
            name: "the highest log counts, whichever term is promised",
            replies: vec![
                reply(0, 10, replica(2, 1, 5)),
                reply(1, 11, replica(1, 1, 9)),
            ],
            expected: Some(LogPosition::new(1, 9)),
        },
        Case {
            name: "a superseded tail loses to the newer term",
            replies: vec![
                reply(0, 10, replica(1, 1, 90)),
                reply(1, 10, replica(2, 2, 6)),
            ],
            expected: Some(LogPosition::new(2, 6)),
        },
        Case {
            name: "a lower duplicate does not lower the result",
            replies: vec![
                reply(0, 12, replica(1, 1, 8)),
                reply(0, 10, replica(1, 1, 5)),
                reply(1, 10, replica(1, 1, 3)),
            ],
            expected: Some(LogPosition::new(1, 8)),
        },
    ];
    let base = Instant::now();
    let members = keys(3);
    for case in cases {
        let mut round = WatermarkRound::start(base + milliseconds(10), members.len());
        let mut result = None;
        for reply in &case.replies {
            let sent_at = base + milliseconds(reply.sent_ms);
            let watermark = round.reply(members[reply.member], &reply.report, sent_at);
            result = result.or(watermark);
        }
        let position = result.map(|watermark| watermark.position);
        expect_that!(position, eq(case.expected), "{}", case.name);
        let late = round.reply(members[2], &replica(9, 9, 9), base + milliseconds(20));
        if result.is_some() {
            expect_that!(
                late,
                none(),
                "{}: a late reply yields a second watermark",
                case.name
            );
        }
    }
}

/// Guards against an unbounded or unordered history, and against thinning that
/// lowers a measured age or raises it by more than an eighth.
#[googletest::test]
fn watermark_history_is_bounded_and_measures_old_ages() {
    let base = Instant::now();
    let mut history = WatermarkHistory::new();
    let interval = milliseconds(1_000);
    let rounds = 86_400u32;
    for index in 1..=rounds {
        history.push(GroupWatermark {
            asked_at: base + interval * index,
            position: LogPosition::new(1, u64::from(index)),
        });
    }
    expect_that!(history.watermarks().len(), lt(250));
    let now = base + interval * rounds;
    for age_rounds in [1, 5, 10, 100, 1_000, 10_000, 80_000] {
        let applied = LogPosition::new(1, u64::from(rounds - age_rounds));
        let watermarks = history.watermarks().iter().rev();
        let watermark = watermarks
            .clone()
            .find(|watermark| applied >= watermark.position);
        let measured = watermark.map_or(Duration::MAX, |watermark| now - watermark.asked_at);
        let exact = interval * age_rounds;
        expect_that!(measured, ge(exact));
        expect_that!(measured, le(exact.mul_f64(1.15)), "age {exact:?}");
        if age_rounds <= 10 {
            expect_that!(measured, eq(exact));
        }
    }
}

/// Guards against a watermark that stays unreachable because a superseded primary
/// reported log entries that were never accepted, and against a late round that
/// breaks the order of the history.
#[googletest::test]
fn a_lower_watermark_replaces_higher_ones() {
    let base = Instant::now();
    let watermark = |at, offset| GroupWatermark {
        asked_at: base + milliseconds(at),
        position: LogPosition::new(1, offset),
    };
    let mut history = WatermarkHistory::new();
    for pushed in [
        watermark(1_000, 5),
        watermark(2_000, 900),
        watermark(3_000, 7),
        watermark(2_500, 6),
    ] {
        history.push(pushed);
    }
    expect_that!(
        history.watermarks(),
        eq(&[watermark(1_000, 5), watermark(3_000, 7)][..])
    );
}

enum Step {
    Report(usize, MemberReport),
    Add(LogPosition),
    Advance(u64),
}

/// Guards against confirming a commit without a majority at its term, and against
/// a commit that stays pending when it can no longer be confirmed.
#[googletest::test]
fn commits_are_confirmed_by_a_majority_at_their_term_only() {
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
        expected: Vec<bool>,
    }
    let position = LogPosition::new(2, 10);
    let primary = report(2, MemberRole::Primary, LogPosition::new(2, 9));
    let cases = [
        Case {
            name: "the primary alone does not confirm",
            steps: vec![
                Step::Report(0, primary),
                Step::Add(position),
                Step::Advance(1),
            ],
            expected: vec![],
        },
        Case {
            name: "one replica besides the primary confirms",
            steps: vec![
                Step::Report(0, primary),
                Step::Add(position),
                Step::Report(1, replica(2, 2, 10)),
            ],
            expected: vec![true],
        },
        Case {
            name: "a replica that reported before the commit was added confirms it",
            steps: vec![
                Step::Report(0, primary),
                Step::Report(1, replica(2, 2, 10)),
                Step::Add(position),
                Step::Advance(1),
            ],
            expected: vec![true],
        },
        Case {
            name: "a lower log does not confirm",
            steps: vec![
                Step::Report(0, primary),
                Step::Add(position),
                Step::Report(1, replica(2, 2, 9)),
                Step::Report(2, replica(2, 1, 50)),
            ],
            expected: vec![],
        },
        Case {
            name: "a fenced replica does not confirm although its log reaches",
            steps: vec![
                Step::Report(0, primary),
                Step::Add(position),
                Step::Report(1, replica(3, 2, 10)),
            ],
            expected: vec![],
        },
        Case {
            name: "a majority at a higher term ends the wait",
            steps: vec![
                Step::Report(0, primary),
                Step::Add(position),
                Step::Report(1, replica(3, 2, 9)),
                Step::Report(2, replica(3, 2, 9)),
            ],
            expected: vec![false],
        },
        Case {
            name: "the deadline ends the wait",
            steps: vec![Step::Add(position), Step::Advance(1_000)],
            expected: vec![false],
        },
        Case {
            name: "reports of an older term and duplicates are harmless",
            steps: vec![
                Step::Report(1, replica(2, 2, 8)),
                Step::Report(1, replica(1, 1, 90)),
                Step::Report(1, replica(2, 2, 8)),
                Step::Add(position),
                Step::Report(2, replica(1, 1, 90)),
            ],
            expected: vec![],
        },
    ];
    let base = Instant::now();
    let members = keys(3);
    for case in cases {
        let mut tracker = ConfirmTracker::new(members.iter().copied());
        let mut outcomes = Vec::new();
        for step in &case.steps {
            let resolved = match step {
                Step::Report(member, report) => tracker.report(members[*member], report),
                Step::Advance(at) => tracker.advance(base + milliseconds(*at)),
                Step::Add(position) => {
                    tracker.add(*position, base + milliseconds(1_000));
                    Vec::new()
                }
            };
            outcomes.extend(resolved.into_iter().map(|commit| commit.outcome));
        }
        let confirmed = outcomes
            .iter()
            .map(|outcome| matches!(outcome, CommitOutcome::Confirmed { .. }));
        expect_that!(
            confirmed.collect::<Vec<_>>(),
            eq(&case.expected),
            "{}",
            case.name
        );
        expect_that!(tracker.pending() + outcomes.len(), eq(1), "{}", case.name);
    }
}

/// Guards against a confirmed commit that names no replica, against awaiting a
/// position that the member has already reported, and against lost commits.
#[googletest::test]
fn one_report_confirms_all_lower_commits_and_names_the_replica() {
    let base = Instant::now();
    let members = keys(3);
    let mut tracker = ConfirmTracker::new(members.iter().copied());
    let log = LogPosition::new(2, 1);
    tracker.report(members[0], &report(2, MemberRole::Primary, log));
    for offset in [12, 10, 11] {
        tracker.add(LogPosition::new(2, offset), base + milliseconds(1_000));
    }
    expect_that!(
        tracker.next_await(members[1]),
        some(eq(LogPosition::new(2, 10)))
    );
    let resolved = tracker.report(members[1], &replica(2, 2, 11));
    let offsets = resolved.iter().map(|commit| commit.position.offset);
    expect_that!(offsets.collect::<Vec<_>>(), eq(&[10, 11]));
    for commit in &resolved {
        let replica = Some(members[1]);
        expect_that!(commit.outcome, eq(CommitOutcome::Confirmed { replica }));
    }
    expect_that!(
        tracker.next_await(members[1]),
        some(eq(LogPosition::new(2, 12)))
    );
    expect_that!(tracker.next_await(members[0]), none());
}

/// Guards against a session bound that is available before its watermark or that
/// falls, and against a bound that cannot be reached after a failover.
#[googletest::test]
fn session_bounds_cover_what_was_accepted_before() {
    let base = Instant::now();
    let began_at = base + milliseconds(10);
    let watermark = |at, offset| GroupWatermark {
        asked_at: base + milliseconds(at),
        position: LogPosition::new(2, offset),
    };
    let mut bound = SessionBound::begin(began_at);
    expect_that!(bound.record_watermark(&watermark(9, 50)), eq(false));
    bound.record_read(LogPosition::new(2, 60));
    expect_that!(bound.bound(), none());
    expect_that!(bound.token("sightings"), none());
    expect_that!(bound.record_watermark(&watermark(10, 40)), eq(true));
    expect_that!(bound.bound(), some(eq(LogPosition::new(2, 60))));
    bound.record_confirmed_write(LogPosition::new(2, 55));
    expect_that!(bound.bound(), some(eq(LogPosition::new(2, 60))));
    expect_that!(
        LogPosition::new(3, 56).reaches(bound.bound().unwrap_or_default()),
        eq(true)
    );
    let token = bound.token("sightings").map(|token| token.to_string());
    expect_that!(token, some(eq("sightings:2:60")));
    let resumed = SessionBound::begin_with_token(began_at, LogPosition::new(2, 60));
    expect_that!(resumed.needs_watermark(), eq(false));
    let mut wrote = SessionBound::begin(began_at);
    wrote.record_confirmed_write(LogPosition::new(2, 5));
    expect_that!(wrote.needs_watermark(), eq(false));
}
