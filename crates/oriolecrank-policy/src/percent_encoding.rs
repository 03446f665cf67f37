//! Percent-decoding of request targets and header values.

use std::borrow::Cow;

/// Maximum number of decoding rounds, for values that proxies have percent-encoded repeatedly.
const MAX_DECODING_ROUNDS: usize = 4;

/// Percent-decodes `value` once; invalid escapes stay as they are.
pub(crate) fn percent_decoded(value: &[u8]) -> Cow<'_, [u8]> {
    if !value.contains(&b'%') {
        return Cow::Borrowed(value);
    }
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value;
    while let Some((&first, tail)) = rest.split_first() {
        let pair = tail.first().zip(tail.get(1));
        let code = pair.and_then(|(high, low)| Some(hex_digit(*high)? * 16 + hex_digit(*low)?));
        match code {
            Some(code) if first == b'%' => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    Cow::Owned(bytes)
}

/// Percent-decodes `value` until nothing changes, at most [`MAX_DECODING_ROUNDS`] times.
pub(crate) fn fully_percent_decoded(value: &[u8]) -> Vec<u8> {
    let mut bytes = value.to_vec();
    for _ in 0..MAX_DECODING_ROUNDS {
        let next = percent_decoded(&bytes).into_owned();
        if next == bytes {
            break;
        }
        bytes = next;
    }
    bytes
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}
