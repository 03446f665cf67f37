//! Wire messages, settings files and shared value types of oriolecrank.
//!
//! The modules [`control`], [`data_path`], [`document`], [`peer`] and [`settings`] are generated
//! from the JSON Schema files in `schema/` by `cargo run -p xtask -- generate`. The other modules
//! hold what every process needs to exchange these types: the [`codec`], the [`protocol`] version,
//! the numbered log [`event`]s, [`TimePoint`] and the [`digest`] functions.
//!
//! ```
//! use oriolecrank_schema::codec;
//! use oriolecrank_schema::data_path::AckRequest;
//!
//! let ack = AckRequest { request_id: "r-1".to_owned().into(), attempt: 1, offset: 42, complete: false };
//! let bytes = codec::encode(&ack);
//! assert_eq!(codec::decode::<AckRequest>(&bytes)?, ack);
//! # Ok::<(), codec::CodecError>(())
//! ```

pub mod codec;
pub mod digest;
pub mod event;
pub mod failure_code;
#[rustfmt::skip]
#[expect(
    clippy::all,
    clippy::pedantic,
    clippy::unwrap_used,
    missing_docs,
    reason = "generated code follows the style of its generator"
)]
mod generated;
pub mod protocol;
mod time_point;

/// Stands for the organisation of calls to open routes, which need no key; such calls are not
/// billed.
pub const OPEN_ORGANISATION: &str = "-";

pub use generated::{control, data_path, document, peer, settings};
pub use time_point::TimePoint;
