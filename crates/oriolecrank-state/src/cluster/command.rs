//! Applies each command of the schema to the state tables.

use oriolecrank_schema::control::{
    Command, CommandOutcome, OrderAction, PlanStep, UpstreamRecord, UpstreamRemoval,
};
use oriolecrank_schema::data_path::ClaimTicket;
use oriolecrank_schema::document::{BudgetConfig, FailureDomainId, ServiceId, UpstreamId};

use super::claim_table::{ClaimEffect, ClaimKey, ClaimLookup, ClaimRequest};
use super::cluster_state::{EntryContext, StateTables};
use super::intent_table::BudgetUse;
use super::operator_command::{AuditedChange, OperatorIdentity, OperatorOrder, SubmittedDocument};
use super::suspect_table::{ClearEffect, CrashKey, RerunEffect, RerunGrant, SuspectKey};
use super::upstream_table::{AnnounceEffect, LEASE_MS, OrderEffect, SettleEffect};
use super::usage_table::{BatchEffect, CloseEffect, ReportEffect};

/// Maximum length of the reason given for an order of the leader, a start, a stop or a plan step,
/// in bytes. The reason of an operator's order is not checked, but truncated in its audit record.
pub const MAX_REASON_BYTES: usize = 256;

/// Maximum length of a digest or request id in a claim, and of a request id in a rerun, in bytes.
pub const MAX_DIGEST_BYTES: usize = 128;

/// Outcome of a refused command.
///
/// Outcomes are stored in snapshots, so every replica must give the same text.
pub(crate) fn refused(reason: &str) -> CommandOutcome {
    CommandOutcome::Refused {
        reason: reason.to_owned(),
    }
}

impl StateTables {
    #[expect(
        clippy::too_many_lines,
        reason = "one short arm for each command of the schema"
    )]
    /// Applies a committed command and returns its outcome.
    pub(crate) fn apply_command(
        &mut self,
        command: Command,
        context: &mut EntryContext,
    ) -> CommandOutcome {
        let now_ms = context.now_ms;
        match command {
            Command::Submit {
                base_revision,
                document,
                operator,
                origin,
                request_id,
            } => {
                let identity = OperatorIdentity {
                    operator,
                    origin,
                    request_id,
                };
                let submitted = SubmittedDocument {
                    base_revision,
                    document,
                };
                self.submit(&identity, submitted, context)
            }
            Command::PlaceOperatorOrder {
                action,
                operator,
                origin,
                reason,
                request_id,
                upstream,
            } => {
                let identity = OperatorIdentity {
                    operator,
                    origin,
                    request_id,
                };
                let order = OperatorOrder {
                    upstream,
                    action,
                    reason,
                };
                self.place_operator_order(&identity, order, context)
            }
            Command::RecordAudit {
                action,
                changes,
                operator,
                origin,
                request_id,
            } => {
                let identity = OperatorIdentity {
                    operator,
                    origin,
                    request_id,
                };
                self.record_audit(&identity, AuditedChange { action, changes }, context)
            }
            // The load is not part of the state; only the leader uses it.
            Command::Announce {
                load: _,
                number,
                record,
            } => self.announce(&record, number, context),
            Command::RemoveUpstreams {
                reason: _,
                upstreams,
            } => self.remove_upstreams(&upstreams, context),
            Command::PlaceOrder {
                action,
                reason,
                upstream,
            } => self.place_order(&upstream, &action, &reason, context),
            Command::SettleOrder {
                fence,
                result,
                upstream,
            } => self
                .upstreams
                .settle_order(&upstream, &fence, result)
                .into(),
            Command::PlaceStart {
                failure_domain,
                reason,
                service,
            } => self.place_start(&service, &failure_domain, &reason, context),
            Command::PlaceStop { reason, upstream } => self.place_stop(&upstream, &reason, context),
            Command::SettlePlatform { intent_id, result } => {
                self.intents.settle(intent_id, result, now_ms).into()
            }
            Command::PlacePlan {
                base_plan_id,
                steps,
            } => self.place_plan(base_plan_id, &steps, context),
            Command::AdvanceStep {
                plan_id,
                state,
                step,
            } => self.plans.advance(plan_id, step, state).into(),
            Command::OpenClaim {
                body_digest,
                incarnation,
                key_digest,
                organisation,
                request_id,
                service,
                upstream,
            } => {
                let request = ClaimRequest {
                    key: ClaimKey {
                        organisation,
                        service,
                        key_digest,
                    },
                    body_digest: &body_digest,
                    request_id: &request_id,
                    upstream: &upstream,
                    incarnation,
                };
                self.open_claim(request, now_ms)
            }
            Command::CompleteClaim {
                answer,
                claim_id,
                incarnation,
                upstream,
            } => {
                let ticket = ClaimTicket {
                    claim_id,
                    incarnation,
                    upstream,
                };
                self.claims
                    .complete(&ticket, answer.as_ref(), now_ms)
                    .into()
            }
            Command::ReleaseClaim {
                claim_id,
                incarnation,
                upstream,
            } => {
                let ticket = ClaimTicket {
                    claim_id,
                    incarnation,
                    upstream,
                };
                self.claims.release(&ticket).into()
            }
            Command::ReportCrash {
                crash_id,
                incarnation,
                running,
                upstream,
            } => {
                let crash = CrashKey {
                    upstream,
                    incarnation,
                    crash_id,
                };
                let is_new = self.suspects.record_crash(crash, &running, now_ms);
                self.publish_suspects(is_new, context);
                accepted_if(is_new)
            }
            Command::ClearSuspect {
                fingerprint,
                organisation,
            } => {
                let effect = self.suspects.clear(&SuspectKey {
                    organisation,
                    fingerprint,
                });
                self.publish_suspects(effect == ClearEffect::Cleared, context);
                effect.into()
            }
            Command::RerunSuspect {
                fingerprint,
                incarnation,
                organisation,
                request_id,
                upstream,
            } => {
                let key = SuspectKey {
                    organisation,
                    fingerprint,
                };
                let grant = RerunGrant {
                    upstream,
                    incarnation,
                    request_id,
                };
                self.rerun_suspect(&key, grant, context)
            }
            Command::ReleaseRerun {
                fingerprint,
                incarnation,
                organisation,
                request_id,
                upstream,
            } => {
                let key = SuspectKey {
                    organisation,
                    fingerprint,
                };
                let grant = RerunGrant {
                    upstream,
                    incarnation,
                    request_id,
                };
                accepted_if(self.suspects.release(&key, &grant))
            }
            Command::ReportUsage { records, source: _ } => {
                self.usage.record_batch(&records, now_ms).into()
            }
            Command::CloseWindow => {
                let length_ms = self.document.as_document().usage_window_s * 1_000;
                self.usage.close(length_ms, now_ms).into()
            }
            Command::WindowReported { window_id } => self.usage.mark_reported(window_id).into(),
        }
    }

    fn announce(
        &mut self,
        record: &UpstreamRecord,
        number: u64,
        context: &mut EntryContext,
    ) -> CommandOutcome {
        let effect = self.upstreams.announce(record, number);
        match effect {
            AnnounceEffect::Superseded(incarnation) => {
                return CommandOutcome::Superseded { incarnation };
            }
            AnnounceEffect::Refused(reason) => return refused(reason),
            AnnounceEffect::Outdated => return CommandOutcome::Unchanged,
            AnnounceEffect::Renewed => {}
            AnnounceEffect::Changed => context.change.updated.push(record.clone()),
            AnnounceEffect::Joined => {
                self.intents.record_join(record);
                context.change.updated.push(record.clone());
            }
        }
        let tracked = self.upstreams.get(&record.upstream);
        let tracked = tracked.expect("an announced upstream is in the table");
        CommandOutcome::Announced {
            fence: tracked.fence.clone(),
            lease_ms: LEASE_MS,
        }
    }

    fn remove_upstreams(
        &mut self,
        removals: &[UpstreamRemoval],
        context: &mut EntryContext,
    ) -> CommandOutcome {
        context.change.removed = self.upstreams.remove(removals);
        accepted_if(!context.change.removed.is_empty())
    }

    fn place_order(
        &mut self,
        upstream: &UpstreamId,
        action: &OrderAction,
        reason: &str,
        context: &EntryContext,
    ) -> CommandOutcome {
        if reason.len() > MAX_REASON_BYTES {
            return refused("the reason is too long");
        }
        self.upstreams
            .place_order(upstream, action, context.term)
            .into()
    }

    fn place_start(
        &mut self,
        service: &ServiceId,
        failure_domain: &FailureDomainId,
        reason: &str,
        context: &EntryContext,
    ) -> CommandOutcome {
        if reason.len() > MAX_REASON_BYTES {
            return refused("the reason is too long");
        }
        let Some(config) = self.document.service(service) else {
            return refused("the service is not in the document");
        };
        if self.document.region_of(failure_domain).is_none() {
            return refused("the failure domain is not in the document");
        }
        let service_use = BudgetUse {
            used: self.upstreams.member_count_of(service) + self.intents.open_starts(Some(service)),
            limit: budget_limit(config.budget.as_ref()),
        };
        if service_use.is_exhausted() {
            return refused("the budget of the service is exhausted");
        }
        let total_use = BudgetUse {
            used: self.upstreams.member_count() + self.intents.open_starts(None),
            limit: budget_limit(self.document.as_document().budget.as_ref()),
        };
        if total_use.is_exhausted() {
            return refused("the budget of all services is exhausted");
        }
        let intent_id = self
            .intents
            .place_start(service, failure_domain, reason, context.now_ms);
        intent_outcome(intent_id)
    }

    /// Commits a stop. A departed upstream can also be stopped, because its process may still run.
    fn place_stop(
        &mut self,
        upstream: &UpstreamId,
        reason: &str,
        context: &EntryContext,
    ) -> CommandOutcome {
        if reason.len() > MAX_REASON_BYTES {
            return refused("the reason is too long");
        }
        let Some(tracked) = self.upstreams.get(upstream) else {
            return refused("the upstream is not known");
        };
        let intent_id = self
            .intents
            .place_stop(&tracked.record, reason, context.now_ms);
        intent_outcome(intent_id)
    }

    fn place_plan(
        &mut self,
        base_plan_id: u64,
        steps: &[PlanStep],
        context: &EntryContext,
    ) -> CommandOutcome {
        if steps
            .iter()
            .any(|step| step.reason.len() > MAX_REASON_BYTES)
        {
            return refused("the reason of a step is too long");
        }
        match self.plans.place(base_plan_id, steps, context.now_ms) {
            Ok(plan_id) => CommandOutcome::PlanPlaced { plan_id },
            Err(reason) => refused(reason),
        }
    }

    fn open_claim(&mut self, request: ClaimRequest<'_>, now_ms: u64) -> CommandOutcome {
        let texts = [
            request.key.key_digest.as_str(),
            request.body_digest,
            request.request_id.0.as_str(),
        ];
        if texts.iter().any(|text| text.len() > MAX_DIGEST_BYTES) {
            return refused("a digest or the request id is too long");
        }
        match self.claims.lookup(&request) {
            ClaimLookup::Unknown => self.grant_claim(request, now_ms),
            ClaimLookup::Mismatch => CommandOutcome::ClaimMismatch,
            ClaimLookup::Completed(answer) => CommandOutcome::ClaimCompleted { answer },
            ClaimLookup::AlreadyGranted(ticket) if self.is_bound_incarnation_live(&ticket) => {
                CommandOutcome::ClaimGranted { ticket }
            }
            ClaimLookup::Running(ticket) if self.is_bound_incarnation_live(&ticket) => {
                CommandOutcome::ClaimRunning { ticket }
            }
            ClaimLookup::AlreadyGranted(_) | ClaimLookup::Running(_) => {
                CommandOutcome::ClaimMayHaveRun
            }
        }
    }

    fn grant_claim(&mut self, request: ClaimRequest<'_>, now_ms: u64) -> CommandOutcome {
        if self
            .document
            .organisation(&request.key.organisation)
            .is_none()
        {
            return refused("the organisation is not in the document");
        }
        if self.document.service(&request.key.service).is_none() {
            return refused("the service is not in the document");
        }
        if !self
            .upstreams
            .is_live(request.upstream, request.incarnation)
        {
            return refused("the upstream incarnation is not a member");
        }
        match self.claims.open(request, now_ms) {
            Some(ticket) => CommandOutcome::ClaimGranted { ticket },
            None => CommandOutcome::ClaimLimit,
        }
    }

    /// Whether the incarnation that a claim is bound to is still a member.
    fn is_bound_incarnation_live(&self, ticket: &ClaimTicket) -> bool {
        self.upstreams.is_live(&ticket.upstream, ticket.incarnation)
    }

    fn rerun_suspect(
        &mut self,
        key: &SuspectKey,
        grant: RerunGrant,
        context: &mut EntryContext,
    ) -> CommandOutcome {
        if grant.request_id.0.len() > MAX_DIGEST_BYTES {
            return refused("the request id is too long");
        }
        if !self.upstreams.is_live(&grant.upstream, grant.incarnation) {
            return refused("the upstream incarnation is not a member");
        }
        let effect = self.suspects.rerun(key, grant, context.now_ms);
        self.publish_suspects(effect == RerunEffect::Granted, context);
        effect.into()
    }

    /// Includes the records of all suspects in the change for subscribers if any of them changed.
    fn publish_suspects(&self, changed: bool, context: &mut EntryContext) {
        if changed {
            context.change.suspects = Some(self.suspects.records());
        }
    }
}

fn accepted_if(changed: bool) -> CommandOutcome {
    if changed {
        CommandOutcome::Accepted
    } else {
        CommandOutcome::Unchanged
    }
}

fn budget_limit(budget: Option<&BudgetConfig>) -> Option<u32> {
    budget.and_then(|budget| budget.max_upstreams)
}

fn intent_outcome(intent_id: Option<u64>) -> CommandOutcome {
    match intent_id {
        Some(intent_id) => CommandOutcome::IntentPlaced { intent_id },
        None => refused("too many starts and stops are not finished"),
    }
}

impl From<OrderEffect> for CommandOutcome {
    fn from(effect: OrderEffect) -> Self {
        match effect {
            OrderEffect::Placed(order) => Self::OrderPlaced { order },
            OrderEffect::Pending(fence) => Self::OrderPending { fence },
            OrderEffect::Refused(reason) => refused(reason),
        }
    }
}

impl From<SettleEffect> for CommandOutcome {
    fn from(effect: SettleEffect) -> Self {
        match effect {
            SettleEffect::Settled => Self::Accepted,
            SettleEffect::Unchanged => Self::Unchanged,
            SettleEffect::Refused(reason) => refused(reason),
        }
    }
}

impl From<ClaimEffect> for CommandOutcome {
    fn from(effect: ClaimEffect) -> Self {
        match effect {
            ClaimEffect::Applied => Self::Accepted,
            ClaimEffect::Unchanged => Self::Unchanged,
            ClaimEffect::Refused(reason) => refused(reason),
        }
    }
}

impl From<ClearEffect> for CommandOutcome {
    fn from(effect: ClearEffect) -> Self {
        match effect {
            ClearEffect::Cleared => Self::Accepted,
            ClearEffect::NotSuspect => Self::Unchanged,
            ClearEffect::Refused(reason) => refused(reason),
        }
    }
}

impl From<RerunEffect> for CommandOutcome {
    fn from(effect: RerunEffect) -> Self {
        match effect {
            RerunEffect::Granted => Self::Accepted,
            RerunEffect::NotSuspect => Self::Unchanged,
            RerunEffect::Refused(reason) => refused(reason),
        }
    }
}

impl From<BatchEffect> for CommandOutcome {
    fn from(effect: BatchEffect) -> Self {
        match effect {
            BatchEffect::Counted => Self::Accepted,
            BatchEffect::Unchanged => Self::Unchanged,
            BatchEffect::Refused(reason) => refused(reason),
        }
    }
}

impl From<CloseEffect> for CommandOutcome {
    fn from(effect: CloseEffect) -> Self {
        match effect {
            CloseEffect::Closed(window_id) => Self::WindowClosed { window_id },
            CloseEffect::TooEarly => Self::Unchanged,
            CloseEffect::Refused(reason) => refused(reason),
        }
    }
}

impl From<ReportEffect> for CommandOutcome {
    fn from(effect: ReportEffect) -> Self {
        match effect {
            ReportEffect::Reported => Self::Accepted,
            ReportEffect::Unchanged => Self::Unchanged,
            ReportEffect::Refused(reason) => refused(reason),
        }
    }
}
