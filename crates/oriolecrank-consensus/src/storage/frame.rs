//! Frame format of the files in the data folder.
//!
//! A frame is a magic number, the payload length, a CRC-32 of length and payload, and the payload.
//! All records that are synced together form one frame, so a torn write damages only the last frame
//! of a file. An invalid frame with a valid frame after it had been synced before the later one was
//! written, so it is corruption and not a torn write. Corruption of the very last frame cannot be
//! distinguished from a torn write.

use oriolecrank_schema::codec;
use serde::Serialize;

/// First bytes of every frame; the search for later frames checks only positions with these bytes.
const MAGIC: [u8; 4] = *b"orl1";

/// Magic, length and CRC, in bytes.
const HEADER_BYTES: usize = 12;

/// Result of reading a frame at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FrameRead<'file> {
    /// A valid frame; `next` is the offset after it.
    Complete { payload: &'file [u8], next: usize },
    /// The end of the file.
    End,
    /// A truncated frame, or bytes that are no frame or fail the checksum.
    Invalid,
}

/// Encodes a record as a frame of about `size` bytes, in a single buffer.
pub(super) fn encode_frame<R: Serialize>(record: &R, size: usize) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + size);
    frame.resize(HEADER_BYTES, 0);
    codec::encode_into(record, &mut frame);
    let payload = &frame[HEADER_BYTES..];
    let length = u32::try_from(payload.len()).expect("a frame is far smaller than 4 GiB");
    let length = length.to_be_bytes();
    let crc = checksum(length, payload).to_be_bytes();
    frame[..4].copy_from_slice(&MAGIC);
    frame[4..8].copy_from_slice(&length);
    frame[8..HEADER_BYTES].copy_from_slice(&crc);
    frame
}

/// Reads the frame at an offset.
pub(super) fn read_frame(file: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = &file[offset..];
    if rest.is_empty() {
        return FrameRead::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return FrameRead::Invalid;
    };
    let length = [header[4], header[5], header[6], header[7]];
    let crc = u32::from_be_bytes([header[8], header[9], header[10], header[11]]);
    let size = u32::from_be_bytes(length) as usize;
    let Some(payload) = body.get(..size) else {
        return FrameRead::Invalid;
    };
    if header[..4] != MAGIC || crc != checksum(length, payload) {
        return FrameRead::Invalid;
    }
    FrameRead::Complete {
        payload,
        next: offset + HEADER_BYTES + size,
    }
}

/// Whether a valid frame starts anywhere after `offset`.
pub(super) fn has_later_frame(file: &[u8], offset: usize) -> bool {
    let start = (offset + 1).min(file.len());
    (start..file.len())
        .filter(|position| file[*position..].starts_with(&MAGIC))
        .any(|position| matches!(read_frame(file, position), FrameRead::Complete { .. }))
}

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}
