//! Parsing, validation and reload of the settings of an entry host.

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
fn valid_settings_are_parsed() {
    let settings = EntrySettings::parse(SETTINGS).unwrap();
    expect_that!(settings.host.as_str(), eq("edge-na-a-1"));
    expect_that!(settings.region_of("na-a"), eq("north-atlantic"));
    expect_that!(settings.region_of("elsewhere"), eq("elsewhere"));
    expect_that!(settings.grace_s, eq(6.0));
    let without = SETTINGS.replace("promotion_address = \"10.200.0.160:8783\"", "");
    let settings = EntrySettings::parse(&without).unwrap();
    expect_that!(settings.promotion_address, none());
}

/// Guards against an invalid value that is accepted, or that is reported without
/// its key.
#[gtest]
fn invalid_settings_are_rejected_with_their_key() {
    struct InvalidSetting {
        from: &'static str,
        to: &'static str,
        key: &'static str,
    }
    let cases = [
        InvalidSetting {
            from: "edge-na-a-1",
            to: "",
            key: "host",
        },
        InvalidSetting {
            from: "data_centre = \"na-a\"",
            to: "data_centre = \"wc-a\"",
            key: "data_centre",
        },
        InvalidSetting {
            from: "grace_s = 6",
            to: "grace_s = 0",
            key: "grace_s",
        },
        InvalidSetting {
            from: "address = \"10.200.1.7:8783\"",
            to: "address = \"10.200.1.7\"",
            key: "address",
        },
        InvalidSetting {
            from: "descriptor_limit = 8400",
            to: "descriptor_limit = 10",
            key: "descriptor_limit",
        },
        InvalidSetting {
            from: "grace_s",
            to: "grace_seconds",
            key: "grace_seconds",
        },
    ];
    for case in cases {
        let text = SETTINGS.replace(case.from, case.to);
        let problems = EntrySettings::parse(&text).unwrap_err();
        let report: Vec<String> = problems.iter().map(ToString::to_string).collect();
        expect_that!(report.join("\n"), contains_substring(case.key));
    }
}

/// Guards against a host name that members would receive as several fields of a greeting,
/// or as several messages.
#[gtest]
fn a_host_name_of_several_fields_is_rejected() {
    for name in [
        "two words",
        "a\\nb",
        "a\\r",
        "a\\r\\nQUIT",
        "a\\tb",
        "a\\u007f",
    ] {
        let text = SETTINGS.replace("edge-na-a-1", name);
        let report = match EntrySettings::parse(&text) {
            Ok(settings) => panic!("{:?} is accepted", settings.host),
            Err(problems) => problems[0].to_string(),
        };
        expect_that!(report, contains_substring("host"), "{name:?}");
        expect_that!(report, contains_substring("control characters"), "{name:?}");
    }
}

/// Guards against a reload that changes addresses in use, or that ignores values
/// that can change at run time.
#[gtest]
fn reload_applies_only_values_that_can_change_at_run_time() {
    struct ReloadCase {
        from: &'static str,
        to: &'static str,
        pending: &'static [&'static str],
    }
    let cases = [
        ReloadCase {
            from: "grace_s = 6",
            to: "grace_s = 9",
            pending: &[],
        },
        ReloadCase {
            from: "descriptor_limit = 8400",
            to: "descriptor_limit = 900",
            pending: &[],
        },
        ReloadCase {
            from: "10.1.0.8:8784",
            to: "10.1.0.8:9784",
            pending: &["caller_address"],
        },
        ReloadCase {
            from: "10.200.1.7:8783",
            to: "10.200.1.8:8783",
            pending: &["store"],
        },
    ];
    for case in cases {
        let mut settings = EntrySettings::parse(SETTINGS).unwrap();
        let before = settings.clone();
        let updated = EntrySettings::parse(&SETTINGS.replace(case.from, case.to)).unwrap();
        expect_that!(settings.reload(&updated), eq(case.pending), "{}", case.to);
        let expected = match case.pending {
            [] => &updated,
            _ => &before,
        };
        expect_that!(&settings, eq(expected), "{}", case.to);
    }
}
