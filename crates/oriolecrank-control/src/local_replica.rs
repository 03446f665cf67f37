//! A control group with one member.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriolecrank_consensus::{LeaderAuthority, Term};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, CommandOutcome, ControlMember, LoggedCommand};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::LogIndex;

use crate::command_replica::CommandReplica;
use crate::local_log::LocalLog;
use crate::shared_state::SharedState;

/// The only member needs no lease; its authority is renewed at each question.
const LOCAL_LEASE: Duration = Duration::from_secs(1);

/// Term of the only member.
const LOCAL_TERM: u64 = 1;

#[derive(Debug)]
struct LogTail {
    log: LocalLog,
    next: u64,
}

/// Log and state of the only member.
#[derive(Debug)]
pub struct LocalReplica {
    state: Arc<SharedState>,
    /// Lock order: the log before the state; never held across an await.
    tail: Mutex<LogTail>,
}

impl LocalReplica {
    /// Opens the log in `folder` and applies what it holds.
    pub fn open(folder: &Path, state: Arc<SharedState>) -> std::io::Result<Self> {
        let (log, commands) = LocalLog::open(folder)?;
        let mut next = 1;
        for command in commands {
            state.apply(LogIndex(next), command);
            next += 1;
        }
        Ok(Self {
            state,
            tail: Mutex::new(LogTail { log, next }),
        })
    }
}

impl CommandReplica for LocalReplica {
    async fn propose(&self, command: Command) -> CommandOutcome {
        let time_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64);
        let logged = LoggedCommand {
            command,
            term: LOCAL_TERM,
            time_ms,
        };
        let mut tail = self.tail.lock().expect("no holder of the log lock panics");
        if let Err(error) = tail.log.append(&logged) {
            tracing::error!(event = LogEvent::StorageFailed.number(), %error, "log write failed");
            return CommandOutcome::Unavailable;
        }
        let index = LogIndex(tail.next);
        tail.next += 1;
        self.state.apply(index, logged)
    }

    async fn read_barrier(&self) -> bool {
        true
    }

    fn authority(&self, now: TimePoint) -> Option<LeaderAuthority> {
        Some(LeaderAuthority {
            term: Term(LOCAL_TERM),
            until: now + LOCAL_LEASE,
        })
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        None
    }

    fn members(&self) -> Vec<ControlMember> {
        Vec::new()
    }
}
