//! Checks of the messages that a caller sends before it has logged in. The decoders
//! of the protocol library read past the end of malformed messages, so that only
//! checked ones may reach them.

use std::collections::BTreeMap;

use bytes::Buf;

/// Major version of the protocol.
const PROTOCOL_MAJOR: u16 = 3;
/// Length that stands for an absent text.
const ABSENT_LENGTH: i32 = -1;

/// Reads the parameters of a start-up packet, which begins with its length. Returns
/// `None` if the packet is malformed or of another protocol version.
pub fn read_startup(packet: &[u8]) -> Option<BTreeMap<String, String>> {
    let mut body = packet.get(4..)?;
    let major = body.try_get_u16().ok()?;
    let _minor = body.try_get_u16().ok()?;
    if major != PROTOCOL_MAJOR {
        return None;
    }
    let mut parameters = BTreeMap::new();
    loop {
        let name = take_text(&mut body)?;
        if name.is_empty() {
            // The empty name ends the list, and nothing follows it.
            return body.is_empty().then_some(parameters);
        }
        parameters.insert(name, take_text(&mut body)?);
    }
}

/// Returns whether the body of a password message is a complete initial response of
/// a SASL exchange: a mechanism, the length of the data, and the data.
pub fn is_initial_response(body: &[u8]) -> bool {
    let mut body = body;
    let Some(_mechanism) = take_text(&mut body) else {
        return false;
    };
    let Ok(length) = body.try_get_i32() else {
        return false;
    };
    match length {
        ABSENT_LENGTH => body.is_empty(),
        length => usize::try_from(length) == Ok(body.len()),
    }
}

/// Removes a text and its terminating zero from the front of `bytes`. Returns `None`
/// if there is no terminator or the text is not UTF-8.
fn take_text(bytes: &mut &[u8]) -> Option<String> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    let text = std::str::from_utf8(&bytes[..end]).ok()?.to_owned();
    *bytes = &bytes[end + 1..];
    Some(text)
}
