//! Operator commands: document submissions, orders and audited changes.

use oriolecrank_schema::control::{AuditRecord, CommandOutcome, OrderAction};
use oriolecrank_schema::document::{ConfigDocument, UpstreamId};
use serde::Serialize;

use super::change_feed::DocumentChange;
use super::cluster_state::{EntryContext, StateTables};
use super::command::refused;
use super::request_history::{MAX_REQUEST_ID_BYTES, RequestDigest, RequestLookup};
use super::upstream_table::OrderEffect;
use crate::document::{CheckedDocument, Revision, changed_paths, document_delta};

/// Sender of a command and its request id.
#[derive(Debug)]
pub(crate) struct OperatorIdentity {
    /// Name of the operator; must not be empty.
    pub(crate) operator: String,
    /// Address from which the command was sent; may be empty.
    pub(crate) origin: String,
    /// Makes a repeated command idempotent; must not be empty.
    pub(crate) request_id: String,
}

impl OperatorIdentity {
    fn is_valid(&self) -> bool {
        let texts = [&self.operator, &self.origin, &self.request_id];
        let is_short = |text: &&String| text.len() <= MAX_REQUEST_ID_BYTES;
        !self.request_id.is_empty() && !self.operator.is_empty() && texts.iter().all(is_short)
    }
}

/// A submitted document; the request digest covers every field.
#[derive(Debug, Serialize)]
pub(crate) struct SubmittedDocument {
    pub(crate) base_revision: u64,
    pub(crate) document: ConfigDocument,
}

/// An order that an operator requested; the request digest covers every field.
#[derive(Debug, Serialize)]
pub(crate) struct OperatorOrder {
    pub(crate) upstream: UpstreamId,
    pub(crate) action: OrderAction,
    pub(crate) reason: String,
}

/// Description of a change for its audit record. For a change made outside the document, such as a
/// forced change of the control group, the request digest covers every field.
#[derive(Debug, Serialize)]
pub(crate) struct AuditedChange {
    pub(crate) action: String,
    pub(crate) changes: Vec<String>,
}

impl StateTables {
    /// Commits a document if it is valid and based on the current revision.
    pub(crate) fn submit(
        &mut self,
        identity: &OperatorIdentity,
        submitted: SubmittedDocument,
        context: &mut EntryContext,
    ) -> CommandOutcome {
        let digest = RequestDigest::from_request(&submitted);
        self.run_once(identity, digest, |tables| {
            tables.accept_document(identity, submitted, context)
        })
    }

    fn accept_document(
        &mut self,
        identity: &OperatorIdentity,
        submitted: SubmittedDocument,
        context: &mut EntryContext,
    ) -> CommandOutcome {
        if submitted.base_revision != self.revision.0 {
            return CommandOutcome::DocumentConflict {
                current_revision: self.revision.0,
            };
        }
        let document = match CheckedDocument::try_from(submitted.document) {
            Ok(document) => document,
            Err(errors) => return CommandOutcome::DocumentInvalid { errors },
        };
        let base = self.revision;
        context.change.document = Some(DocumentChange {
            base,
            revision: base.next(),
            delta: document_delta(&self.document, &document),
        });
        let changes = changed_paths(&self.document, &document);
        self.document = document;
        self.revision = base.next();
        let change = AuditedChange {
            action: "submit".to_owned(),
            changes,
        };
        self.add_audit_record(identity, change, base, context);
        CommandOutcome::DocumentAccepted {
            revision: self.revision.0,
        }
    }

    /// Commits an order and adds an audit record for it.
    pub(crate) fn place_operator_order(
        &mut self,
        identity: &OperatorIdentity,
        order: OperatorOrder,
        context: &EntryContext,
    ) -> CommandOutcome {
        let digest = RequestDigest::from_request(&order);
        self.run_once(identity, digest, |tables| {
            let effect = tables
                .upstreams
                .place_order(&order.upstream, &order.action, context.term);
            if let OrderEffect::Placed(_) = effect {
                let change = AuditedChange {
                    action: format!("order {} {}", action_name(&order.action), order.upstream.0),
                    changes: vec![order.reason],
                };
                tables.add_audit_record(identity, change, tables.revision, context);
            }
            effect.into()
        })
    }

    /// Adds an audit record for a change that was made outside the document.
    pub(crate) fn record_audit(
        &mut self,
        identity: &OperatorIdentity,
        change: AuditedChange,
        context: &EntryContext,
    ) -> CommandOutcome {
        let digest = RequestDigest::from_request(&change);
        self.run_once(identity, digest, |tables| {
            tables.add_audit_record(identity, change, tables.revision, context);
            CommandOutcome::Accepted
        })
    }

    /// Runs an operator command at most once per request id.
    ///
    /// A repeated request gets the outcome of the first one, even if that was a refusal. A
    /// different request with the same id is refused.
    fn run_once(
        &mut self,
        identity: &OperatorIdentity,
        digest: RequestDigest,
        run: impl FnOnce(&mut Self) -> CommandOutcome,
    ) -> CommandOutcome {
        if !identity.is_valid() {
            return refused("operator, origin or request id is empty or too long");
        }
        match self.history.lookup(&identity.request_id, &digest) {
            RequestLookup::Answered(outcome) => return outcome,
            RequestLookup::Reused => return CommandOutcome::RequestIdReused,
            RequestLookup::Unknown => {}
        }
        let outcome = run(self);
        self.history.record(&identity.request_id, digest, &outcome);
        outcome
    }

    fn add_audit_record(
        &mut self,
        identity: &OperatorIdentity,
        change: AuditedChange,
        before: Revision,
        context: &EntryContext,
    ) {
        self.audit.add(AuditRecord {
            action: change.action,
            after_revision: self.revision.0,
            before_revision: before.0,
            changes: change.changes,
            index: context.index.0,
            operator: identity.operator.clone(),
            origin: identity.origin.clone(),
            request_id: identity.request_id.clone(),
            time_ms: context.now_ms,
        });
    }
}

fn action_name(action: &OrderAction) -> &'static str {
    match action {
        OrderAction::LoadModel { .. } => "load_model",
        OrderAction::LoadAdapter { .. } => "load_adapter",
        OrderAction::ChangeRole { .. } => "change_role",
        OrderAction::Drain => "drain",
        OrderAction::Undrain => "undrain",
        OrderAction::ExportCache { .. } => "export_cache",
    }
}
