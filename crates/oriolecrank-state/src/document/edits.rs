//! Human-readable differences between two documents.

use std::fmt;

use oriolecrank_schema::document::{KeyConfig, OrganisationConfig, ServiceConfig};
use serde::Serialize;

use super::checked_document::CheckedDocument;
use super::delta::{ConfigPair, NamedConfig, name_pairs};

/// How a value differs between two documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EditKind {
    /// The value is only in the new document.
    Added,
    /// The value is only in the old document.
    Removed,
    /// The value is in both documents and differs.
    Changed,
}

/// One difference between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DocumentEdit {
    /// Path of the value; list elements appear by name, as in `services.chat.routes`.
    pub path: String,
    /// How the value differs.
    pub kind: EditKind,
    /// Old value as JSON; absent for keys and for whole organisations and services.
    pub before: Option<String>,
    /// New value as JSON; absent for keys and for whole organisations and services.
    pub after: Option<String>,
}

impl fmt::Display for DocumentEdit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            EditKind::Added => '+',
            EditKind::Removed => '-',
            EditKind::Changed => '~',
        };
        write!(formatter, "{sign} {}", self.path)?;
        if let (Some(before), Some(after)) = (&self.before, &self.after) {
            write!(formatter, ": {before} -> {after}")?;
        }
        Ok(())
    }
}

/// Differences between two documents, sorted by path.
///
/// They contain neither caller keys nor key digests.
pub fn document_edits(before: &CheckedDocument, after: &CheckedDocument) -> Vec<DocumentEdit> {
    let (before, after) = (before.as_document(), after.as_document());
    let mut list = EditList::default();
    list.compare("regions", &before.regions, &after.regions);
    list.compare(
        "usage_window_s",
        &before.usage_window_s,
        &after.usage_window_s,
    );
    list.compare("budget", &before.budget, &after.budget);
    for (name, pair) in name_pairs(&before.organisations, &after.organisations) {
        list.add_organisation(&format!("organisations.{}", name.0), pair);
    }
    for (name, pair) in name_pairs(&before.services, &after.services) {
        list.add_service(&format!("services.{}", name.0), pair);
    }
    list.edits.sort_by(|one, other| one.path.cmp(&other.path));
    list.edits
}

/// Paths of the values that differ, sorted, for the audit trail.
pub fn changed_paths(before: &CheckedDocument, after: &CheckedDocument) -> Vec<String> {
    let edits = document_edits(before, after).into_iter();
    edits.map(|edit| edit.path).collect()
}

#[derive(Debug, Default)]
struct EditList {
    edits: Vec<DocumentEdit>,
}

impl EditList {
    /// Adds an edit if the two values differ.
    fn compare<T: PartialEq + Serialize>(&mut self, path: &str, before: &T, after: &T) {
        if before == after {
            return;
        }
        let json =
            |value: &T| serde_json::to_string(value).expect("serialising to a string cannot fail");
        self.edits.push(DocumentEdit {
            path: path.to_owned(),
            kind: EditKind::Changed,
            before: Some(json(before)),
            after: Some(json(after)),
        });
    }

    /// Adds an edit without values if a named element was added, removed or changed.
    fn compare_named<T: NamedConfig>(&mut self, path: &str, pair: ConfigPair<'_, T>) {
        let kind = match pair {
            (None, _) => EditKind::Added,
            (_, None) => EditKind::Removed,
            (before, after) if before == after => return,
            _ => EditKind::Changed,
        };
        self.edits.push(DocumentEdit {
            path: path.to_owned(),
            kind,
            before: None,
            after: None,
        });
    }

    fn add_organisation(&mut self, path: &str, pair: ConfigPair<'_, OrganisationConfig>) {
        let (Some(before), Some(after)) = pair else {
            return self.compare_named(path, pair);
        };
        for (name, keys) in name_pairs::<KeyConfig>(&before.keys, &after.keys) {
            self.compare_named(&format!("{path}.keys.{name}"), keys);
        }
        self.compare(&format!("{path}.limits"), &before.limits, &after.limits);
        self.compare(
            &format!("{path}.services"),
            &before.services,
            &after.services,
        );
        self.compare(&format!("{path}.weight"), &before.weight, &after.weight);
    }

    fn add_service(&mut self, path: &str, pair: ConfigPair<'_, ServiceConfig>) {
        let (Some(before), Some(after)) = pair else {
            return self.compare_named(path, pair);
        };
        let field = |name: &str| format!("{path}.{name}");
        self.compare(&field("kind"), &before.kind, &after.kind);
        self.compare(&field("models"), &before.models, &after.models);
        self.compare(&field("class"), &before.class, &after.class);
        self.compare(
            &field("deadline_ms"),
            &before.deadline_ms,
            &after.deadline_ms,
        );
        self.compare(&field("routes"), &before.routes, &after.routes);
        self.compare(&field("budget"), &before.budget, &after.budget);
    }
}
