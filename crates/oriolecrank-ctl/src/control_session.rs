//! Sends commands and queries to the control group.

use std::fmt::Write as _;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use oriolecrank_net::{ClientSettings, ClusterSecret, ControlClient, ControlError, HttpClient};
use oriolecrank_schema::control::{
    Command, CommandOutcome, MembersOutcome, MembersRequest, Query, QueryResult,
};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_state::{CheckedDocument, Revision};
use rand::TryRngCore as _;
use rand::rngs::OsRng;
use snafu::{OptionExt, ResultExt, ensure};
use tokio::time::{Instant, sleep};

use crate::arguments::CtlArguments;
use crate::ctl_error::{
    CtlError, NoRandomnessSnafu, OutcomeUnknownSnafu, RefusedSnafu, RequestRejectedSnafu,
    UsageSnafu,
};

/// Path to which queries are posted.
const QUERY_PATH: &str = "/v1/query";

/// Path to which changes of the membership are posted.
const MEMBERS_PATH: &str = "/v1/members";

/// Longest wait for one answer to a change of the membership. It exceeds the time that the leader
/// itself waits for the commit.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(6);

/// Longest wait for the answer of one control instance to a query before the next one is asked.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the control instances are asked again: after each attempt at a change of the
/// membership that gave no leader hint, and after a query has failed at all instances.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// Interval at which the progress of a revision is read.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of lagging subscribers that an error message names.
const MAX_LAGGING_NAMES: usize = 10;

/// Number of random bytes in a request id.
const REQUEST_ID_BYTES: usize = 16;

/// Access of one invocation to the control group.
#[derive(Debug)]
pub(crate) struct ControlSession {
    client: ControlClient,
    addresses: Vec<SocketAddr>,
    timeout: Duration,
    /// Name for the audit trail; may be empty, see [`ControlSession::require_operator`].
    pub(crate) operator: String,
    /// Own IP address for the audit trail; empty if it cannot be determined.
    pub(crate) origin: String,
}

/// The document in force and its revision.
#[derive(Debug)]
pub(crate) struct CurrentDocument {
    pub(crate) revision: Revision,
    pub(crate) document: CheckedDocument,
}

impl ControlSession {
    /// Checks that a control instance and a secret file are given, and reads the secret. Opens no
    /// connection yet.
    pub(crate) fn open(arguments: &CtlArguments) -> Result<Self, CtlError> {
        let message = "no control instance is given; use --control or ORIOLECRANK_CONTROL";
        let first = arguments.control.first().context(UsageSnafu { message })?;
        let message = "no secret file is given; use --secret-file or ORIOLECRANK_SECRET_FILE";
        let file = arguments
            .secret_file
            .as_deref()
            .context(UsageSnafu { message })?;
        let secret = ClusterSecret::read(file)?;
        let client = HttpClient::new(ClientSettings::default());
        Ok(Self {
            client: ControlClient::new(client, secret, &arguments.control),
            addresses: arguments.control.clone(),
            timeout: arguments.timeout,
            operator: arguments.operator.clone(),
            origin: local_address(*first),
        })
    }

    /// Returns a usage error if no operator is given; each change is audited under that name.
    pub(crate) fn require_operator(&self) -> Result<(), CtlError> {
        let message =
            "no operator is given for the audit trail; use --operator or ORIOLECRANK_OPERATOR";
        ensure!(!self.operator.is_empty(), UsageSnafu { message });
        Ok(())
    }

    /// Sends a command, again if necessary, until it is answered or the time limit has passed.
    /// `advice` tells the operator what to do if the outcome is unknown.
    pub(crate) async fn command(
        &self,
        command: &Command,
        advice: &str,
    ) -> Result<CommandOutcome, CtlError> {
        match self.client.command(command, self.timeout).await {
            Ok(CommandOutcome::Refused { reason }) => RefusedSnafu { reason }.fail(),
            Ok(outcome) => Ok(outcome),
            Err(ControlError::Unavailable {
                verdict: RunVerdict::NotRun,
            }) => Err(CtlError::Unavailable),
            Err(error) if is_rejection(&error) => Err(error).context(RequestRejectedSnafu),
            Err(_) => OutcomeUnknownSnafu { advice }.fail(),
        }
    }

    /// Sends a change of the membership until the leader answers or the time limit has passed.
    /// Sending it again is safe, because the leader recognises a change that is already in effect.
    pub(crate) async fn change_members(
        &self,
        request: &MembersRequest,
    ) -> Result<MembersOutcome, CtlError> {
        let deadline = Instant::now() + self.timeout;
        let mut verdict = RunVerdict::NotRun;
        let mut hint = None;
        let mut attempts = 0;
        while Instant::now() < deadline {
            let address = hint.take().unwrap_or_else(|| self.client.address(attempts));
            let wait = MEMBERS_TIMEOUT.min(deadline - Instant::now());
            let answer = self.client.post(address, MEMBERS_PATH, request, wait).await;
            match answer {
                Ok(MembersOutcome::NotLeader { leader }) => {
                    hint = leader.and_then(|leader| leader.parse().ok());
                }
                Ok(MembersOutcome::Unknown) => verdict = RunVerdict::MayHaveRun,
                Ok(outcome) => return Ok(outcome),
                Err(error) if is_rejection(&error) => {
                    return Err(error).context(RequestRejectedSnafu);
                }
                Err(ControlError::Send { source }) if source.verdict() == RunVerdict::NotRun => {}
                Err(_) => verdict = RunVerdict::MayHaveRun,
            }
            attempts += 1;
            if hint.is_none() {
                sleep(ROUND_DELAY).await;
            }
        }
        if verdict == RunVerdict::NotRun {
            return Err(CtlError::Unavailable);
        }
        let advice = "check with oriolecrank-ctl members whether the group has changed";
        OutcomeUnknownSnafu { advice }.fail()
    }

    /// Asks one instance after the other until one answers or the time limit has passed.
    pub(crate) async fn query(&self, query: &Query) -> Result<QueryResult, CtlError> {
        let deadline = Instant::now() + self.timeout;
        let mut attempts = 0;
        while Instant::now() < deadline {
            let address = self.client.address(attempts);
            let wait = ATTEMPT_TIMEOUT.min(deadline - Instant::now());
            let answer = self.client.post(address, QUERY_PATH, query, wait).await;
            match answer {
                Ok(QueryResult::Refused { reason }) => return RefusedSnafu { reason }.fail(),
                Ok(result) => return Ok(result),
                Err(error) if is_rejection(&error) => {
                    return Err(error).context(RequestRejectedSnafu);
                }
                // The connection failed, or the instance knows no leader at the moment; the next
                // instance is asked.
                Err(_) => {}
            }
            attempts += 1;
            if attempts % self.addresses.len() == 0 {
                sleep(ROUND_DELAY).await;
            }
        }
        Err(CtlError::Unavailable)
    }

    /// Reads the document in force.
    pub(crate) async fn current_document(&self) -> Result<CurrentDocument, CtlError> {
        match self.query(&Query::Document).await? {
            QueryResult::Document { document, revision } => Ok(CurrentDocument {
                revision: Revision(revision),
                document: CheckedDocument::from_committed(document),
            }),
            _ => Err(CtlError::UnexpectedAnswer),
        }
    }

    /// Waits until every live subscriber has the committed revision `revision` in force.
    pub(crate) async fn wait_in_force(&self, revision: u64) -> Result<(), CtlError> {
        let deadline = Instant::now() + self.timeout;
        loop {
            let query = Query::InForce { revision };
            let result = self
                .query(&query)
                .await
                .map_err(|error| CtlError::ProgressUnknown {
                    revision,
                    source: Box::new(error),
                })?;
            let QueryResult::InForce {
                lagging,
                subscribers,
                ..
            } = result
            else {
                return Err(CtlError::UnexpectedAnswer);
            };
            if lagging.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(CtlError::NotInForce {
                    revision,
                    lagging: lagging.len(),
                    subscribers,
                    names: lagging.into_iter().take(MAX_LAGGING_NAMES).collect(),
                });
            }
            sleep(PROGRESS_INTERVAL).await;
        }
    }
}

/// Whether an instance rejected a message with a 4xx status, for example because of a wrong secret;
/// the other instances would reject it too.
fn is_rejection(error: &ControlError) -> bool {
    matches!(error, ControlError::Refused { status } if status.is_client_error())
}

/// Creates a random request id.
pub(crate) fn new_request_id() -> Result<String, CtlError> {
    Ok(format!("ctl-{}", random_hex::<REQUEST_ID_BYTES>()?))
}

/// Reads random bytes from the operating system and returns them as lowercase hexadecimal digits.
pub(crate) fn random_hex<const BYTES: usize>() -> Result<String, CtlError> {
    let mut bytes = [0; BYTES];
    OsRng
        .try_fill_bytes(&mut bytes)
        .context(NoRandomnessSnafu)?;
    let mut text = String::with_capacity(2 * BYTES);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
    }
    Ok(text)
}

/// Local IP address from which `control` is reached; empty if there is no route to it.
fn local_address(control: SocketAddr) -> String {
    let unspecified = if control.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    // Connecting a UDP socket sends nothing; it only chooses the local address.
    let address = UdpSocket::bind(unspecified).and_then(|socket| {
        socket.connect(control)?;
        socket.local_addr()
    });
    address.map_or_else(|_| String::new(), |address| address.ip().to_string())
}
