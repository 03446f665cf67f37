//! Configuration documents: parsing, validation, lookups and differences.

mod checked_document;
mod delta;
mod edits;
mod parse;
mod validate;

pub use checked_document::{CheckedDocument, Revision};
pub use delta::{DeltaError, apply_delta, document_delta, is_empty_delta};
pub use edits::{DocumentEdit, EditKind, changed_paths, document_edits};
pub use parse::{DocumentFormat, ParseError, parse_document, render_document};
pub use validate::{
    MAX_DEADLINE_MS, MAX_DOCUMENT_BYTES, MAX_KEYS, MAX_NAME_BYTES, MAX_ORGANISATIONS,
    MAX_PATH_BYTES, MAX_REPORTED_ERRORS, MAX_ROUTES, MAX_SERVICES, MAX_USAGE_WINDOW_S,
    validate_document,
};
