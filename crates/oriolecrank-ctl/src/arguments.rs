//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::{Long, Short, Value, ValueExt as _};
use oriolecrank_schema::control::OrderAction;
use oriolecrank_state::document::DocumentFormat;

use crate::ctl_error::{CtlError, UsageSnafu};

/// Text of `--help`.
pub const HELP_TEXT: &str = "\
Usage: oriolecrank-ctl [OPTIONS] COMMAND

Commands:
  validate FILE                    check a document (.toml or .json) and list every error
  submit FILE                      put a document into force and show what changes
      --dry-run                    only show what would change
      --base REVISION              revision the document is based on (default: the current one)
      --request-id ID              send a request again whose answer was lost; needs --base
      --wait                       wait until the revision is in force everywhere
  show                             print the document in force
      --format toml|json           text format (default: toml)
  keys issue ORGANISATION NAME     create a key; it is printed once
  keys withdraw ORGANISATION NAME  withdraw a key
      --wait                       wait until the change is in force everywhere
  drain UPSTREAM                   let an upstream finish its work and take no more
  undrain UPSTREAM                 let an upstream take work again
      --reason TEXT                reason for the audit trail
      --request-id ID              send a request again whose answer was lost
  members                          list the instances of the control group and those that wait to
                                   be added
  members add NAME ADDRESS         add an instance that waits as a learner
  members promote ID               make a learner that has caught up a voter
  members remove ID                remove an instance; its identity never returns
      --force                      remove it although the rest could not lose one more instance
  upstreams                        list the upstreams and their orders
  status                           print sizes and positions of the replicated state
  audit                            print the audit trail
      --from INDEX                 first log index (default: 0)
      --limit N                    largest number of records (default: 100)
  explain REQUEST FILE...          print what log files say of one request, with the cause of its end

Options:
  --control ADDRESS    control instance, IP and port; may be repeated
                       (default: ORIOLECRANK_CONTROL, separated by commas)
  --secret-file PATH   file with the cluster secret (default: ORIOLECRANK_SECRET_FILE)
  --operator NAME      name for the audit trail (default: ORIOLECRANK_OPERATOR, then USER)
  --timeout-ms N       longest wait for the control group (default: 10000)
  --json               print one JSON object
  -h, --help           print this text

Exit codes:
  0  the command took effect
  1  the control group refused the command; nothing changed
  2  the arguments or a file cannot be used; nothing was sent
  3  the document has errors; nothing changed
  4  the base revision, the membership version or the request id conflicts with another request;
     nothing changed
  5  no control instance answered; nothing changed
  6  the answer was lost; the command may have taken effect
  7  the document is committed, but not in force everywhere within the time limit";

/// Default time limit.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Default number of audit records.
const DEFAULT_AUDIT_LIMIT: usize = 100;

/// Values of environment variables that stand in for absent options.
#[derive(Debug, Clone, Default)]
pub struct CtlEnvironment {
    /// `ORIOLECRANK_CONTROL`: addresses separated by commas.
    pub control: Option<String>,
    /// `ORIOLECRANK_SECRET_FILE`.
    pub secret_file: Option<String>,
    /// `ORIOLECRANK_OPERATOR`, then `USER`.
    pub operator: Option<String>,
}

impl CtlEnvironment {
    /// Reads the variables of the process.
    pub fn from_env() -> Self {
        let variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        Self {
            control: variable("ORIOLECRANK_CONTROL"),
            secret_file: variable("ORIOLECRANK_SECRET_FILE"),
            operator: variable("ORIOLECRANK_OPERATOR").or_else(|| variable("USER")),
        }
    }
}

/// Parsed arguments.
#[derive(Debug, Clone)]
pub struct CtlArguments {
    /// Addresses of control instances.
    pub control: Vec<SocketAddr>,
    /// File with the cluster secret.
    pub secret_file: Option<PathBuf>,
    /// Name for the audit trail.
    pub operator: String,
    /// Longest wait for the control group.
    pub timeout: Duration,
    /// Prints JSON.
    pub json: bool,
    /// What to do.
    pub command: CtlCommand,
}

/// What to do.
#[derive(Debug, Clone)]
pub enum CtlCommand {
    /// Prints the help text.
    Help,
    /// Checks a document file.
    Validate {
        /// Document file.
        file: PathBuf,
    },
    /// Submits a document file.
    Submit(SubmitOptions),
    /// Prints the document in force.
    Show {
        /// Text format.
        format: DocumentFormat,
    },
    /// Creates a key.
    IssueKey(KeyOptions),
    /// Withdraws a key.
    WithdrawKey(KeyOptions),
    /// Drains an upstream or ends its drain.
    Drain(DrainOptions),
    /// Lists control instances.
    Members,
    /// Changes the control group.
    ChangeMembers(MemberAction),
    /// Lists upstreams.
    Upstreams,
    /// Prints the summary of the state.
    Status,
    /// Prints the audit trail.
    Audit {
        /// First log index.
        first_index: u64,
        /// Largest number of records.
        limit: usize,
    },
    /// Prints what log files say of one request.
    Explain {
        /// Id of the request.
        request: String,
        /// Log files.
        files: Vec<PathBuf>,
    },
}

/// A change of the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Adds an instance that waits as a learner.
    Add {
        /// Name in its settings, or its identity.
        name: String,
        /// Address that it has announced.
        address: SocketAddr,
    },
    /// Makes a learner a voter.
    Promote {
        /// Identity.
        id: String,
    },
    /// Removes an instance.
    Remove {
        /// Identity.
        id: String,
        /// Skips the check that the rest could lose one more instance.
        forced: bool,
    },
}

/// Options of `submit`.
#[derive(Debug, Clone)]
pub struct SubmitOptions {
    /// Document file.
    pub file: PathBuf,
    /// Stated base revision.
    pub base: Option<u64>,
    /// Id of a request that is sent again.
    pub request_id: Option<String>,
    /// Only shows the changes.
    pub dry_run: bool,
    /// Waits until the revision is in force.
    pub wait: bool,
}

/// Options of `keys`.
#[derive(Debug, Clone)]
pub struct KeyOptions {
    /// Organisation of the key.
    pub organisation: String,
    /// Name of the key.
    pub name: String,
    /// Waits until the change is in force.
    pub wait: bool,
}

/// Options of `drain` and `undrain`.
#[derive(Debug, Clone)]
pub struct DrainOptions {
    /// Name of the upstream.
    pub upstream: String,
    /// `Drain` or `Undrain`.
    pub action: OrderAction,
    /// Reason for the audit trail.
    pub reason: String,
    /// Id of a request that is sent again.
    pub request_id: Option<String>,
}

/// Options and words in the order in which they were given.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag of the command line is independent of the others"
)]
struct RawArguments {
    words: Vec<String>,
    control: Vec<String>,
    secret_file: Option<PathBuf>,
    operator: Option<String>,
    timeout_ms: Option<u64>,
    json: bool,
    help: bool,
    dry_run: bool,
    force: bool,
    wait: bool,
    base: Option<u64>,
    request_id: Option<String>,
    reason: Option<String>,
    format: Option<String>,
    first_index: Option<u64>,
    limit: Option<usize>,
}

impl CtlArguments {
    /// Parses the arguments of one invocation.
    pub fn parse(parser: lexopt::Parser, environment: &CtlEnvironment) -> Result<Self, CtlError> {
        let raw = RawArguments::parse(parser)?;
        let command = raw.command()?;
        let mut control = raw.control;
        if control.is_empty() {
            let listed = environment.control.iter().flat_map(|text| text.split(','));
            control.extend(listed.map(|text| text.trim().to_owned()));
        }
        let control = control.iter().map(|text| parse_address(text));
        Ok(Self {
            control: control.collect::<Result<_, _>>()?,
            secret_file: raw
                .secret_file
                .or_else(|| environment.secret_file.clone().map(PathBuf::from)),
            operator: raw
                .operator
                .or_else(|| environment.operator.clone())
                .unwrap_or_default(),
            timeout: raw
                .timeout_ms
                .map_or(DEFAULT_TIMEOUT, Duration::from_millis),
            json: raw.json,
            command,
        })
    }
}

impl RawArguments {
    fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut raw = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("control") => raw.control.push(parser.value()?.string()?),
                Long("secret-file") => raw.secret_file = Some(parser.value()?.into()),
                Long("operator") => raw.operator = Some(parser.value()?.string()?),
                Long("timeout-ms") => raw.timeout_ms = Some(parser.value()?.parse()?),
                Long("json") => raw.json = true,
                Long("help") | Short('h') => raw.help = true,
                Long("force") => raw.force = true,
                Long("dry-run") => raw.dry_run = true,
                Long("wait") => raw.wait = true,
                Long("base") => raw.base = Some(parser.value()?.parse()?),
                Long("request-id") => raw.request_id = Some(parser.value()?.string()?),
                Long("reason") => raw.reason = Some(parser.value()?.string()?),
                Long("format") => raw.format = Some(parser.value()?.string()?),
                Long("from") => raw.first_index = Some(parser.value()?.parse()?),
                Long("limit") => raw.limit = Some(parser.value()?.parse()?),
                Value(value) => raw.words.push(value.string()?),
                other => return Err(other.unexpected()),
            }
        }
        Ok(raw)
    }

    fn command(&self) -> Result<CtlCommand, CtlError> {
        if self.help {
            return Ok(CtlCommand::Help);
        }
        let words: Vec<&str> = self.words.iter().map(String::as_str).collect();
        let command = match words.as_slice() {
            ["validate", file] => CtlCommand::Validate { file: file.into() },
            ["submit", file] => CtlCommand::Submit(self.submit_options(file)?),
            ["show"] => CtlCommand::Show {
                format: self.document_format()?,
            },
            ["keys", "issue", organisation, name] => {
                CtlCommand::IssueKey(self.key_options(organisation, name))
            }
            ["keys", "withdraw", organisation, name] => {
                CtlCommand::WithdrawKey(self.key_options(organisation, name))
            }
            ["drain", upstream] => self.drain(upstream, OrderAction::Drain),
            ["undrain", upstream] => self.drain(upstream, OrderAction::Undrain),
            ["members"] => CtlCommand::Members,
            ["members", "add", name, address] => CtlCommand::ChangeMembers(MemberAction::Add {
                name: (*name).to_owned(),
                address: parse_address(address)?,
            }),
            ["members", "promote", id] => CtlCommand::ChangeMembers(MemberAction::Promote {
                id: (*id).to_owned(),
            }),
            ["members", "remove", id] => CtlCommand::ChangeMembers(MemberAction::Remove {
                id: (*id).to_owned(),
                forced: self.force,
            }),
            ["explain", request, files @ ..] if !files.is_empty() => CtlCommand::Explain {
                request: (*request).to_owned(),
                files: files.iter().map(PathBuf::from).collect(),
            },
            ["upstreams"] => CtlCommand::Upstreams,
            ["status"] => CtlCommand::Status,
            ["audit"] => CtlCommand::Audit {
                first_index: self.first_index.unwrap_or_default(),
                limit: self.limit.unwrap_or(DEFAULT_AUDIT_LIMIT),
            },
            [] => return usage("a command is missing"),
            _ => return usage(&format!("{:?} is not a command", words.join(" "))),
        };
        self.check_options(&words)?;
        Ok(command)
    }

    /// Refuses options that the command ignores, which would hide a mistake.
    fn check_options(&self, words: &[&str]) -> Result<(), CtlError> {
        let command = words[0];
        let removes = words.starts_with(&["members", "remove"]);
        let submits = command == "submit";
        let drains = matches!(command, "drain" | "undrain");
        let options = [
            ("--dry-run", self.dry_run, submits),
            ("--force", self.force, removes),
            ("--wait", self.wait, submits || command == "keys"),
            ("--base", self.base.is_some(), submits),
            ("--request-id", self.request_id.is_some(), submits || drains),
            ("--reason", self.reason.is_some(), drains),
            ("--format", self.format.is_some(), command == "show"),
            ("--from", self.first_index.is_some(), command == "audit"),
            ("--limit", self.limit.is_some(), command == "audit"),
        ];
        for (option, given, applies) in options {
            if given && !applies {
                return usage(&format!("{option} does not apply to {command}"));
            }
        }
        Ok(())
    }

    fn submit_options(&self, file: &str) -> Result<SubmitOptions, CtlError> {
        // Without the base of the first attempt, the resend would be another request.
        if self.request_id.is_some() && self.base.is_none() {
            return usage("--request-id needs the --base of the first attempt");
        }
        Ok(SubmitOptions {
            file: file.into(),
            base: self.base,
            request_id: self.request_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        })
    }

    fn document_format(&self) -> Result<DocumentFormat, CtlError> {
        match self.format.as_deref() {
            None | Some("toml") => Ok(DocumentFormat::Toml),
            Some("json") => Ok(DocumentFormat::Json),
            Some(other) => usage(&format!("{other:?} is not a document format")),
        }
    }

    fn key_options(&self, organisation: &str, name: &str) -> KeyOptions {
        KeyOptions {
            organisation: organisation.to_owned(),
            name: name.to_owned(),
            wait: self.wait,
        }
    }

    fn drain(&self, upstream: &str, action: OrderAction) -> CtlCommand {
        CtlCommand::Drain(DrainOptions {
            upstream: upstream.to_owned(),
            action,
            reason: self.reason.clone().unwrap_or_default(),
            request_id: self.request_id.clone(),
        })
    }
}

fn usage<T>(message: &str) -> Result<T, CtlError> {
    UsageSnafu { message }.fail()
}

fn parse_address(text: &str) -> Result<SocketAddr, CtlError> {
    text.parse()
        .or_else(|_| usage(&format!("{text:?} is not an address of the form IP:port")))
}
