//! Orders of the control group to a whole agent process over TCP.

use oriolecrank_fakes::{EngineOptions, FakeEngine};
use oriolecrank_schema::control::{
    Command, EngineOrder, FencingNumber, OrderAction, OrderResult, UpstreamRole,
};
use oriolecrank_schema::data_path::{RunEvent, RunVerdict};
use std::time::Duration;

use crate::support::{TEST_TIMEOUT, TestAgent, completion_body, eventually, read_answer};

fn order(sequence: u64, action: OrderAction) -> EngineOrder {
    EngineOrder {
        action,
        fence: FencingNumber { sequence, term: 1 },
        lifetime_ms: 2_000,
        upstream: "upstream-1".to_owned().into(),
    }
}

fn change_role() -> OrderAction {
    OrderAction::ChangeRole {
        role: UpstreamRole::Decode,
    }
}

/// Repeats an order until the agent no longer refuses it because it has just started.
async fn execute_when_ready(agent: &TestAgent, order: &EngineOrder) -> OrderResult {
    let repeat = async {
        loop {
            let answer = agent.order(order).await;
            if answer.result != OrderResult::Refused {
                return answer.result;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, repeat).await.unwrap()
}

/// Guards against conflicting orders: an engine that ignores fencing numbers must not receive an
/// old order after a newer one, nor the same order twice.
#[tokio::test(flavor = "multi_thread")]
async fn the_engine_sees_each_order_once_and_no_old_one() {
    let engine = FakeEngine::default();
    let agent = TestAgent::start(engine.clone()).await;
    assert_eq!(
        execute_when_ready(&agent, &order(5, change_role())).await,
        OrderResult::Done
    );
    assert_eq!(
        agent.order(&order(5, change_role())).await.result,
        OrderResult::Done
    );
    let stale = agent.order(&order(4, change_role())).await;
    assert_eq!(stale.result, OrderResult::Refused);
    assert_eq!(
        stale.fence,
        FencingNumber {
            sequence: 5,
            term: 1
        }
    );
    let misdirected = EngineOrder {
        upstream: "upstream-2".to_owned().into(),
        ..order(6, change_role())
    };
    assert_eq!(agent.order(&misdirected).await.result, OrderResult::Refused);
    let seen_sequences: Vec<_> = engine
        .accepted_orders()
        .iter()
        .map(|order| order.fence.sequence)
        .collect();
    assert_eq!(seen_sequences, [5]);
}

/// Guards against a planned role change that cuts off a running answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_role_change_fails_until_the_upstream_is_drained() {
    let between_tokens = Duration::from_millis(40);
    let engine = FakeEngine::new(EngineOptions {
        between_tokens,
        ..EngineOptions::default()
    });
    let agent = TestAgent::start(engine.clone()).await;
    let mut reader = agent
        .run(&agent.request("a"), &completion_body("x", 100))
        .await;
    eventually(|| (engine.calls() == 1).then_some(())).await;
    assert_eq!(
        execute_when_ready(&agent, &order(1, change_role())).await,
        OrderResult::Failed
    );
    assert!(engine.accepted_orders().is_empty());

    assert_eq!(
        agent.order(&order(2, OrderAction::Drain)).await.result,
        OrderResult::Done
    );
    let refused = agent.complete("b", "x", 1).await;
    let RunEvent::Failed { verdict, .. } = refused.last else {
        panic!("{:?}", refused.last)
    };
    assert_eq!(verdict, RunVerdict::NotRun);
    let answer = read_answer(&mut reader, 0).await;
    assert!(
        matches!(answer.last, RunEvent::End { .. }),
        "{:?}",
        answer.last
    );

    assert_eq!(
        agent.order(&order(3, change_role())).await.result,
        OrderResult::Done
    );
    assert_eq!(
        agent.order(&order(4, OrderAction::Undrain)).await.result,
        OrderResult::Done
    );
    let completed = agent.complete("c", "x", 1).await;
    assert!(
        matches!(completed.last, RunEvent::End { .. }),
        "{:?}",
        completed.last
    );
}

/// Guards against repeated role changes: the control group plans with the announced role, so the
/// agent must announce the role that an order has set.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_role_and_model_are_announced() {
    let agent = TestAgent::start(FakeEngine::default()).await;
    let load = OrderAction::LoadModel {
        model: "olive-7b".to_owned(),
        version: "2".to_owned(),
    };
    for (sequence, action) in [(5, change_role()), (6, load)] {
        let result = execute_when_ready(&agent, &order(sequence, action)).await;
        assert_eq!(result, OrderResult::Done);
    }
    let record = eventually(|| {
        let commands = agent.control.commands().into_iter().rev();
        let mut records = commands.filter_map(|command| match command {
            Command::Announce { record, .. } => Some(record),
            _ => None,
        });
        records.next().filter(|record| record.model.is_some())
    })
    .await;
    assert_eq!(record.role, UpstreamRole::Decode);
    assert_eq!(record.model.as_deref(), Some("olive-7b"));
    assert_eq!(record.version.as_deref(), Some("2"));
}
