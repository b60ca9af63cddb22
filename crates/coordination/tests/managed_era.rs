//! Tests what a host keeps and what it takes over when the store returns from an older
//! copy, in which acknowledged writes are lost and revisions are given out again.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::Instant;

use coordination::managed::primary_view::PrimaryView;
use googletest::prelude::*;
use managed_support::{group_row, ms, reading};
use state::reading::{StoreEra, StoreRevision};

const FIRST: StoreEra = StoreEra(1);
const SECOND: StoreEra = StoreEra(2);

/// Guards against a group without a primary: the row of the last change is lost, and a
/// write on condition of its revision is refused for ever.
#[gtest]
fn the_next_write_is_conditional_on_the_row_that_the_store_has() {
    let now = Instant::now();
    let mut view = PrimaryView::default();
    view.observe_row(&reading(
        &group_row("a", 1),
        StoreRevision::new(FIRST, 9),
        now,
    ));
    view.observe_row(&reading(
        &group_row("b", 2),
        StoreRevision::new(FIRST, 29),
        now,
    ));
    let returned = StoreRevision::new(SECOND, 9);
    view.observe_row(&reading(&group_row("a", 1), returned, now + ms(500)));
    expect_that!(view.revision(), eq(returned));
    expect_that!(view.row(), some(eq(&group_row("b", 2))));
}
