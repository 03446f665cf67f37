//! Property test that compares document submissions with a naive model, which stores every document
//! and outcome.

use oriolecrank_schema::control::{Command, CommandOutcome};
use oriolecrank_schema::document::ConfigDocument;
use oriolecrank_state::document::validate_document;
use proptest::prelude::*;

use crate::cluster_fixture::TestCluster;
use crate::random_command::{any_sequence, any_submission, fixed_seed};

/// A submission and its outcome.
#[derive(Debug)]
struct ModelRequest {
    request_id: String,
    base_revision: u64,
    document: ConfigDocument,
    outcome: CommandOutcome,
}

/// Naive implementation of document submissions.
#[derive(Debug, Default)]
struct ConfigurationModel {
    /// Committed documents; revision `n` is at index `n - 1`.
    revisions: Vec<ConfigDocument>,
    requests: Vec<ModelRequest>,
}

impl ConfigurationModel {
    fn submit(
        &mut self,
        request_id: &str,
        base_revision: u64,
        document: &ConfigDocument,
    ) -> CommandOutcome {
        let earlier = self
            .requests
            .iter()
            .find(|earlier| earlier.request_id == request_id);
        if let Some(earlier) = earlier {
            let same = earlier.base_revision == base_revision && earlier.document == *document;
            return if same {
                earlier.outcome.clone()
            } else {
                CommandOutcome::RequestIdReused
            };
        }
        let outcome = self.decide(base_revision, document);
        self.requests.push(ModelRequest {
            request_id: request_id.to_owned(),
            base_revision,
            document: document.clone(),
            outcome: outcome.clone(),
        });
        outcome
    }

    fn decide(&mut self, base_revision: u64, document: &ConfigDocument) -> CommandOutcome {
        let current_revision = self.revisions.len() as u64;
        if base_revision != current_revision {
            return CommandOutcome::DocumentConflict { current_revision };
        }
        if let Err(errors) = validate_document(document) {
            return CommandOutcome::DocumentInvalid { errors };
        }
        self.revisions.push(document.clone());
        CommandOutcome::DocumentAccepted {
            revision: current_revision + 1,
        }
    }
}

/// A document with its lists sorted by name, as the state machine stores it.
fn sorted(document: &ConfigDocument) -> ConfigDocument {
    let mut document = document.clone();
    document
        .organisations
        .sort_by_key(|config| config.name.clone());
    document.services.sort_by_key(|config| config.name.clone());
    document
}

proptest! {
    #![proptest_config(fixed_seed(300, 51))]

    /// Guards against two accepted submissions with the same base revision, a revision that
    /// decreases, and a resend that gets a different outcome.
    #[test]
    fn submissions_match_the_model(sequence in any_sequence(any_submission(), 60)) {
        let mut cluster = TestCluster::empty();
        let mut model = ConfigurationModel::default();
        for timed in sequence {
            let Command::Submit { base_revision, document, request_id, .. } = &timed.command else {
                panic!("expected only Command::Submit");
            };
            let expected = model.submit(request_id, *base_revision, document);
            let outcome = cluster.send_after(timed.after_ms, timed.command);
            prop_assert_eq!(outcome, expected);
            prop_assert_eq!(cluster.state.revision().0, model.revisions.len() as u64);
            if let Some(document) = model.revisions.last() {
                prop_assert_eq!(cluster.state.document().as_document(), &sorted(document));
            }
        }
    }
}
