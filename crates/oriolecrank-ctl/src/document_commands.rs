//! `validate`, `submit` and `show`.

use std::path::Path;

use oriolecrank_schema::control::{Command, CommandOutcome};
use oriolecrank_schema::document::ConfigDocument;
use oriolecrank_state::CheckedDocument;
use oriolecrank_state::document::{
    DocumentEdit, DocumentFormat, document_edits, parse_document, render_document,
    validate_document,
};
use serde_json::json;
use snafu::ResultExt;

use crate::arguments::{CtlArguments, SubmitOptions};
use crate::control_session::{ControlSession, new_request_id};
use crate::ctl_error::{CtlError, ParseSnafu, ReadFileSnafu};
use crate::ctl_report::CtlReport;

/// Checks a document file without contacting the control group.
pub(crate) fn validate(file: &Path) -> Result<CtlReport, CtlError> {
    let document = read_document(file)?;
    let organisations = document.organisations.len();
    let services = document.services.len();
    Ok(CtlReport::new(
        format!("valid: {organisations} organisations, {services} services"),
        json!({ "result": "valid", "organisations": organisations, "services": services }),
    ))
}

/// Shows what a document changes and, unless this is a dry run, submits it.
pub(crate) async fn submit(
    arguments: &CtlArguments,
    options: &SubmitOptions,
) -> Result<CtlReport, CtlError> {
    let document = read_document(&options.file)?;
    let session = ControlSession::open(arguments)?;
    let current = session.current_document().await?;
    let checked = CheckedDocument::from_committed(document.clone());
    let edits = document_edits(&current.document, &checked);
    if options.dry_run {
        return Ok(edit_report("dry_run", current.revision.0, &edits));
    }
    // A repeated request is sent even if nothing differs: if its first attempt took effect, the
    // answer is the outcome of that attempt, whatever has been committed since.
    if edits.is_empty() && options.request_id.is_none() {
        return Ok(edit_report("unchanged", current.revision.0, &edits));
    }
    let submission = DocumentSubmission {
        base: options.base.unwrap_or(current.revision.0),
        request_id: match &options.request_id {
            Some(request_id) => request_id.clone(),
            None => new_request_id()?,
        },
        document,
    };
    let revision = submission.send(&session).await?;
    if options.wait {
        session.wait_in_force(revision).await?;
    }
    Ok(edit_report("accepted", revision, &edits))
}

/// Prints the document in force.
pub(crate) async fn show(
    arguments: &CtlArguments,
    format: DocumentFormat,
) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    let current = session.current_document().await?;
    let document = current.document.as_document();
    let text = render_document(document, format);
    Ok(CtlReport::new(
        text.trim_end().to_owned(),
        json!({ "revision": current.revision, "document": document }),
    ))
}

/// A document to be submitted, with its base revision and request id.
#[derive(Debug)]
pub(crate) struct DocumentSubmission {
    pub(crate) base: u64,
    pub(crate) request_id: String,
    pub(crate) document: ConfigDocument,
}

impl DocumentSubmission {
    /// Sends the document and returns the revision under which it was committed.
    pub(crate) async fn send(self, session: &ControlSession) -> Result<u64, CtlError> {
        session.require_operator()?;
        let advice = format!(
            "send it again with --base {} --request-id {}",
            self.base, self.request_id
        );
        let command = Command::Submit {
            base_revision: self.base,
            document: self.document,
            operator: session.operator.clone(),
            origin: session.origin.clone(),
            request_id: self.request_id.clone(),
        };
        match session.command(&command, &advice).await? {
            CommandOutcome::DocumentAccepted { revision } => Ok(revision),
            CommandOutcome::DocumentConflict { current_revision } => Err(CtlError::Conflict {
                base: self.base,
                current: current_revision,
            }),
            CommandOutcome::DocumentInvalid { errors } => Err(CtlError::Invalid { errors }),
            CommandOutcome::RequestIdReused => Err(CtlError::RequestIdReused {
                request_id: self.request_id,
            }),
            _ => Err(CtlError::UnexpectedAnswer),
        }
    }
}

/// Reads, parses and validates a document file.
fn read_document(path: &Path) -> Result<ConfigDocument, CtlError> {
    let format = DocumentFormat::from_path(path).context(ParseSnafu { path })?;
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let document = parse_document(&text, format).context(ParseSnafu { path })?;
    validate_document(&document).map_err(|errors| CtlError::Invalid { errors })?;
    Ok(document)
}

fn edit_report(result: &str, revision: u64, edits: &[DocumentEdit]) -> CtlReport {
    let mut lines: Vec<String> = edits.iter().map(ToString::to_string).collect();
    lines.push(match result {
        "accepted" => format!("accepted as revision {revision}"),
        "unchanged" => format!("nothing differs from revision {revision}"),
        _ => format!(
            "{} changes to revision {revision}; nothing was sent",
            edits.len()
        ),
    });
    CtlReport::new(
        lines.join("\n"),
        json!({ "result": result, "revision": revision, "changes": edits }),
    )
}
