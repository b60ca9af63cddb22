//! Guards against a posted form that changes keys other than those of its
//! fields, or that is applied partly when it contains an error.

use cassiactl::console::form::{
    apply_form, parse_draft, FormAction, FormError, PostedField, SECTIONS,
};
use googletest::prelude::*;
use serde_json::Value;
use state::document::IntentDocument;

const EXAMPLE_DOCUMENT: &str = include_str!("../../../docs/examples/kibanda.toml");

fn example_draft() -> Value {
    let document = IntentDocument::parse(EXAMPLE_DOCUMENT).expect("the example is valid");
    serde_json::to_value(document).expect("a document converts to JSON")
}

struct EditCase {
    pointer: &'static str,
    text: &'static str,
    expected: &'static str,
}

const EDIT_CASES: [EditCase; 5] = [
    EditCase {
        pointer: "/group/0/member/1/slots",
        text: " 4 ",
        expected: "4",
    },
    EditCase {
        pointer: "/group/2/member/0/leaving",
        text: "true",
        expected: "true",
    },
    EditCase {
        pointer: "/customer/0/user",
        text: "clerk, , porter ,night-clerk",
        expected: r#"["clerk","porter","night-clerk"]"#,
    },
    EditCase {
        pointer: "/never_repeat/0/table",
        text: "receipts",
        expected: r#""receipts""#,
    },
    EditCase {
        pointer: "/deadlines/drain_ms",
        text: "1000",
        expected: "1000",
    },
];

#[gtest]
fn a_field_changes_only_its_key() {
    for case in EDIT_CASES {
        let field = PostedField {
            pointer: case.pointer.to_owned(),
            text: case.text.to_owned(),
        };
        let mut edited = apply_form(&example_draft(), &[field], &FormAction::Save)
            .unwrap_or_else(|error| panic!("{}: {error}", case.pointer));
        let value = edited.pointer(case.pointer).map(Value::to_string);
        expect_that!(value, some(eq(case.expected)), "{}", case.pointer);
        expect_that!(parse_draft(&edited).is_ok(), eq(true), "{}", case.pointer);
        // With the old value restored, the draft must equal the original.
        *edited.pointer_mut(case.pointer).expect("the key exists") = example_draft()
            .pointer(case.pointer)
            .cloned()
            .expect("the key exists");
        expect_that!(edited, eq(&example_draft()), "{}", case.pointer);
    }
}

struct InvalidCase {
    pointer: &'static str,
    text: &'static str,
    action: &'static str,
    expected: fn(&FormError) -> bool,
}

const INVALID_CASES: [InvalidCase; 6] = [
    InvalidCase {
        pointer: "/group/0/member/1/slots",
        text: "many",
        action: "save",
        expected: |error| matches!(error, FormError::NotANumber { .. }),
    },
    InvalidCase {
        pointer: "/group/0/member/1/slots",
        text: "-1",
        action: "save",
        expected: |error| matches!(error, FormError::NotANumber { .. }),
    },
    InvalidCase {
        pointer: "/group/7/name",
        text: "x",
        action: "save",
        expected: |error| matches!(error, FormError::UnknownField(_)),
    },
    InvalidCase {
        pointer: "/group/0",
        text: "x",
        action: "save",
        expected: |error| matches!(error, FormError::UnknownField(_)),
    },
    InvalidCase {
        pointer: "/deadlines/drain_ms",
        text: "1000",
        action: "remove /group/9",
        expected: |error| matches!(error, FormError::UnknownAction(_)),
    },
    InvalidCase {
        pointer: "/deadlines/drain_ms",
        text: "1000",
        action: "add /group spaceship",
        expected: |error| matches!(error, FormError::UnknownAction(_)),
    },
];

#[gtest]
fn an_invalid_form_is_rejected_as_a_whole() {
    for case in INVALID_CASES {
        let field = PostedField {
            pointer: case.pointer.to_owned(),
            text: case.text.to_owned(),
        };
        let result = FormAction::parse(case.action)
            .and_then(|action| apply_form(&example_draft(), &[field], &action));
        let rejected = result.as_ref().is_err_and(case.expected);
        expect_that!(
            rejected,
            eq(true),
            "{} {}: {result:?}",
            case.pointer,
            case.action
        );
    }
}

#[gtest]
fn entries_are_added_and_removed() {
    let add = FormAction::parse("add /group/0/member member").expect("a valid action");
    let added = apply_form(&example_draft(), &[], &add).expect("the list exists");
    expect_that!(
        added["group"][0]["member"].as_array().map(Vec::len),
        some(eq(4))
    );
    // The new entry has no name yet, so the draft must be invalid.
    expect_that!(parse_draft(&added).is_err(), eq(true));
    let remove = FormAction::parse("remove /group/0/member/3").expect("a valid action");
    let removed = apply_form(&added, &[], &remove).expect("the entry exists");
    expect_that!(removed, eq(&example_draft()));
}

#[gtest]
fn every_key_of_the_document_has_a_section() {
    let draft = example_draft();
    let fields = draft.as_object().expect("a document is an object");
    for key in fields.keys() {
        let has_section = SECTIONS.iter().any(|section| section.key == key);
        expect_that!(has_section, eq(true), "{key}");
    }
}
