//! Name of the cluster in ids that other systems see.

use std::fmt;

/// Name of a cluster, reduced to characters that are valid in header fields and ids.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterLabel(String);

impl ClusterLabel {
    /// The label of the cluster `name`; other characters become `-`.
    pub fn new(name: &str) -> Self {
        let is_plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let plain = |letter| if is_plain(letter) { letter } else { '-' };
        Self(name.chars().map(plain).collect())
    }
}

impl fmt::Display for ClusterLabel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
