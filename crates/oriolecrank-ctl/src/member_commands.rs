//! `members`, `members add`, `members promote` and `members remove`.

use std::net::SocketAddr;
use std::time::Duration;

use oriolecrank_schema::control::{
    ControlMember, GroupMember, JoiningInstance, MembersOutcome, MembersRequest, Query, QueryResult,
};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::arguments::{CtlArguments, MemberAction};
use crate::control_session::{ControlSession, new_request_id};
use crate::ctl_error::{CtlError, RefusedSnafu};
use crate::ctl_report::CtlReport;
use crate::read_commands::list_report;

/// Time limit within which an instance that is to be added must contact the leader. Instances that
/// wait to be added announce themselves each second.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which the group is read while waiting for the announcement.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Members of the control group and instances that wait to be added, as listed by the leader.
struct GroupView {
    version: u64,
    members: Vec<ControlMember>,
    joining: Vec<JoiningInstance>,
}

impl GroupView {
    async fn read(session: &ControlSession) -> Result<Self, CtlError> {
        match session.query(&Query::Members).await? {
            QueryResult::Members {
                version,
                members,
                joining,
            } => Ok(Self {
                version,
                members,
                joining,
            }),
            _ => Err(CtlError::UnexpectedAnswer),
        }
    }

    fn group_members(&self) -> Vec<GroupMember> {
        let members = self.members.iter().map(|member| GroupMember {
            address: member.address.clone(),
            instance: member.instance.clone(),
            voter: member.voter,
        });
        members.collect()
    }

    /// The waiting instance with this name or identity at `address`.
    fn joining(&self, name: &str, address: SocketAddr) -> Option<&JoiningInstance> {
        let address = address.to_string();
        self.joining.iter().find(|instance| {
            let named = instance.name == name || instance.instance == name;
            named && instance.address == address
        })
    }
}

/// Lists the instances of the control group and those that wait to be added.
pub(crate) async fn list(arguments: &CtlArguments) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    let view = GroupView::read(&session).await?;
    let members = view.members.iter().map(member_line);
    let joining = view.joining.iter().map(|instance| {
        let JoiningInstance {
            instance, address, ..
        } = instance;
        format!("{instance} {address} - waiting - -")
    });
    Ok(list_report(
        "instance address failure_domain role state matched_index",
        members.chain(joining),
        json!({ "version": view.version, "members": view.members, "joining": view.joining }),
    ))
}

fn member_line(member: &ControlMember) -> String {
    let role = match (member.leader, member.voter) {
        (true, _) => "leader",
        (false, true) => "voter",
        (false, false) => "learner",
    };
    let state = if member.live { "live" } else { "silent" };
    let domain = match member.failure_domain.as_str() {
        "" => "-",
        domain => domain,
    };
    format!(
        "{} {} {domain} {role} {state} {}",
        member.instance, member.address, member.matched_index
    )
}

/// Adds, promotes or removes an instance of the control group.
pub(crate) async fn change(
    arguments: &CtlArguments,
    action: &MemberAction,
) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    session.require_operator()?;
    let mut view = GroupView::read(&session).await?;
    let (members, text) = match action {
        MemberAction::Add { name, address } => {
            let added = wait_for_joining(&session, &mut view, name, *address).await?;
            added_member(&view, added)
        }
        MemberAction::Promote { id } => promoted_member(&view, id)?,
        MemberAction::Remove { id, .. } => removed_member(&view, id)?,
    };
    let request = MembersRequest {
        base_version: view.version,
        forced: matches!(action, MemberAction::Remove { forced: true, .. }),
        members,
        operator: session.operator.clone(),
        request_id: new_request_id()?,
    };
    match session.change_members(&request).await? {
        MembersOutcome::Changed { version } => Ok(CtlReport::new(
            format!("{text}; the membership has version {version}"),
            json!({ "result": "changed", "version": version, "change": text }),
        )),
        MembersOutcome::StaleVersion { current_version } => Err(CtlError::MembersConflict {
            base: request.base_version,
            current: current_version,
        }),
        MembersOutcome::Refused { reason } => RefusedSnafu { reason }.fail(),
        MembersOutcome::NotLeader { .. } | MembersOutcome::Unknown => {
            Err(CtlError::UnexpectedAnswer)
        }
    }
}

/// Waits until an instance has contacted the leader. A new leader learns of the instance only with
/// its next announcement.
async fn wait_for_joining(
    session: &ControlSession,
    view: &mut GroupView,
    name: &str,
    address: SocketAddr,
) -> Result<JoiningInstance, CtlError> {
    let deadline = Instant::now() + JOIN_TIMEOUT;
    loop {
        if let Some(instance) = view.joining(name, address) {
            return Ok(instance.clone());
        }
        let text = address.to_string();
        let member = view.members.iter().find(|member| member.address == text);
        if let Some(member) = member {
            let reason = format!("{} at {text} is already a member", member.instance);
            return RefusedSnafu { reason }.fail();
        }
        if Instant::now() >= deadline {
            let reason = format!(
                "no instance {name} at {text} has contacted the leader; start it with the members \
                 of the group in its settings, and see oriolecrank-ctl members for the instances \
                 that wait"
            );
            return RefusedSnafu { reason }.fail();
        }
        sleep(JOIN_POLL_INTERVAL).await;
        *view = GroupView::read(session).await?;
    }
}

/// Members after a change, and the text that describes the change.
type PlannedMembers = (Vec<GroupMember>, String);

fn added_member(view: &GroupView, added: JoiningInstance) -> PlannedMembers {
    let mut members = view.group_members();
    let text = format!("added learner {}", added.instance);
    members.push(GroupMember {
        address: added.address,
        instance: added.instance,
        voter: false,
    });
    (members, text)
}

fn promoted_member(view: &GroupView, id: &str) -> Result<PlannedMembers, CtlError> {
    let mut members = view.group_members();
    let Some(member) = members.iter_mut().find(|member| member.instance == id) else {
        return unknown_member(view, id);
    };
    if member.voter {
        let reason = format!("{id} is already a voter");
        return RefusedSnafu { reason }.fail();
    }
    member.voter = true;
    Ok((members, format!("{id} is a voter")))
}

fn removed_member(view: &GroupView, id: &str) -> Result<PlannedMembers, CtlError> {
    let mut members = view.group_members();
    let before = members.len();
    members.retain(|member| member.instance != id);
    if members.len() == before {
        return unknown_member(view, id);
    }
    Ok((members, format!("removed {id}")))
}

fn unknown_member<T>(view: &GroupView, id: &str) -> Result<T, CtlError> {
    let names = view.members.iter().map(|member| member.instance.as_str());
    let names: Vec<&str> = names.collect();
    let reason = format!("{id} is not a member; members are {}", names.join(", "));
    RefusedSnafu { reason }.fail()
}
