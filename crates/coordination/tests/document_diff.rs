//! Guards against a merge that drops or overwrites another operator's change
//! without showing it.

use coordination::document_diff::{difference, merge, MergeError};
use googletest::prelude::*;
use state::document::IntentDocument;

const FERNWAKE: &str = include_str!("../../../docs/examples/fernwake.toml");

/// A change as a replacement of the first occurrence of a text.
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
fn difference_names_entries_and_describes_them() {
    let changes = difference(&parse(FERNWAKE), &edited(SLOTS));
    expect_that!(
        changes[0].describe(),
        eq("group[sightings-1].member[sightings-1a].slots: changed from 3 to 4")
    );
    expect_that!(changes.len(), eq(1));
}
