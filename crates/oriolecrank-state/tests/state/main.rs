//! Tests of documents and of the replicated state machine.

mod document_delta;
mod document_validation;
mod fixtures;
