//! `drain` and `undrain`.

use oriolecrank_schema::control::{Command, CommandOutcome};
use oriolecrank_schema::document::UpstreamId;
use serde_json::json;

use crate::arguments::{CtlArguments, DrainOptions};
use crate::control_session::{ControlSession, new_request_id};
use crate::ctl_error::{CtlError, RefusedSnafu};
use crate::ctl_report::CtlReport;

/// Commits a drain or undrain order; the control leader then sends it to the agent.
pub(crate) async fn place_order(
    arguments: &CtlArguments,
    options: &DrainOptions,
) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    session.require_operator()?;
    let request_id = match &options.request_id {
        Some(request_id) => request_id.clone(),
        None => new_request_id()?,
    };
    let advice = format!("send it again with --request-id {request_id}");
    let command = Command::PlaceOperatorOrder {
        action: options.action.clone(),
        operator: session.operator.clone(),
        origin: session.origin.clone(),
        reason: options.reason.clone(),
        request_id: request_id.clone(),
        upstream: UpstreamId(options.upstream.clone()),
    };
    let order = match session.command(&command, &advice).await? {
        CommandOutcome::OrderPlaced { order } => order,
        CommandOutcome::OrderPending { fence } => {
            let reason = format!(
                "an earlier order {}.{} for the upstream is still in progress",
                fence.term, fence.sequence
            );
            return RefusedSnafu { reason }.fail();
        }
        CommandOutcome::RequestIdReused => {
            return Err(CtlError::RequestIdReused { request_id });
        }
        _ => return Err(CtlError::UnexpectedAnswer),
    };
    Ok(CtlReport::new(
        format!(
            "committed as order {}.{}",
            order.fence.term, order.fence.sequence
        ),
        json!({ "result": "placed", "order": order }),
    ))
}
