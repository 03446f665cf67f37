//! `keys issue` and `keys withdraw`.

use oriolecrank_schema::digest::key_digest;
use oriolecrank_schema::document::{ConfigDocument, KeyConfig, OrganisationConfig};
use oriolecrank_state::document::validate_document;
use serde_json::json;
use snafu::OptionExt;

use crate::arguments::{CtlArguments, KeyOptions};
use crate::control_session::{ControlSession, new_request_id};
use crate::ctl_error::{CtlError, ExitCode, RefusedSnafu};
use crate::ctl_report::CtlReport;
use crate::document_commands::DocumentSubmission;

/// Number of random bytes in a key, which are printed as hexadecimal digits.
const KEY_BYTES: usize = 32;

/// Prefix of all keys, by which leaked keys can be found with a text search.
const KEY_PREFIX: &str = "ock_";

/// Largest number of attempts to commit a change of keys. An attempt fails if another document is
/// committed between its read and its submission.
const MAX_ATTEMPTS: u32 = 5;

/// Creates a key and prints it. Only the digest of the key is sent to the control group.
pub(crate) async fn issue(
    arguments: &CtlArguments,
    options: &KeyOptions,
) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    let key = new_key()?;
    let config = KeyConfig {
        name: options.name.clone(),
        digest: key_digest(&key),
    };
    let revision = change_document(&session, |document| {
        let organisation = find_organisation(document, &options.organisation)?;
        let exists = organisation
            .keys
            .iter()
            .any(|other| other.name == options.name);
        if exists {
            let reason = format!(
                "{} already has a key {}",
                options.organisation, options.name
            );
            return RefusedSnafu { reason }.fail();
        }
        organisation.keys.push(config.clone());
        Ok(())
    })
    .await?;
    // The key is printed even if the wait fails: its digest is committed by now, and the key itself
    // is stored nowhere else.
    let in_force = wait_if_requested(&session, options, revision).await;
    let note = in_force.as_ref().err().map(ToString::to_string);
    let mut text = format!("{key}\naccepted as revision {revision}; the key is not shown again");
    if let Some(note) = &note {
        text = format!("{text}\n{note}");
    }
    let json = json!({
        "result": "issued",
        "organisation": options.organisation,
        "name": options.name,
        "key": key,
        "revision": revision,
        "note": note,
    });
    Ok(CtlReport {
        code: in_force.map_or_else(|error| error.code(), |()| ExitCode::Success),
        ..CtlReport::new(text, json)
    })
}

/// Removes a key from the document.
pub(crate) async fn withdraw(
    arguments: &CtlArguments,
    options: &KeyOptions,
) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    let revision = change_document(&session, |document| {
        let organisation = find_organisation(document, &options.organisation)?;
        let count = organisation.keys.len();
        organisation.keys.retain(|other| other.name != options.name);
        if organisation.keys.len() == count {
            let reason = format!("{} has no key {}", options.organisation, options.name);
            return RefusedSnafu { reason }.fail();
        }
        Ok(())
    })
    .await?;
    wait_if_requested(&session, options, revision).await?;
    Ok(CtlReport::new(
        format!("withdrawn in revision {revision}"),
        json!({
            "result": "withdrawn",
            "organisation": options.organisation,
            "name": options.name,
            "revision": revision,
        }),
    ))
}

async fn wait_if_requested(
    session: &ControlSession,
    options: &KeyOptions,
    revision: u64,
) -> Result<(), CtlError> {
    if !options.wait {
        return Ok(());
    }
    session.wait_in_force(revision).await
}

/// Applies `change` to the document in force and submits the result. If another document is
/// committed in between, starts again with that one.
async fn change_document(
    session: &ControlSession,
    change: impl Fn(&mut ConfigDocument) -> Result<(), CtlError>,
) -> Result<u64, CtlError> {
    let mut attempt = 1;
    loop {
        let current = session.current_document().await?;
        let mut document = ConfigDocument::from(current.document);
        change(&mut document)?;
        validate_document(&document).map_err(|errors| CtlError::Invalid { errors })?;
        let submission = DocumentSubmission {
            base: current.revision.0,
            request_id: new_request_id()?,
            document,
        };
        match submission.send(session).await {
            Err(CtlError::Conflict { .. }) if attempt < MAX_ATTEMPTS => attempt += 1,
            Err(CtlError::OutcomeUnknown { .. }) => {
                let advice =
                    "look for the key with `audit` and `show`, and withdraw it if it is there"
                        .to_owned();
                return Err(CtlError::OutcomeUnknown { advice });
            }
            other => return other,
        }
    }
}

fn find_organisation<'a>(
    document: &'a mut ConfigDocument,
    name: &str,
) -> Result<&'a mut OrganisationConfig, CtlError> {
    let mut organisations = document.organisations.iter_mut();
    organisations
        .find(|organisation| organisation.name.0 == name)
        .with_context(|| RefusedSnafu {
            reason: format!("{name} is not an organisation of the document in force"),
        })
}

fn new_key() -> Result<String, CtlError> {
    let random = crate::control_session::random_hex::<KEY_BYTES>()?;
    Ok(format!("{KEY_PREFIX}{random}"))
}
