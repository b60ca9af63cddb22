//! Guards against intent documents that are accepted although they cannot be
//! satisfied, and against problem reports that do not name the key.

use googletest::prelude::*;
use state::document::IntentDocument;

const FERNWAKE: &str = include_str!("../../../docs/examples/fernwake.toml");
const KIBANDA: &str = include_str!("../../../docs/examples/kibanda.toml");

struct ExampleCase {
    name: &'static str,
    text: &'static str,
    slots: u64,
    connections: u64,
}

const EXAMPLES: [ExampleCase; 2] = [
    ExampleCase {
        name: "fernwake",
        text: FERNWAKE,
        slots: 3,
        connections: 20,
    },
    ExampleCase {
        name: "kibanda",
        text: KIBANDA,
        slots: 2,
        connections: 30,
    },
];

#[gtest]
fn example_documents_are_valid_and_have_the_expected_sizes() {
    for case in EXAMPLES {
        let document = IntentDocument::parse(case.text)
            .unwrap_or_else(|problems| panic!("{}: {problems:?}", case.name));
        expect_that!(document.group.len(), eq(3), "{}", case.name);
        expect_that!(document.entry_host.len(), eq(4), "{}", case.name);
        for group in &document.group {
            expect_that!(group.member.len(), eq(3));
            for member in &group.member {
                expect_that!(member.slots, eq(case.slots));
                expect_that!(member.connection_limit, eq(case.connections));
            }
        }
        let reparsed = IntentDocument::parse(&document.render());
        expect_that!(reparsed, ok(eq(&document)));
    }
}

struct InvalidCase {
    from: &'static str,
    to: &'static str,
    path: &'static str,
    allowed: &'static str,
}

const INVALID_CASES: [InvalidCase; 12] = [
    InvalidCase {
        from: "slots = 3",
        to: "slots = 0",
        path: "group[0].member[0].slots",
        allowed: "1 to 1024",
    },
    InvalidCase {
        from: "connection_limit = 20",
        to: "connection_limit = 3",
        path: "group[0].member[0].connection_limit",
        allowed: "at least 4",
    },
    InvalidCase {
        from: "statement_ms = 10000",
        to: "statement_ms = 5",
        path: "deadlines.statement_ms",
        allowed: "10 to 600000",
    },
    InvalidCase {
        from: "statement_ms = 10000",
        to: "statment_ms = 10000",
        path: "line",
        allowed: "documented shape",
    },
    InvalidCase {
        from: "statement_ms = 10000",
        to: "statement_ms = \"soon\"",
        path: "line",
        allowed: "documented shape",
    },
    InvalidCase {
        from: "region = \"north-atlantic\"",
        to: "region = \"atlantis\"",
        path: "data_centre[0].region",
        allowed: "the name of a region",
    },
    InvalidCase {
        from: "name = \"sightings-2\"",
        to: "name = \"sightings-1\"",
        path: "group[1].name",
        allowed: "a unique name",
    },
    InvalidCase {
        from: "name = \"entry-1\"",
        to: "name = \"Entry 1\"",
        path: "entry_host[0].name",
        allowed: "a-z",
    },
    InvalidCase {
        from: "address = \"10.1.0.12:5432\"",
        to: "address = \"10.1.0.11:5432\"",
        path: "group[0].member[1]",
        allowed: "an address of its own",
    },
    InvalidCase {
        from: "max_staleness_ms = 5000",
        to: "max_staleness_ms = 100",
        path: "read_class[0].max_staleness_ms",
        allowed: "at least twice",
    },
    InvalidCase {
        from: "user = \"surveyor\"",
        to: "user = \"nobody\"",
        path: "never_repeat[1].user",
        allowed: "a user of a customer",
    },
    InvalidCase {
        from: "suspect_after_ms = 600",
        to: "suspect_after_ms = 300",
        path: "failover.suspect_after_ms",
        allowed: "at least twice",
    },
];

#[gtest]
fn invalid_documents_are_rejected_with_path_and_allowed_values() {
    for case in INVALID_CASES {
        assert_that!(FERNWAKE, contains_substring(case.from));
        let text = FERNWAKE.replacen(case.from, case.to, 1);
        let problems = IntentDocument::parse(&text).expect_err(case.to);
        let named = problems.iter().any(|problem| {
            problem.path.contains(case.path) && problem.allowed.contains(case.allowed)
        });
        expect_that!(named, eq(true), "{}: {problems:?}", case.to);
    }
}

#[gtest]
fn all_problems_are_reported_at_once() {
    let text = FERNWAKE.replacen("slots = 3", "slots = 0", 1).replacen(
        "statement_ms = 10000",
        "statement_ms = 5",
        1,
    );
    let problems = IntentDocument::parse(&text).expect_err("two problems");
    expect_that!(problems.len(), eq(2));
}
