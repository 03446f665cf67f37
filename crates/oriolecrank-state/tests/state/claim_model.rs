//! Property test that compares claims with a naive model, which scans a list.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{Command, CommandOutcome, StoredAnswer};
use oriolecrank_schema::data_path::ClaimTicket;
use oriolecrank_schema::document::UpstreamId;
use oriolecrank_state::cluster::{CLAIM_LIFETIME_MS, MAX_ANSWER_BYTES};
use proptest::prelude::*;

use crate::cluster_fixture::TestCluster;
use crate::random_command::{any_claim, any_membership, any_sequence, fixed_seed};

#[derive(Debug)]
struct ModelClaim {
    ticket: ClaimTicket,
    /// Organisation, service and key digest.
    key: [String; 3],
    body: String,
    request: String,
    /// Log time at which the claim is checked for removal.
    deadline_ms: u64,
    completed: bool,
    answer: Option<StoredAnswer>,
}

/// Naive implementation of the claim rules in docs/design.md.
#[derive(Debug, Default)]
struct ClaimModel {
    claims: Vec<ModelClaim>,
    /// Id of the newest claim, 0 before the first.
    newest_id: u64,
    /// Current incarnation of each member, taken from the state machine.
    incarnations: BTreeMap<UpstreamId, u64>,
}

impl ClaimModel {
    fn is_member(&self, ticket: &ClaimTicket) -> bool {
        self.incarnations.get(&ticket.upstream) == Some(&ticket.incarnation)
    }

    fn expire(&mut self, now_ms: u64) {
        let claims = std::mem::take(&mut self.claims);
        for mut claim in claims {
            if claim.deadline_ms > now_ms {
                self.claims.push(claim);
            } else if !claim.completed && self.is_member(&claim.ticket) {
                claim.deadline_ms = now_ms + CLAIM_LIFETIME_MS;
                self.claims.push(claim);
            }
        }
    }

    fn apply(&mut self, command: &Command, now_ms: u64) -> ModelOutcome {
        match command {
            Command::OpenClaim {
                body_digest,
                incarnation,
                key_digest,
                organisation,
                request_id,
                service,
                upstream,
            } => {
                let key = [
                    organisation.0.clone(),
                    service.0.clone(),
                    key_digest.clone(),
                ];
                let ticket = ClaimTicket {
                    claim_id: self.newest_id + 1,
                    incarnation: *incarnation,
                    upstream: upstream.clone(),
                };
                self.open(key, body_digest, &request_id.0, ticket, now_ms)
            }
            Command::CompleteClaim {
                answer,
                claim_id,
                incarnation,
                upstream,
            } => {
                let Some(claim) = self
                    .claims
                    .iter_mut()
                    .find(|c| c.ticket.claim_id == *claim_id)
                else {
                    return ModelOutcome::Refused;
                };
                if claim.ticket.incarnation != *incarnation || claim.ticket.upstream != *upstream {
                    return ModelOutcome::Refused;
                }
                if claim.completed {
                    return ModelOutcome::Exactly(CommandOutcome::Unchanged);
                }
                claim.completed = true;
                claim.deadline_ms = now_ms + CLAIM_LIFETIME_MS;
                // The body is Base64: 4 characters for 3 bytes.
                let fits = |answer: &StoredAnswer| answer.body.len() / 4 * 3 <= MAX_ANSWER_BYTES;
                claim.answer = answer.clone().filter(fits);
                ModelOutcome::Exactly(CommandOutcome::Accepted)
            }
            Command::ReleaseClaim {
                claim_id,
                incarnation,
                upstream,
            } => {
                if *claim_id == 0 || *claim_id > self.newest_id {
                    return ModelOutcome::Refused;
                }
                let position = self
                    .claims
                    .iter()
                    .position(|c| c.ticket.claim_id == *claim_id);
                let Some(position) = position else {
                    return ModelOutcome::Exactly(CommandOutcome::Unchanged);
                };
                let claim = &self.claims[position];
                let ticket = &claim.ticket;
                let same_agent = ticket.incarnation == *incarnation && ticket.upstream == *upstream;
                if !same_agent || claim.completed {
                    return ModelOutcome::Refused;
                }
                self.claims.remove(position);
                ModelOutcome::Exactly(CommandOutcome::Accepted)
            }
            _ => ModelOutcome::Any,
        }
    }

    fn open(
        &mut self,
        key: [String; 3],
        body: &str,
        request: &str,
        ticket: ClaimTicket,
        now_ms: u64,
    ) -> ModelOutcome {
        if let Some(claim) = self.claims.iter().find(|claim| claim.key == key) {
            return ModelOutcome::Exactly(self.outcome_of_existing(claim, body, request, &ticket));
        }
        if !self.is_member(&ticket) {
            return ModelOutcome::Refused;
        }
        self.newest_id += 1;
        self.claims.push(ModelClaim {
            ticket: ticket.clone(),
            key,
            body: body.to_owned(),
            request: request.to_owned(),
            deadline_ms: now_ms + CLAIM_LIFETIME_MS,
            completed: false,
            answer: None,
        });
        ModelOutcome::Exactly(CommandOutcome::ClaimGranted { ticket })
    }

    /// Outcome of a request to open a claim whose key already has one.
    fn outcome_of_existing(
        &self,
        claim: &ModelClaim,
        body: &str,
        request: &str,
        requested: &ClaimTicket,
    ) -> CommandOutcome {
        if claim.body != body {
            return CommandOutcome::ClaimMismatch;
        }
        if claim.completed {
            let answer = claim.answer.clone();
            return CommandOutcome::ClaimCompleted { answer };
        }
        if !self.is_member(&claim.ticket) {
            return CommandOutcome::ClaimMayHaveRun;
        }
        let ticket = claim.ticket.clone();
        let same_agent =
            ticket.upstream == requested.upstream && ticket.incarnation == requested.incarnation;
        if claim.request == request && same_agent {
            CommandOutcome::ClaimGranted { ticket }
        } else {
            CommandOutcome::ClaimRunning { ticket }
        }
    }
}

/// Outcome that the model expects.
#[derive(Debug)]
enum ModelOutcome {
    Exactly(CommandOutcome),
    /// Refused with any reason.
    Refused,
    /// Any outcome, as the command is not about claims.
    Any,
}

proptest! {
    #![proptest_config(fixed_seed(400, 31))]

    /// Guards against a claim table whose lookups, deadlines or counts contradict each other, which
    /// could run a call twice or refuse a call that may run.
    #[test]
    fn claims_match_the_model(
        sequence in any_sequence(prop_oneof![1 => any_membership(), 3 => any_claim()], 150),
    ) {
        let mut cluster = TestCluster::ready();
        let mut model = ClaimModel::default();
        for timed in sequence {
            let members = cluster.state.members();
            model.incarnations = members
                .map(|record| (record.upstream.clone(), record.incarnation))
                .collect();
            model.expire(cluster.time_ms + timed.after_ms);
            let expected = model.apply(&timed.command, cluster.time_ms + timed.after_ms);
            let outcome = cluster.send_after(timed.after_ms, timed.command);
            match expected {
                ModelOutcome::Exactly(expected) => prop_assert_eq!(outcome, expected),
                ModelOutcome::Refused => {
                    let refused = matches!(outcome, CommandOutcome::Refused { .. });
                    prop_assert!(refused, "expected a refusal, found {:?}", outcome);
                }
                ModelOutcome::Any => {}
            }
            let summary = cluster.state.summary();
            prop_assert_eq!(summary.claims, model.claims.len() as u64);
            let answers = model.claims.iter().filter_map(|claim| claim.answer.as_ref());
            let bytes: usize = answers.map(|answer| answer.body.len() / 4 * 3).sum();
            prop_assert_eq!(summary.answer_bytes, bytes as u64);
        }
    }
}
