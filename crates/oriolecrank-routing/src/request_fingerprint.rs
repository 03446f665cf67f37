//! Recognition of a request that comes again.

use std::fmt;

use oriolecrank_schema::digest::short_call_digest;
use serde::{Deserialize, Serialize};

use crate::names::OrganisationName;
use crate::prompt_shape::PromptShape;

/// What makes two requests the same. Their ids differ, because callers set a new one for each
/// attempt.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Organisation of the caller; `None` on a route that needs no key.
    pub organisation: Option<&'a OrganisationName>,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Prompt, if the request is for a model engine.
    pub prompt: Option<&'a PromptShape>,
    /// Body.
    pub body: &'a [u8],
}

/// Short digest of a [`RequestContent`], equal at all entries. Requests of two organisations never
/// share one, except by a collision of 64 bits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint(u64);

impl From<&RequestContent<'_>> for RequestFingerprint {
    fn from(content: &RequestContent<'_>) -> Self {
        let organisation = content.organisation.map_or("", OrganisationName::as_str);
        let (method, host, target) = (content.method, content.host, content.target);
        let mut fields = vec![organisation, method, host, target];
        // The body need not contain the prompt.
        let prompt = content.prompt.map(prompt_text);
        fields.extend(prompt.as_deref());
        Self(short_call_digest(&fields, content.body))
    }
}

/// The properties of a prompt as text, which must stay the same between versions of the program.
fn prompt_text(prompt: &PromptShape) -> String {
    let parts = prompt.parts.iter();
    let parts = parts.map(|part| format!(",{:x}:{}", part.id.0, part.tokens));
    let tokens = format!("{},{}", prompt.input_tokens, prompt.output_tokens);
    std::iter::once(tokens).chain(parts).collect()
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The same as `Display`, so that log lines with a list of suspects can be searched for it.
impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
