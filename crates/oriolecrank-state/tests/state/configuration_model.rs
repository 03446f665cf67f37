//! Submissions compared with a naive model that keeps every document and every answer.

use oriolecrank_schema::control::{Command, CommandOutcome};
use oriolecrank_schema::document::ConfigDocument;
use oriolecrank_state::document::validate_document;
use proptest::prelude::*;

use crate::cluster_fixture::TestCluster;
use crate::random_command::{any_sequence, any_submission, fixed_seed};

/// A decided request.
#[derive(Debug)]
struct ModelRequest {
    request_id: String,
    base: u64,
    document: ConfigDocument,
    outcome: CommandOutcome,
}

/// All committed documents; revision `n` is at index `n - 1`.
#[derive(Debug, Default)]
struct ConfigurationModel {
    revisions: Vec<ConfigDocument>,
    requests: Vec<ModelRequest>,
}

impl ConfigurationModel {
    fn submit(&mut self, request_id: &str, base: u64, document: &ConfigDocument) -> CommandOutcome {
        let known = self
            .requests
            .iter()
            .find(|known| known.request_id == request_id);
        if let Some(known) = known {
            let same = known.base == base && known.document == *document;
            return if same {
                known.outcome.clone()
            } else {
                CommandOutcome::RequestIdReused
            };
        }
        let outcome = self.decide(base, document);
        self.requests.push(ModelRequest {
            request_id: request_id.to_owned(),
            base,
            document: document.clone(),
            outcome: outcome.clone(),
        });
        outcome
    }

    fn decide(&mut self, base: u64, document: &ConfigDocument) -> CommandOutcome {
        let current_revision = self.revisions.len() as u64;
        if base != current_revision {
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

/// Document with its lists sorted, as the state machine keeps it.
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

    /// Guards against two winners, a revision that reverts, and a resend with another answer.
    #[test]
    fn submissions_behave_like_a_list(sequence in any_sequence(any_submission(), 60)) {
        let mut cluster = TestCluster::empty();
        let mut model = ConfigurationModel::default();
        for timed in sequence {
            let Command::Submit { base_revision, document, request_id, .. } = &timed.command else {
                panic!("only submissions are generated");
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
