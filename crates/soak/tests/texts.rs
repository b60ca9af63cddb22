//! Tests the texts that callers send.

use std::collections::HashSet;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;
use soak::texts::draw_text;

const TEXTS: u64 = 4_000;
/// Size from which a text counts as long, in bytes.
const LONG_BYTES: usize = 100 * 1_024;
/// Maximal number of long texts in a run.
const MAX_LONG_TEXTS: usize = 10;

/// Guards against callers that send short texts without line feeds only, which hid cut
/// texts and forged statements, and against texts that no message can carry.
#[gtest]
fn texts_are_unique_and_cover_special_characters() {
    let mut random = StdRng::seed_from_u64(1);
    let texts: Vec<String> = (1..=TEXTS)
        .map(|number| draw_text(&mut random, number))
        .collect();
    let unique: HashSet<&String> = texts.iter().collect();
    expect_that!(unique.len(), eq(texts.len()));
    expect_that!(
        texts.iter().filter(|text| text.contains("\r\n")).count(),
        eq(0)
    );
    let parts = [
        "\n",
        "\r",
        "  ",
        "\nCOMPLETE mac-",
        "\nREADY I -",
        "\nQUERY forged",
        "\nROW ",
        "größe",
    ];
    for part in parts {
        let found = texts.iter().any(|text| text.contains(part));
        expect_that!(found, eq(true), "{part:?}");
    }
    expect_that!(texts.iter().any(|text| text.starts_with(' ')), eq(true));
    expect_that!(texts.iter().any(|text| text.ends_with(' ')), eq(true));
    expect_that!(texts.iter().any(|text| text.ends_with('\n')), eq(true));
    expect_that!(texts.iter().any(|text| text.ends_with('\r')), eq(true));
    let long = texts.iter().filter(|text| text.len() >= LONG_BYTES).count();
    expect_that!(long, all!(gt(0), le(MAX_LONG_TEXTS)));
}
