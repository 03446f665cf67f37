//! Identity of a control instance.

use std::fmt;
use std::sync::Arc;

/// Identity of one control instance with one disk.
///
/// An instance whose disk was replaced gets a new identity, because the votes and acknowledged
/// entries stored under the old one are lost. A group with several founding members is the
/// exception: these members keep their names, and the founding check detects a replaced disk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(Arc<str>);

impl InstanceId {
    /// Wraps the name of an instance.
    pub fn new(name: &str) -> Self {
        Self(name.into())
    }

    /// Name of the instance.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
