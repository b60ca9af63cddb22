//! Malformed messages before log-in: lengths at their limits, missing terminators and
//! broken UTF-8.

use googletest::prelude::*;
use proptest::prelude::*;
use protocol::login::{is_initial_response, read_startup};

fn startup(body: &[u8]) -> Vec<u8> {
    let mut packet = vec![0, 0, 0, 0, 0, 3, 0, 0];
    packet.extend_from_slice(body);
    packet
}

/// Guards against a start-up packet that is read past its end.
#[gtest]
fn a_startup_packet_needs_all_terminators() {
    struct StartupCase {
        name: &'static str,
        packet: Vec<u8>,
        expected: Option<usize>,
    }
    let case = |name, packet, expected| StartupCase {
        name,
        packet,
        expected,
    };
    let cases = [
        case(
            "two parameters",
            startup(b"user\0app\0database\0g\0\0"),
            Some(2),
        ),
        case("no parameter", startup(b"\0"), Some(0)),
        case("an empty value", startup(b"user\0\0\0"), Some(1)),
        case("no body", startup(b""), None),
        case("a name without terminator", startup(b"user"), None),
        case("a value without terminator", startup(b"user\0app"), None),
        case("no end of the list", startup(b"user\0app\0"), None),
        case("bytes behind the end", startup(b"user\0app\0\0x"), None),
        case("broken UTF-8", startup(b"user\0\xff\xfe\0\0"), None),
        case("version 2", vec![0, 0, 0, 9, 0, 2, 0, 0, 0], None),
        case("half a version", vec![0, 0, 0, 6, 0, 3], None),
    ];
    for case in cases {
        let count = read_startup(&case.packet).map(|parameters| parameters.len());
        expect_that!(count, eq(case.expected), "{}", case.name);
    }
}

/// Guards against a log-in message whose length exceeds its data.
#[gtest]
fn an_initial_response_has_the_length_that_it_names() {
    struct ResponseCase {
        name: &'static str,
        body: &'static [u8],
        expected: bool,
    }
    let case = |name, body, expected| ResponseCase {
        name,
        body,
        expected,
    };
    let cases = [
        case("data", b"SCRAM-SHA-256\0\0\0\0\x03abc".as_slice(), true),
        case("absent data", b"SCRAM-SHA-256\0\xff\xff\xff\xff", true),
        case("empty", b"", false),
        case("no terminator", b"SCRAM-SHA-256", false),
        case("half a length", b"SCRAM-SHA-256\0\0\0", false),
        case(
            "a length above the data",
            b"SCRAM-SHA-256\0\0\0\0\x04abc",
            false,
        ),
        case(
            "a length below the data",
            b"SCRAM-SHA-256\0\0\0\0\x02abc",
            false,
        ),
        case(
            "the largest length",
            b"SCRAM-SHA-256\0\x7f\xff\xff\xffabc",
            false,
        ),
        case(
            "a negative length",
            b"SCRAM-SHA-256\0\xff\xff\xff\xfeabc",
            false,
        ),
    ];
    for case in cases {
        expect_that!(
            is_initial_response(case.body),
            eq(case.expected),
            "{}",
            case.name
        );
    }
}

proptest! {
    /// Guards against a panic on any input.
    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        read_startup(&bytes);
        read_startup(&startup(&bytes));
        is_initial_response(&bytes);
    }
}
