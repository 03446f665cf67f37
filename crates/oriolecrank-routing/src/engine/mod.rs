//! What an engine can do, as the answers of its requests show it, and the harm that a request does
//! to the streams of an engine.

pub(crate) mod engine_status;
pub(crate) mod event_pace;
pub(crate) mod stream_harm;
