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
  submit FILE                      show what a document changes and put it into force
      --dry-run                    only show what would change
      --base REVISION              revision the document is based on (default: the current one)
      --request-id ID              repeat the request with this id, whose answer was lost;
                                   needs --base
      --wait                       wait until the revision is in force everywhere
  show                             print the document in force
      --format toml|json           text format (default: toml)
  keys issue ORGANISATION NAME     create a key and print it; it cannot be printed again
  keys withdraw ORGANISATION NAME  withdraw a key
      --wait                       wait until the change is in force everywhere
  drain UPSTREAM                   let an upstream finish its work and take no new work
  undrain UPSTREAM                 let a drained upstream take work again
      --reason TEXT                reason for the audit trail
      --request-id ID              repeat the request with this id, whose answer was lost
  members                          list the instances of the control group and those that wait
                                   to be added to it
  members add NAME ADDRESS         add a waiting instance as a learner, which does not vote
  members promote ID               make a learner a voter once it has caught up
  members remove ID                remove an instance; its id can never be added again
      --force                      remove it even if the rest could not lose one more instance
  upstreams                        list the upstreams, each with the number of its order
  status                           print sizes and positions of the replicated state
  audit                            print the audit trail
      --from INDEX                 first log index (default: 0)
      --limit N                    largest number of records (default: 100)
  explain REQUEST FILE...          print the lines about one request in log files and why it ended

Options:
  --control ADDRESS    IP and port of a control instance; may be repeated
                       (default: ORIOLECRANK_CONTROL, a list separated by commas)
  --secret-file PATH   file with the cluster secret (default: ORIOLECRANK_SECRET_FILE)
  --operator NAME      name for the audit trail (default: ORIOLECRANK_OPERATOR, then USER)
  --timeout-ms N       longest wait for the control group, in ms (default: 10000)
  --json               print the result as one JSON object
  -h, --help           print this text

Exit codes:
  0  the command succeeded
  1  the control group refused the command; nothing changed
  2  the arguments or a file cannot be used; nothing was sent
  3  the document has errors; nothing changed
  4  the base revision, the membership version or the request id conflicts with another request;
     nothing changed
  5  no control instance answered; nothing changed
  6  the answer was lost; the command may have taken effect
  7  the document is committed, but within the time limit it was not in force everywhere, or its
     progress could not be read";

/// Value of `--timeout-ms` if the option is absent.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Value of `--limit` if the option is absent.
const DEFAULT_AUDIT_LIMIT: usize = 100;

/// Values of environment variables that are used for absent options.
#[derive(Debug, Clone, Default)]
pub struct CtlEnvironment {
    /// `ORIOLECRANK_CONTROL`: addresses of control instances (`IP:port`), separated by commas.
    pub control: Option<String>,
    /// `ORIOLECRANK_SECRET_FILE`: path of the file with the cluster secret.
    pub secret_file: Option<String>,
    /// `ORIOLECRANK_OPERATOR`, or `USER` if that is not set: name for the audit trail.
    pub operator: Option<String>,
}

impl CtlEnvironment {
    /// Reads the environment variables of the process; an empty variable counts as not set.
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
    /// Addresses of control instances; empty if none is given, and then only `validate`, `explain`
    /// and `--help` succeed.
    pub control: Vec<SocketAddr>,
    /// File with the cluster secret; needed by each command that contacts the control group.
    pub secret_file: Option<PathBuf>,
    /// Name for the audit trail; empty if none is given, and then changes are refused.
    pub operator: String,
    /// Longest wait for the control group. It applies separately to each command, to each query and
    /// to the wait for a revision.
    pub timeout: Duration,
    /// Whether the result or the error is printed as a JSON object.
    pub json: bool,
    /// The command and its own options.
    pub command: CtlCommand,
}

/// A command of the tool.
#[derive(Debug, Clone)]
pub enum CtlCommand {
    /// Prints the help text.
    Help,
    /// Checks a document file without contacting the control group.
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
    /// Creates a key for an organisation and prints it.
    IssueKey(KeyOptions),
    /// Removes a key from the document.
    WithdrawKey(KeyOptions),
    /// Drains an upstream or ends its drain.
    Drain(DrainOptions),
    /// Lists the members of the control group and the instances that wait to be added.
    Members,
    /// Changes the membership of the control group.
    ChangeMembers(MemberAction),
    /// Lists upstreams.
    Upstreams,
    /// Prints sizes and positions of the replicated state.
    Status,
    /// Prints the audit trail.
    Audit {
        /// Lowest log index of the records.
        first_index: u64,
        /// Largest number of records.
        limit: usize,
    },
    /// Prints the lines about one request in log files and why it ended.
    Explain {
        /// Id of the request, as in the field `request` of log lines.
        request: String,
        /// Log files of the processes, in any order.
        files: Vec<PathBuf>,
    },
}

/// A change of the membership of the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Adds an instance that waits to join; it becomes a learner.
    Add {
        /// Name from the settings of the instance, or its identity.
        name: String,
        /// Address that the instance has announced.
        address: SocketAddr,
    },
    /// Makes a learner a voter.
    Promote {
        /// Identity of the learner.
        id: String,
    },
    /// Removes an instance.
    Remove {
        /// Identity of the member.
        id: String,
        /// Whether the leader skips the check that the remaining group could lose one more
        /// instance.
        forced: bool,
    },
}

/// Options of `submit`.
#[derive(Debug, Clone)]
pub struct SubmitOptions {
    /// Document file.
    pub file: PathBuf,
    /// Revision that the document is based on; `None` means the current one.
    pub base: Option<u64>,
    /// Id of an earlier request that is repeated; `None` creates a new request.
    pub request_id: Option<String>,
    /// Whether the changes are only shown and nothing is sent.
    pub dry_run: bool,
    /// Whether to wait until the revision is in force everywhere.
    pub wait: bool,
}

/// Options of `keys issue` and `keys withdraw`.
#[derive(Debug, Clone)]
pub struct KeyOptions {
    /// Organisation of the key.
    pub organisation: String,
    /// Name of the key.
    pub name: String,
    /// Whether to wait until the change is in force everywhere.
    pub wait: bool,
}

/// Options of `drain` and `undrain`.
#[derive(Debug, Clone)]
pub struct DrainOptions {
    /// Name of the upstream.
    pub upstream: String,
    /// `Drain` or `Undrain`.
    pub action: OrderAction,
    /// Reason for the audit trail; empty if none is given.
    pub reason: String,
    /// Id of an earlier request that is repeated; `None` creates a new request.
    pub request_id: Option<String>,
}

/// Options and positional arguments before the command is known.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag of the command line is independent of the others"
)]
struct RawArguments {
    positional: Vec<String>,
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
    /// Parses the arguments of one invocation; options take precedence over the environment.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Usage`] if the command or an option is unknown, a value cannot be
    /// parsed, or an option does not apply to the command.
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
                Value(value) => raw.positional.push(value.string()?),
                other => return Err(other.unexpected()),
            }
        }
        Ok(raw)
    }

    fn command(&self) -> Result<CtlCommand, CtlError> {
        if self.help {
            return Ok(CtlCommand::Help);
        }
        let positional: Vec<&str> = self.positional.iter().map(String::as_str).collect();
        let command = match positional.as_slice() {
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
            [] => return usage_error("a command is missing"),
            _ => {
                return usage_error(&format!(
                    "{:?} is not a command, or an argument is missing or superfluous",
                    positional.join(" ")
                ));
            }
        };
        self.check_options(&positional)?;
        Ok(command)
    }

    /// Refuses options that do not apply to the command. Ignoring them would hide a mistake.
    fn check_options(&self, positional: &[&str]) -> Result<(), CtlError> {
        let command = positional[0];
        let is_removal = positional.starts_with(&["members", "remove"]);
        let is_submit = command == "submit";
        let is_drain = matches!(command, "drain" | "undrain");
        let options = [
            ("--dry-run", self.dry_run, is_submit),
            ("--force", self.force, is_removal),
            ("--wait", self.wait, is_submit || command == "keys"),
            ("--base", self.base.is_some(), is_submit),
            (
                "--request-id",
                self.request_id.is_some(),
                is_submit || is_drain,
            ),
            ("--reason", self.reason.is_some(), is_drain),
            ("--format", self.format.is_some(), command == "show"),
            ("--from", self.first_index.is_some(), command == "audit"),
            ("--limit", self.limit.is_some(), command == "audit"),
        ];
        for (option, given, applies) in options {
            if given && !applies {
                return usage_error(&format!("{option} does not apply to {command}"));
            }
        }
        Ok(())
    }

    fn submit_options(&self, file: &str) -> Result<SubmitOptions, CtlError> {
        // The base revision is part of the request. With another base, the repeated request would
        // be refused as a different one with the same id.
        if self.request_id.is_some() && self.base.is_none() {
            return usage_error("--request-id needs the --base of the first attempt");
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
            Some(other) => usage_error(&format!(
                "{other:?} is not a document format; use toml or json"
            )),
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

fn usage_error<T>(message: &str) -> Result<T, CtlError> {
    UsageSnafu { message }.fail()
}

fn parse_address(text: &str) -> Result<SocketAddr, CtlError> {
    text.parse().or_else(|_| {
        usage_error(&format!(
            "{text:?} is not an address of the form IP:port; host names are not accepted"
        ))
    })
}
