//! Tests of orders to agents: retries, refusals, restarts, and changes of the leader.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_control::{ControlMetrics, OrderExecutor, OrderSettings};
use oriolecrank_net::{
    AnswerBody, BodyAborted, HttpHandler, empty_answer, message_answer, read_body,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    Command, CommandOutcome, EngineOrder, FencingNumber, OrderAction, OrderAnswer, OrderResult,
    UpstreamRemoval,
};

use crate::support::{
    ManualTime, TestGroup, TestReplica, announce, engine_record, listen, secret, upstream,
};

/// How the agent handles one order.
#[derive(Debug, Clone, Copy)]
enum AgentReply {
    Answer(OrderResult),
    /// Refuses with a reason and reports a fencing floor this much above the order's number.
    RefuseAbove(u64),
    /// Executes the order and aborts the answer.
    LoseAnswer,
    Status(StatusCode),
    /// Answers `done` with the number of another order.
    OtherNumber,
}

/// An agent that follows a script and then answers `done`.
#[derive(Debug, Clone, Default)]
struct ScriptedAgent {
    script: Arc<Mutex<VecDeque<AgentReply>>>,
    orders: Arc<Mutex<Vec<EngineOrder>>>,
}

impl ScriptedAgent {
    fn new(script: &[AgentReply]) -> Self {
        let agent = Self::default();
        agent.script.lock().unwrap().extend(script);
        agent
    }

    fn sequences(&self) -> Vec<u64> {
        let orders = self.orders.lock().unwrap();
        orders.iter().map(|order| order.fence.sequence).collect()
    }
}

impl HttpHandler for ScriptedAgent {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<AnswerBody> {
        let body = read_body(request.into_body(), 1 << 20).await.unwrap();
        let order: EngineOrder = codec::decode(&body).unwrap();
        let fence = order.fence.clone();
        self.orders.lock().unwrap().push(order);
        let reply = self.script.lock().unwrap().pop_front();
        let answer = |fence: FencingNumber, result, reason: Option<&str>| {
            message_answer(&OrderAnswer {
                fence,
                reason: reason.map(str::to_owned),
                result,
            })
        };
        let raised = |by: u64| FencingNumber {
            sequence: fence.sequence + by,
            ..fence.clone()
        };
        match reply.unwrap_or(AgentReply::Answer(OrderResult::Done)) {
            AgentReply::Answer(result) => answer(fence, result, None),
            AgentReply::RefuseAbove(by) => {
                answer(raised(by), OrderResult::Refused, Some("not accepted"))
            }
            AgentReply::OtherNumber => answer(raised(7), OrderResult::Done, None),
            AgentReply::Status(status) => empty_answer(status),
            AgentReply::LoseAnswer => {
                let (sender, body) = AnswerBody::stream();
                let _ = sender.send(Err(BodyAborted)).await;
                Response::new(body)
            }
        }
    }
}

fn executor(
    replica: &Arc<TestReplica>,
    time: &ManualTime,
) -> OrderExecutor<TestReplica, ManualTime> {
    OrderExecutor::new(
        Arc::clone(replica),
        Arc::clone(&replica.state),
        time.clone(),
        secret(),
        ControlMetrics::default(),
        OrderSettings::default(),
    )
}

async fn place_order(replica: &TestReplica, action: OrderAction) -> EngineOrder {
    let command = Command::PlaceOrder {
        upstream: upstream("a-1"),
        action,
        reason: "test".to_owned(),
    };
    match replica.commit(command).await {
        CommandOutcome::OrderPlaced { order } => order,
        outcome => panic!("{outcome:?}"),
    }
}

fn in_flight(replica: &TestReplica) -> usize {
    replica.state.read(|state| state.orders_in_flight().count())
}

/// Result with which the order in the log was settled.
fn settled(group: &TestGroup) -> Option<OrderResult> {
    group
        .entries()
        .into_iter()
        .find_map(|entry| match entry.command {
            Command::SettleOrder { result, .. } => Some(result),
            _ => None,
        })
}

/// Guards against an order that is lost, settled with a wrong result, or replaced by one with
/// another number while its outcome is unknown.
#[tokio::test]
async fn an_order_is_repeated_with_its_number_until_its_outcome_is_known() {
    use AgentReply::{Answer, LoseAnswer, OtherNumber, RefuseAbove, Status};
    let internal = Status(StatusCode::INTERNAL_SERVER_ERROR);
    // Replies of the agent, result in the log, attempts.
    let cases: &[(&str, &[AgentReply], OrderResult, usize)] = &[
        ("done", &[Answer(OrderResult::Done)], OrderResult::Done, 1),
        (
            "failed",
            &[Answer(OrderResult::Failed)],
            OrderResult::Failed,
            1,
        ),
        ("lost answer", &[LoseAnswer], OrderResult::Done, 2),
        (
            "lost twice",
            &[LoseAnswer, LoseAnswer],
            OrderResult::Done,
            3,
        ),
        (
            "unknown outcome",
            &[Answer(OrderResult::Unknown)],
            OrderResult::Done,
            2,
        ),
        ("server error", &[internal], OrderResult::Done, 2),
        (
            "answer for another order",
            &[OtherNumber],
            OrderResult::Done,
            2,
        ),
        (
            "startup wait",
            &[RefuseAbove(0), RefuseAbove(0)],
            OrderResult::Done,
            3,
        ),
        (
            "engine refuses",
            &[Answer(OrderResult::Refused)],
            OrderResult::Refused,
            1,
        ),
        (
            "floor is higher",
            &[RefuseAbove(1)],
            OrderResult::Refused,
            1,
        ),
        // The first attempt may have run, so the result must not be `refused`.
        (
            "lost, then floor",
            &[LoseAnswer, RefuseAbove(1)],
            OrderResult::Failed,
            2,
        ),
    ];
    for (name, script, result, attempts) in cases {
        let group = TestGroup::default();
        let replica = group.leader();
        let agent = ScriptedAgent::new(script);
        let (address, _trigger) = listen(agent.clone()).await;
        announce(
            &replica,
            engine_record("a-1", "piedmont", &address.to_string()),
            1,
        )
        .await;
        let mut executor = executor(&replica, &group.time);
        // The executor knows the term before the order is placed, so no earlier leader can have
        // sent it.
        executor.round().await;
        let order = place_order(&replica, OrderAction::Drain).await;
        for _ in 0..10 {
            executor.round().await;
            group.time.advance(Duration::from_millis(500));
        }
        assert_eq!(settled(&group), Some(*result), "{name}");
        assert_eq!(in_flight(&replica), 0, "{name}");
        let sent = agent.sequences();
        assert_eq!(sent, vec![order.fence.sequence; *attempts], "{name}");
    }
}

/// Guards against an order that blocks its upstream forever because the agent always refuses it,
/// and against an order that is abandoned during the startup wait of a restarted agent.
#[tokio::test]
async fn a_repeated_refusal_ends_only_after_the_startup_wait_of_the_same_agent() {
    let group = TestGroup::default();
    let replica = group.leader();
    let agent = ScriptedAgent::new(&[AgentReply::RefuseAbove(0); 100]);
    let (address, _trigger) = listen(agent.clone()).await;
    let mut record = engine_record("a-1", "piedmont", &address.to_string());
    announce(&replica, record.clone(), 1).await;
    let mut executor = executor(&replica, &group.time);
    executor.round().await;
    place_order(&replica, OrderAction::Drain).await;
    for _ in 0..5 {
        executor.round().await;
        group.time.advance(Duration::from_secs(1));
    }
    assert_eq!(in_flight(&replica), 1);
    // A restarted agent has a new startup wait, so the refusals are counted from the beginning.
    record.incarnation = 2;
    announce(&replica, record, 1).await;
    for _ in 0..5 {
        executor.round().await;
        group.time.advance(Duration::from_secs(1));
    }
    assert_eq!(in_flight(&replica), 1);
    for _ in 0..5 {
        executor.round().await;
        group.time.advance(Duration::from_secs(1));
    }
    assert_eq!(settled(&group), Some(OrderResult::Refused));
    assert_eq!(in_flight(&replica), 0);
}

/// Guards against an order that is sent to the old address of an agent that restarted elsewhere, or
/// sent again with another number.
#[tokio::test]
async fn a_restarted_agent_gets_the_same_number_at_its_new_address() {
    let group = TestGroup::default();
    let replica = group.leader();
    let old = ScriptedAgent::new(&[AgentReply::LoseAnswer]);
    let new = ScriptedAgent::new(&[AgentReply::RefuseAbove(0)]);
    let (old_address, _old) = listen(old.clone()).await;
    let (new_address, _new) = listen(new.clone()).await;
    let mut record = engine_record("a-1", "piedmont", &old_address.to_string());
    announce(&replica, record.clone(), 1).await;
    let order = place_order(&replica, OrderAction::Drain).await;
    let mut executor = executor(&replica, &group.time);
    executor.round().await;
    record.incarnation = 2;
    record.address = new_address.to_string();
    announce(&replica, record, 1).await;
    for _ in 0..3 {
        group.time.advance(Duration::from_secs(1));
        executor.round().await;
    }
    let number = order.fence.sequence;
    assert_eq!(old.sequences(), [number]);
    assert_eq!(new.sequences(), [number, number]);
    assert_eq!(settled(&group), Some(OrderResult::Done));
}

/// Guards against an order of a departed upstream that is never settled, or that is settled while
/// it may still be executed.
#[tokio::test]
async fn an_order_of_a_departed_upstream_is_settled_after_its_lifetime() {
    let group = TestGroup::default();
    let replica = group.leader();
    let agent = ScriptedAgent::new(&[AgentReply::LoseAnswer]);
    let (address, _trigger) = listen(agent.clone()).await;
    announce(
        &replica,
        engine_record("a-1", "piedmont", &address.to_string()),
        1,
    )
    .await;
    place_order(&replica, OrderAction::Drain).await;
    let mut executor = executor(&replica, &group.time);
    executor.round().await;
    let removal = UpstreamRemoval {
        incarnation: 1,
        upstream: upstream("a-1"),
    };
    let command = Command::RemoveUpstreams {
        reason: "test".to_owned(),
        upstreams: vec![removal],
    };
    replica.commit(command).await;
    group.time.advance(Duration::from_secs(1));
    executor.round().await;
    group.time.advance(Duration::from_millis(1_999));
    executor.round().await;
    assert_eq!(in_flight(&replica), 1);
    group.time.advance(Duration::from_millis(1));
    executor.round().await;
    assert_eq!(settled(&group), Some(OrderResult::Failed));
    assert_eq!(agent.sequences().len(), 1);
}

/// Guards against an order that is sent without authority: after each check of the authority but
/// the last, the process pauses for longer than its lease.
#[tokio::test]
async fn no_order_is_sent_after_a_pause() {
    let checks = attempt_with_pause(None).await.unwrap_err();
    assert!(
        checks > 2,
        "the authority is not checked again immediately before the write"
    );
    for pause_at in 1..checks {
        let result = attempt_with_pause(Some(pause_at)).await;
        assert_eq!(result, Ok(()), "pause after check {pause_at}");
    }
}

/// Makes one attempt, with a pause after the given number of checks. Returns `Err` with the number
/// of checks if the order reached the agent.
async fn attempt_with_pause(pause_at: Option<u64>) -> Result<(), u64> {
    let group = TestGroup::default();
    let replica = group.leader();
    let agent = ScriptedAgent::default();
    let (address, _trigger) = listen(agent.clone()).await;
    announce(
        &replica,
        engine_record("a-1", "piedmont", &address.to_string()),
        1,
    )
    .await;
    place_order(&replica, OrderAction::Drain).await;
    let mut executor = executor(&replica, &group.time);
    let before = replica.checks();
    if let Some(pause_at) = pause_at {
        replica.pause_after_checks(pause_at, Duration::from_hours(11));
    }
    executor.round().await;
    if agent.sequences().is_empty() {
        return Ok(());
    }
    Err(replica.checks() - before)
}

/// Guards against two different orders in flight after a change of leader, and against a former
/// leader that settles or sends an order of its successor.
#[tokio::test]
async fn a_successor_repeats_the_number_of_its_predecessor() {
    let group = TestGroup::default();
    let first = group.leader();
    let agent = ScriptedAgent::new(&[AgentReply::LoseAnswer]);
    let (address, _trigger) = listen(agent.clone()).await;
    announce(
        &first,
        engine_record("a-1", "piedmont", &address.to_string()),
        1,
    )
    .await;
    let order = place_order(&first, OrderAction::Drain).await;
    let mut first_executor = executor(&first, &group.time);
    first_executor.round().await;
    let second = group.leader();
    let refusal = second.propose_order("a-1", OrderAction::Undrain).await;
    let pending = CommandOutcome::OrderPending {
        fence: order.fence.clone(),
    };
    assert_eq!(refusal, pending);
    let mut second_executor = executor(&second, &group.time);
    second_executor.round().await;
    assert_eq!(in_flight(&second), 0);
    group.time.advance(Duration::from_secs(5));
    first.resign();
    first_executor.round().await;
    let number = order.fence.sequence;
    assert_eq!(agent.sequences(), [number, number]);
}
