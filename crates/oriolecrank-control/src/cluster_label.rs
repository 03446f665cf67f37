//! Cluster name in ids that other systems see.

use std::fmt;

/// Name of a cluster, reduced to characters that are valid in header fields and ids.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterLabel(String);

impl ClusterLabel {
    /// Keeps ASCII letters, ASCII digits, `-`, `_` and `.` of `name`; every other character becomes
    /// `-`.
    pub fn new(name: &str) -> Self {
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let sanitize = |letter| if is_allowed(letter) { letter } else { '-' };
        Self(name.chars().map(sanitize).collect())
    }
}

impl fmt::Display for ClusterLabel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
