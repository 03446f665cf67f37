//! Configuration documents and the replicated state machine of oriolecrank.
//!
//! - [`document`] reads, validates and compares configuration documents. [`CheckedDocument`] is a
//!   valid document with the lookups that the request path needs.
//!
//! The crate performs no input or output and reads no clock.

pub mod document;

pub use document::{CheckedDocument, Revision};
