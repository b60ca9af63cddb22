//! Guards against session tokens that parse to another value than the one that
//! was formatted, and against malformed tokens and request ids that are accepted.

use googletest::prelude::*;
use state::log::LogPosition;
use state::request::{RequestId, RequestIdError};
use state::session::{SessionToken, TokenError};

struct TokenCase {
    text: &'static str,
    expected: std::result::Result<(&'static str, u64, u64), TokenError>,
}

const TOKENS: [TokenCase; 8] = [
    TokenCase {
        text: "sightings-1:3:42",
        expected: Ok(("sightings-1", 3, 42)),
    },
    TokenCase {
        text: "a:b:3:42",
        expected: Ok(("a:b", 3, 42)),
    },
    TokenCase {
        text: "",
        expected: Err(TokenError::WrongFormat),
    },
    TokenCase {
        text: ":3:42",
        expected: Err(TokenError::WrongFormat),
    },
    TokenCase {
        text: "g:42",
        expected: Err(TokenError::WrongFormat),
    },
    TokenCase {
        text: "g:-1:42",
        expected: Err(TokenError::BadNumber),
    },
    TokenCase {
        text: "g:1:99999999999999999999",
        expected: Err(TokenError::BadNumber),
    },
    TokenCase {
        text: "g:1:4x",
        expected: Err(TokenError::BadNumber),
    },
];

#[gtest]
fn session_tokens_are_parsed_strictly() {
    for case in TOKENS {
        let expected = case.expected.map(|(group, term, offset)| SessionToken {
            group: group.to_owned(),
            position: LogPosition::new(term, offset),
        });
        let token = case.text.parse::<SessionToken>();
        expect_that!(token, eq(&expected), "{:?}", case.text);
        if let Ok(token) = token {
            expect_that!(token.to_string(), eq(case.text));
        }
    }
}

struct IdCase {
    text: &'static str,
    expected: Option<RequestIdError>,
}

const IDS: [IdCase; 5] = [
    IdCase {
        text: "survey-7:row_12.a",
        expected: None,
    },
    IdCase {
        text: "",
        expected: Some(RequestIdError::BadLength),
    },
    IdCase {
        text: "x1234567890123456789012345678901234567890123456789012345678901234",
        expected: Some(RequestIdError::BadLength),
    },
    IdCase {
        text: "a'b",
        expected: Some(RequestIdError::BadCharacter),
    },
    IdCase {
        text: "é",
        expected: Some(RequestIdError::BadCharacter),
    },
];

#[gtest]
fn request_ids_that_could_escape_from_an_sql_literal_are_rejected() {
    for case in IDS {
        let id = case.text.parse::<RequestId>();
        expect_that!(id.err(), eq(case.expected), "{:?}", case.text);
    }
}
