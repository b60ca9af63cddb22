//! Guards against frames that are split at the wrong byte, which would mix the
//! answers of different statements, and against malformed frames.

use bytes::BytesMut;
use googletest::prelude::*;
use protocol::frame::{self, FrameError};
use protocol::result_code::ResultCode;

#[gtest]
fn frames_are_split_wherever_the_stream_is_cut() {
    let mut stream = BytesMut::new();
    frame::put_complete(&mut stream, "INSERT 0 1");
    frame::put_ready(&mut stream, b'I');
    for cut in 0..stream.len() {
        let mut buffer = BytesMut::from(&stream[..cut]);
        let mut tags = Vec::new();
        while let Some(frame) = frame::split_frame(&mut buffer, 1024).unwrap() {
            tags.push(frame.tag());
        }
        buffer.extend_from_slice(&stream[cut..]);
        while let Some(frame) = frame::split_frame(&mut buffer, 1024).unwrap() {
            tags.push(frame.tag());
        }
        expect_that!(tags, elements_are![eq(&b'C'), eq(&b'Z')], "cut at {cut}");
    }
}

#[gtest]
fn invalid_lengths_are_rejected() {
    struct Case {
        bytes: &'static [u8],
        error: FrameError,
    }
    for case in [
        Case {
            bytes: b"Q\0\0\0\x03",
            error: FrameError::BadLength,
        },
        Case {
            bytes: b"Q\xff\xff\xff\xff",
            error: FrameError::BadLength,
        },
        Case {
            bytes: b"Q\0\0\x10\0",
            error: FrameError::TooLong,
        },
    ] {
        let mut buffer = BytesMut::from(case.bytes);
        expect_that!(frame::split_frame(&mut buffer, 1024), err(eq(&case.error)));
    }
}

#[gtest]
fn result_codes_are_encoded_with_sqlstate_and_number() {
    for code in ResultCode::ALL {
        let mut out = BytesMut::new();
        frame::put_result(&mut out, frame::ErrorSeverity::Error, code, "why");
        let frame = frame::split_frame(&mut out, 4096).unwrap().unwrap();
        expect_that!(frame::error_sqlstate(&frame), some(eq(code.sqlstate())));
        let detail = format!("cassia_code={}", code.number());
        expect_that!(frame::error_field(&frame, b'D'), some(eq(detail.as_str())));
    }
}

#[gtest]
fn columns_of_a_row_are_decoded() {
    let mut out = BytesMut::new();
    frame::put_text_row(&mut out, "primary");
    let row = frame::split_frame(&mut out, 4096).unwrap().unwrap();
    expect_that!(
        frame::text_columns(&row),
        ok(elements_are![some(eq(&"primary"))])
    );
    let short =
        frame::WireFrame::from_bytes(bytes::Bytes::from_static(b"D\0\0\0\x0a\0\x01\0\0\0\x09"))
            .unwrap();
    expect_that!(frame::text_columns(&short), err(eq(&FrameError::BadBody)));
}

#[gtest]
fn zero_byte_in_a_text_does_not_start_another_field() {
    let mut out = BytesMut::new();
    frame::put_error(
        &mut out,
        frame::ErrorSeverity::Error,
        "XX000",
        "a\0Cfake",
        "d",
    );
    let frame = frame::split_frame(&mut out, 4096).unwrap().unwrap();
    expect_that!(frame::error_field(&frame, b'M'), some(eq("a")));
    expect_that!(frame::error_sqlstate(&frame), some(eq("XX000")));
}
