//! Settings of an entry host in front of managed groups.

use googletest::prelude::*;
use state::entry::EntrySettings;

const SETTINGS: &str = r#"
host = "edge-na-a-1"
data_centre = "na-a"
caller_address = "10.1.0.8:8784"
readiness_address = "10.1.0.8:8785"
metrics_address = "10.1.0.8:7440"
relay_address = "10.1.0.8:7441"
grace_s = 6
descriptor_limit = 8400
promotion_address = "10.200.0.160:8783"

[regions]
na-a = "north-atlantic"

[store]
address = "10.200.1.7:8783"
"#;

#[gtest]
fn settings_of_the_documented_shape_are_read() {
    let settings = EntrySettings::parse(SETTINGS).unwrap();
    expect_that!(settings.host.as_str(), eq("edge-na-a-1"));
    expect_that!(settings.region_of("na-a"), eq("north-atlantic"));
    expect_that!(settings.region_of("elsewhere"), eq("elsewhere"));
    expect_that!(settings.grace_s, eq(6.0));
    let without = SETTINGS.replace("promotion_address = \"10.200.0.160:8783\"", "");
    let settings = EntrySettings::parse(&without).unwrap();
    expect_that!(settings.promotion_address, none());
}

/// Guards against a bad value that is taken or reported without its key.
#[gtest]
fn bad_settings_are_refused_with_their_key() {
    struct BadSetting {
        from: &'static str,
        to: &'static str,
        named: &'static str,
    }
    let cases = [
        BadSetting {
            from: "edge-na-a-1",
            to: "",
            named: "host",
        },
        BadSetting {
            from: "data_centre = \"na-a\"",
            to: "data_centre = \"wc-a\"",
            named: "data_centre",
        },
        BadSetting {
            from: "grace_s = 6",
            to: "grace_s = 0",
            named: "grace_s",
        },
        BadSetting {
            from: "address = \"10.200.1.7:8783\"",
            to: "address = \"10.200.1.7\"",
            named: "address",
        },
        BadSetting {
            from: "descriptor_limit = 8400",
            to: "descriptor_limit = 10",
            named: "descriptor_limit",
        },
        BadSetting {
            from: "grace_s",
            to: "grace_seconds",
            named: "grace_seconds",
        },
    ];
    for case in cases {
        let text = SETTINGS.replace(case.from, case.to);
        let problems = EntrySettings::parse(&text).unwrap_err();
        let report: Vec<String> = problems.iter().map(ToString::to_string).collect();
        expect_that!(report.join("\n"), contains_substring(case.named));
    }
}

/// Guards against a reload that changes addresses in use, or that ignores what
/// can change at once.
#[gtest]
fn a_reload_takes_over_what_can_change() {
    struct ReloadCase {
        from: &'static str,
        to: &'static str,
        waiting: &'static [&'static str],
    }
    let cases = [
        ReloadCase {
            from: "grace_s = 6",
            to: "grace_s = 9",
            waiting: &[],
        },
        ReloadCase {
            from: "descriptor_limit = 8400",
            to: "descriptor_limit = 900",
            waiting: &[],
        },
        ReloadCase {
            from: "10.1.0.8:8784",
            to: "10.1.0.8:9784",
            waiting: &["caller_address"],
        },
        ReloadCase {
            from: "10.200.1.7:8783",
            to: "10.200.1.8:8783",
            waiting: &["store"],
        },
    ];
    for case in cases {
        let mut settings = EntrySettings::parse(SETTINGS).unwrap();
        let before = settings.clone();
        let read = EntrySettings::parse(&SETTINGS.replace(case.from, case.to)).unwrap();
        expect_that!(settings.reload(&read), eq(case.waiting), "{}", case.to);
        let expected = match case.waiting {
            [] => &read,
            _ => &before,
        };
        expect_that!(&settings, eq(expected), "{}", case.to);
    }
}
