//! Guards against a merge that drops or overwrites another operator's change
//! without reporting a conflict.

use coordination::document_diff::{check_member_changes, difference, merge, MergeError};
use googletest::prelude::*;
use state::document::IntentDocument;

const FERNWAKE: &str = include_str!("../../../docs/examples/fernwake.toml");

/// An edit of the example document that replaces the first occurrence of `from`.
#[derive(Clone, Copy)]
struct TextEdit {
    from: &'static str,
    to: &'static str,
}

const SLOTS: TextEdit = TextEdit {
    from: "slots = 3",
    to: "slots = 4",
};
const MORE_SLOTS: TextEdit = TextEdit {
    from: "slots = 3",
    to: "slots = 5",
};
const DRAIN: TextEdit = TextEdit {
    from: "drain_ms = 30000",
    to: "drain_ms = 20000",
};
const NEW_REGION: TextEdit = TextEdit {
    from: "[[data_centre]]\n",
    to: "[[region]]\nname = \"gulf\"\n\n[[data_centre]]\n",
};
const OTHER_REGION: TextEdit = TextEdit {
    from: "[[data_centre]]\n",
    to: "[[region]]\nname = \"plains\"\n\n[[data_centre]]\n",
};
const DROP_RULE: TextEdit = TextEdit {
    from: "[[never_repeat]]\ntable = \"sightings\"\n",
    to: "",
};

fn edited(edit: TextEdit) -> IntentDocument {
    assert!(FERNWAKE.contains(edit.from), "{}", edit.from);
    parse(&FERNWAKE.replacen(edit.from, edit.to, 1))
}

fn parse(text: &str) -> IntentDocument {
    IntentDocument::parse(text).unwrap_or_else(|problems| panic!("{problems:?}"))
}

struct MergeCase {
    ours: TextEdit,
    theirs: TextEdit,
    changes: usize,
}

const MERGES: [MergeCase; 5] = [
    MergeCase {
        ours: SLOTS,
        theirs: DRAIN,
        changes: 2,
    },
    MergeCase {
        ours: NEW_REGION,
        theirs: OTHER_REGION,
        changes: 2,
    },
    MergeCase {
        ours: SLOTS,
        theirs: SLOTS,
        changes: 1,
    },
    MergeCase {
        ours: DROP_RULE,
        theirs: DRAIN,
        changes: 2,
    },
    MergeCase {
        ours: DRAIN,
        theirs: DROP_RULE,
        changes: 2,
    },
];

#[gtest]
fn merge_keeps_the_changes_of_both_operators() {
    let base = parse(FERNWAKE);
    for case in MERGES {
        let merged = merge(&base, &edited(case.ours), &edited(case.theirs));
        let merged = merged.unwrap_or_else(|error| panic!("{}: {error:?}", case.ours.to));
        let changes = difference(&base, &merged);
        expect_that!(changes.len(), eq(case.changes), "{changes:?}");
    }
}

#[gtest]
fn a_key_that_both_changed_is_a_conflict() {
    let base = parse(FERNWAKE);
    let result = merge(&base, &edited(SLOTS), &edited(MORE_SLOTS));
    let Err(MergeError::Conflicts(conflicts)) = result else {
        panic!("expected a conflict, got {result:?}");
    };
    expect_that!(conflicts.len(), eq(1));
    expect_that!(
        conflicts[0].path,
        eq("group[sightings-1].member[sightings-1a].slots")
    );
}

#[gtest]
fn difference_identifies_entries_by_name_and_describes_changes() {
    let changes = difference(&parse(FERNWAKE), &edited(SLOTS));
    expect_that!(
        changes[0].describe(),
        eq("group[sightings-1].member[sightings-1a].slots: changed from 3 to 4")
    );
    expect_that!(changes.len(), eq(1));
}

struct MemberCase {
    name: &'static str,
    change: fn(&mut IntentDocument),
    allowed: bool,
}

const MEMBER_CASES: [MemberCase; 6] = [
    MemberCase {
        name: "one removed",
        change: |document| drop(document.group[0].member.remove(2)),
        allowed: true,
    },
    MemberCase {
        name: "one removed in each of two groups",
        change: |document| {
            document.group[0].member.remove(2);
            document.group[1].member.remove(0);
        },
        allowed: true,
    },
    MemberCase {
        name: "two removed",
        change: |document| document.group[0].member.truncate(1),
        allowed: false,
    },
    MemberCase {
        name: "one replaced by another name",
        change: |document| document.group[0].member[0].name = "sightings-1x".to_owned(),
        allowed: false,
    },
    MemberCase {
        name: "one moved to another control address",
        change: |document| document.group[0].member[0].control_address.set_port(7_999),
        allowed: false,
    },
    MemberCase {
        name: "a whole group removed",
        change: |document| drop(document.group.remove(0)),
        allowed: true,
    },
];

/// Guards against two versions in force at the same time on different daemons
/// whose majorities share no member.
#[gtest]
fn members_of_a_group_change_one_at_a_time() {
    let before = parse(FERNWAKE);
    for case in MEMBER_CASES {
        let mut after = before.clone();
        (case.change)(&mut after);
        let problems = check_member_changes(&before, &after);
        expect_that!(problems.is_empty(), eq(case.allowed), "{}", case.name);
    }
}
