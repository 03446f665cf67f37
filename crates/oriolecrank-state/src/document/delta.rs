//! Differences between two revisions of the document.

use std::collections::{BTreeMap, BTreeSet};

use oriolecrank_schema::control::{DocumentDelta, FieldError};
use oriolecrank_schema::document::{
    BudgetConfig, ConfigDocument, KeyConfig, OrganisationConfig, OrganisationId, ServiceConfig,
    ServiceId,
};
use snafu::Snafu;

use super::checked_document::{CheckedDocument, make_canonical};

/// A delta that does not fit the document it is applied to.
#[derive(Debug, Snafu)]
pub enum DeltaError {
    /// The result is not a valid document.
    #[snafu(display(
        "the delta does not lead to a valid document; first error at {:?}: {}",
        errors[0].path,
        errors[0].reason
    ))]
    InvalidResult {
        /// Errors of the result, at least one.
        errors: Vec<FieldError>,
    },
}

/// Smallest delta that leads from one document to another.
pub fn document_delta(before: &CheckedDocument, after: &CheckedDocument) -> DocumentDelta {
    let (before, after) = (before.as_document(), after.as_document());
    let (organisations, removed_organisations) =
        list_delta::<OrganisationConfig>(&before.organisations, &after.organisations);
    let (services, removed_services) =
        list_delta::<ServiceConfig>(&before.services, &after.services);
    DocumentDelta {
        budget: (before.budget != after.budget).then(|| after.budget.clone().unwrap_or(NO_BUDGET)),
        organisations,
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

/// Document that results from a delta, in canonical order; it is not validated.
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

/// Paths of the values that differ, by name and sorted, for the audit trail.
///
/// A path never contains a key or its digest.
pub fn changed_paths(before: &CheckedDocument, after: &CheckedDocument) -> Vec<String> {
    let (before, after) = (before.as_document(), after.as_document());
    let mut paths = BTreeSet::new();
    if before.regions != after.regions {
        paths.insert("regions".to_owned());
    }
    if before.usage_window_s != after.usage_window_s {
        paths.insert("usage_window_s".to_owned());
    }
    if before.budget != after.budget {
        paths.insert("budget".to_owned());
    }
    let organisations = name_pairs(&before.organisations, &after.organisations);
    for (name, pair) in organisations {
        add_organisation_paths(&format!("organisations.{}", name.0), pair, &mut paths);
    }
    for (name, pair) in name_pairs(&before.services, &after.services) {
        add_service_paths(&format!("services.{}", name.0), pair, &mut paths);
    }
    paths.into_iter().collect()
}

/// Stands for the removal of the budget in a delta.
const NO_BUDGET: BudgetConfig = BudgetConfig {
    max_upstreams: None,
};

/// An element of a document list that has a unique name.
trait NamedConfig: Clone + PartialEq {
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

/// An element before and after a change; at least one is present.
type ConfigPair<'a, T> = (Option<&'a T>, Option<&'a T>);

fn name_pairs<'a, T: NamedConfig>(
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

fn add_organisation_paths(
    path: &str,
    pair: ConfigPair<'_, OrganisationConfig>,
    paths: &mut BTreeSet<String>,
) {
    let (Some(before), Some(after)) = pair else {
        paths.insert(path.to_owned());
        return;
    };
    for (name, (old, new)) in name_pairs(&before.keys, &after.keys) {
        if old != new {
            paths.insert(format!("{path}.keys.{name}"));
        }
    }
    let fields = [
        ("limits", before.limits != after.limits),
        ("services", before.services != after.services),
        ("weight", before.weight != after.weight),
    ];
    add_fields(path, &fields, paths);
}

fn add_service_paths(
    path: &str,
    pair: ConfigPair<'_, ServiceConfig>,
    paths: &mut BTreeSet<String>,
) {
    let (Some(before), Some(after)) = pair else {
        paths.insert(path.to_owned());
        return;
    };
    let fields = [
        ("kind", before.kind != after.kind),
        ("models", before.models != after.models),
        ("class", before.class != after.class),
        ("deadline_ms", before.deadline_ms != after.deadline_ms),
        ("routes", before.routes != after.routes),
        ("budget", before.budget != after.budget),
    ];
    add_fields(path, &fields, paths);
}

fn add_fields(path: &str, fields: &[(&str, bool)], paths: &mut BTreeSet<String>) {
    for (field, changed) in fields {
        if *changed {
            paths.insert(format!("{path}.{field}"));
        }
    }
}
