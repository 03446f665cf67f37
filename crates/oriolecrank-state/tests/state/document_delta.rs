//! Differences between documents; deltas are compared with a naive implementation.

use crate::fixtures::{document, engine_service, key, organisation, plain_service};
use oriolecrank_schema::control::DocumentDelta;
use oriolecrank_schema::document::{BudgetConfig, ConfigDocument, ServiceConfig};
use oriolecrank_state::CheckedDocument;
use oriolecrank_state::document::{changed_paths, document_delta, document_edits, is_empty_delta};
use proptest::prelude::*;

/// Documents that use only a few names, so that two of them have some parts in common.
fn any_document() -> impl Strategy<Value = CheckedDocument> {
    let organisations = proptest::collection::btree_map(0..5_u64, (1..4_u32, 0..3_u64), 0..5);
    let services = proptest::collection::btree_map(0..4_u32, (any::<bool>(), 1..3_u64), 0..4);
    let budget = proptest::option::of(proptest::option::of(1..4_u32));
    (organisations, services, budget, 1..3_u64, 1..3_usize).prop_map(build_document)
}

/// Organisations (weight and key version) and services (engine or plain, and deadline) by number,
/// total budget, usage window and number of failure domains.
type DocumentParts = (
    std::collections::BTreeMap<u64, (u32, u64)>,
    std::collections::BTreeMap<u32, (bool, u64)>,
    Option<Option<u32>>,
    u64,
    usize,
);

fn build_document(parts: DocumentParts) -> CheckedDocument {
    let (organisations, services, budget, usage_window_s, domains) = parts;
    let mut result = ConfigDocument {
        budget: budget.map(|max_upstreams| BudgetConfig { max_upstreams }),
        organisations: Vec::new(),
        services: Vec::new(),
        usage_window_s,
        ..document()
    };
    result.regions[0].failure_domains = (0..domains)
        .map(|number| format!("domain-{number}").into())
        .collect();
    // Descending order, so that the canonical order differs from the submitted one.
    for (number, (weight, version)) in organisations.into_iter().rev() {
        let mut config = organisation(&format!("org-{number}"), number * 10 + version);
        config.weight = weight;
        result.organisations.push(config);
    }
    for (number, (is_engine, deadline_ms)) in services.into_iter().rev() {
        let name = format!("service-{number}");
        let base = if is_engine {
            engine_service(&name)
        } else {
            plain_service(&name)
        };
        result.services.push(ServiceConfig {
            deadline_ms,
            ..base
        });
    }
    CheckedDocument::try_from(result).expect("the parts form a valid document")
}

/// Applies a delta by copying the document and replacing the parts that the delta names.
fn naive_apply(before: &ConfigDocument, delta: &DocumentDelta) -> ConfigDocument {
    let mut result = before.clone();
    for removed in &delta.removed_organisations {
        result
            .organisations
            .retain(|config| config.name != *removed);
    }
    for updated in &delta.organisations {
        result
            .organisations
            .retain(|config| config.name != updated.name);
        result.organisations.push(updated.clone());
    }
    for removed in &delta.removed_services {
        result.services.retain(|config| config.name != *removed);
    }
    for updated in &delta.services {
        result.services.retain(|config| config.name != updated.name);
        result.services.push(updated.clone());
    }
    if !delta.regions.is_empty() {
        result.regions.clone_from(&delta.regions);
    }
    if let Some(usage_window_s) = delta.usage_window_s {
        result.usage_window_s = usage_window_s;
    }
    match &delta.budget {
        Some(budget) if budget.max_upstreams.is_none() => result.budget = None,
        Some(budget) => result.budget = Some(budget.clone()),
        None => {}
    }
    result
        .organisations
        .sort_by_key(|config| config.name.clone());
    result.services.sort_by_key(|config| config.name.clone());
    result
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against subscribers whose document differs from the committed one after a delta.
    #[test]
    fn delta_produces_the_new_document(before in any_document(), after in any_document()) {
        let delta = document_delta(&before, &after);
        let applied = before.apply(&delta).unwrap();
        prop_assert_eq!(&applied, &after);
        let naive_result = naive_apply(before.as_document(), &delta);
        prop_assert_eq!(applied.as_document(), &naive_result);
        prop_assert_eq!(is_empty_delta(&delta), before == after);
        prop_assert_eq!(changed_paths(&before, &after).is_empty(), before == after);
    }
}

/// Guards against an audit trail that does not say what changed, or that contains key digests.
#[test]
fn changed_paths_name_keys_and_fields() {
    let before = CheckedDocument::try_from(document()).unwrap();
    let mut changed = document();
    changed.organisations[0].keys = vec![key("main", 7), key("night", 8)];
    changed.organisations[1] = organisation("mill", 2);
    changed.services[1].deadline_ms = 5;
    changed.usage_window_s = 30;
    let after = CheckedDocument::try_from(changed).unwrap();
    let expected = [
        "organisations.grove.keys.main",
        "organisations.grove.keys.night",
        "organisations.mill",
        "organisations.press",
        "services.desk.deadline_ms",
        "usage_window_s",
    ];
    assert_eq!(changed_paths(&before, &after), expected);
    let edits = document_edits(&before, &after);
    let text: Vec<String> = edits.iter().map(ToString::to_string).collect();
    let expected = [
        "~ organisations.grove.keys.main",
        "+ organisations.grove.keys.night",
        "+ organisations.mill",
        "- organisations.press",
        "~ services.desk.deadline_ms: 30000 -> 5",
        "~ usage_window_s: 60 -> 30",
    ];
    assert_eq!(text, expected);
}

/// Guards against a delta that is applied to a document it was not made for and leaves a subscriber
/// with an invalid one.
#[test]
fn delta_for_another_document_is_refused() {
    let mut changed = document();
    changed.organisations[0].services = vec!["desk".to_owned().into()];
    let before = CheckedDocument::try_from(document()).unwrap();
    let after = CheckedDocument::try_from(changed).unwrap();
    let delta = document_delta(&before, &after);
    let mut unrelated = document();
    unrelated.services.pop();
    let unrelated = CheckedDocument::try_from(unrelated).unwrap();
    let message = unrelated.apply(&delta).unwrap_err().to_string();
    assert!(
        message.contains("organisations[0].services[0]"),
        "the error does not name the path: {message}"
    );
}

/// Guards against new revisions that differ only in the order in which organisations, keys and
/// services are listed.
#[test]
fn order_of_named_entries_is_ignored() {
    let mut one = document();
    one.organisations[0].keys = vec![key("main", 7), key("night", 8)];
    let mut other = one.clone();
    other.organisations[0].keys.reverse();
    other.organisations.reverse();
    other.services.reverse();
    let checked = |document| CheckedDocument::try_from(document).unwrap();
    assert_eq!(checked(one), checked(other));
}
