//! Deltas between two revisions of the document, as sent to subscribers.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{DocumentDelta, FieldError};
use oriolecrank_schema::document::{
    BudgetConfig, ConfigDocument, KeyConfig, OrganisationConfig, OrganisationId, ServiceConfig,
    ServiceId,
};
use snafu::Snafu;

use super::checked_document::{CheckedDocument, make_canonical};

/// Reason why a delta cannot be applied to a document.
#[derive(Debug, Snafu)]
pub enum DeltaError {
    /// The result is not a valid document.
    #[snafu(display(
        "the delta does not lead to a valid document; first error at {:?}: {}",
        errors[0].path,
        errors[0].reason
    ))]
    InvalidResult {
        /// Validation errors of the resulting document, at least one.
        errors: Vec<FieldError>,
    },
}

/// Smallest delta that turns one document into another.
pub fn document_delta(before: &CheckedDocument, after: &CheckedDocument) -> DocumentDelta {
    let (before, after) = (before.as_document(), after.as_document());
    let (organisations, removed_organisations) =
        list_delta::<OrganisationConfig>(&before.organisations, &after.organisations);
    let (services, removed_services) =
        list_delta::<ServiceConfig>(&before.services, &after.services);
    DocumentDelta {
        budget: (before.budget != after.budget).then(|| after.budget.clone().unwrap_or(NO_BUDGET)),
        organisations,
        // An empty list means that the regions are unchanged; a valid document has at least one.
        regions: if before.regions == after.regions {
            Vec::new()
        } else {
            after.regions.clone()
        },
        removed_organisations,
        removed_services,
        services,
        usage_window_s: (before.usage_window_s != after.usage_window_s)
            .then_some(after.usage_window_s),
    }
}

/// Whether a delta changes nothing.
pub fn is_empty_delta(delta: &DocumentDelta) -> bool {
    *delta == DocumentDelta::default()
}

/// Applies a delta; the resulting document is in canonical order, but not validated.
pub fn apply_delta(document: &ConfigDocument, delta: &DocumentDelta) -> ConfigDocument {
    let mut result = ConfigDocument {
        budget: delta.budget.clone().or_else(|| document.budget.clone()),
        organisations: apply_list(
            &document.organisations,
            &delta.organisations,
            &delta.removed_organisations,
        ),
        regions: if delta.regions.is_empty() {
            document.regions.clone()
        } else {
            delta.regions.clone()
        },
        services: apply_list(&document.services, &delta.services, &delta.removed_services),
        usage_window_s: delta.usage_window_s.unwrap_or(document.usage_window_s),
    };
    make_canonical(&mut result);
    result
}

/// Represents the removal of the budget in a delta.
const NO_BUDGET: BudgetConfig = BudgetConfig {
    max_upstreams: None,
};

/// A list element of the document that has a unique name.
pub(super) trait NamedConfig: Clone + PartialEq {
    type Name: Clone + Ord;

    fn config_name(&self) -> &Self::Name;
}

impl NamedConfig for OrganisationConfig {
    type Name = OrganisationId;

    fn config_name(&self) -> &OrganisationId {
        &self.name
    }
}

impl NamedConfig for ServiceConfig {
    type Name = ServiceId;

    fn config_name(&self) -> &ServiceId {
        &self.name
    }
}

impl NamedConfig for KeyConfig {
    type Name = String;

    fn config_name(&self) -> &String {
        &self.name
    }
}

/// An element of the old and of the new list; at least one is present.
pub(super) type ConfigPair<'a, T> = (Option<&'a T>, Option<&'a T>);

/// Pairs the elements of two lists by name.
pub(super) fn name_pairs<'a, T: NamedConfig>(
    before: &'a [T],
    after: &'a [T],
) -> BTreeMap<&'a T::Name, ConfigPair<'a, T>> {
    let mut pairs = BTreeMap::<_, ConfigPair<'a, T>>::new();
    for config in before {
        pairs.entry(config.config_name()).or_default().0 = Some(config);
    }
    for config in after {
        pairs.entry(config.config_name()).or_default().1 = Some(config);
    }
    pairs
}

/// Elements that were added or changed, and names of those that were removed.
fn list_delta<T: NamedConfig>(before: &[T], after: &[T]) -> (Vec<T>, Vec<T::Name>) {
    let mut updated = Vec::new();
    let mut removed = Vec::new();
    for (name, pair) in name_pairs(before, after) {
        match pair {
            (_, None) => removed.push(name.clone()),
            (old, Some(new)) if old != Some(new) => updated.push(new.clone()),
            _ => {}
        }
    }
    (updated, removed)
}

fn apply_list<T: NamedConfig>(list: &[T], updated: &[T], removed: &[T::Name]) -> Vec<T> {
    let mut by_name: BTreeMap<&T::Name, &T> = list
        .iter()
        .chain(updated)
        .map(|config| (config.config_name(), config))
        .collect();
    for name in removed {
        by_name.remove(name);
    }
    by_name.into_values().cloned().collect()
}
