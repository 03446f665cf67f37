//! Tests of a control process that reaches an agent, a platform and a usage interface over TCP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use oriolecrank_control::{
    ControlMetrics, ControlOptions, ControlProcess, GaugeValues, InitialMember,
};
use oriolecrank_fakes::{FakePlatform, FakeUsage};
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::shutdown::shutdown_channel;
use oriolecrank_net::{
    AnswerBody, ControlClient, HttpClient, HttpHandler, message_answer, read_body,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    Command, CommandOutcome, EngineOrder, OrderAction, OrderAnswer, OrderResult,
};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::support::{document, engine_record, listen, secret, upstream, usage_record};

/// Timeout of waits for an event; it is reached only when a test fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// An agent that records its orders and answers `done`.
#[derive(Debug, Clone, Default)]
struct AcceptingAgent(Arc<Mutex<Vec<EngineOrder>>>);

impl HttpHandler for AcceptingAgent {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<AnswerBody> {
        let body = read_body(request.into_body(), 1 << 20).await.unwrap();
        let order: EngineOrder = codec::decode(&body).unwrap();
        let answer = OrderAnswer {
            fence: order.fence.clone(),
            reason: None,
            result: OrderResult::Done,
        };
        self.0.lock().unwrap().push(order);
        message_answer(&answer)
    }
}

async fn wait_until(failure: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(
        tokio::time::timeout(EVENT_TIMEOUT, wait).await.is_ok(),
        "{failure} within {EVENT_TIMEOUT:?}"
    );
}

/// Guards against executors that the process does not start or connect: it must send an order and a
/// usage report, and read the list of running upstreams from the platform.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_process_acts_on_what_is_committed() {
    let agent = AcceptingAgent::default();
    let (agent_address, _agent) = listen(agent.clone()).await;
    let platform = FakePlatform::default();
    let (platform_address, _platform) = listen(platform.clone()).await;
    let usage = FakeUsage::default();
    let (usage_address, _usage) = listen(usage.clone()).await;
    let folder = tempfile::tempdir().unwrap();
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let options = ControlOptions {
        cluster: "grove".to_owned(),
        instance: "control-1".to_owned(),
        listen: any_port,
        operator_listen: any_port,
        secret: secret(),
        data_folder: folder.path().to_owned(),
        members: vec![InitialMember {
            instance: "control-1".to_owned(),
            address: any_port,
        }],
        platform: Some(platform_address),
        usage: Some(usage_address),
        shutdown_limit: EVENT_TIMEOUT,
        log_format: LogFormat::Text,
    };
    let process = ControlProcess::bind(options).await.unwrap();
    let client = ControlClient::new(HttpClient::default(), secret(), &[process.address()]);
    let (trigger, signal) = shutdown_channel();
    let process = tokio::spawn(async move { process.run(signal).await.unwrap() });

    let mut document = document();
    document.usage_window_s = 1;
    let submit = Command::Submit {
        base_revision: 0,
        document,
        operator: "test".to_owned(),
        origin: String::new(),
        request_id: "document-1".to_owned(),
    };
    let outcome = client.command(&submit, EVENT_TIMEOUT).await.unwrap();
    assert_eq!(outcome, CommandOutcome::DocumentAccepted { revision: 1 });
    let announce = Command::Announce {
        load: None,
        number: 1,
        record: engine_record("a-1", "piedmont", &agent_address.to_string()),
    };
    client.command(&announce, EVENT_TIMEOUT).await.unwrap();
    let order = Command::PlaceOperatorOrder {
        action: OrderAction::Drain,
        operator: "test".to_owned(),
        origin: String::new(),
        reason: "test".to_owned(),
        request_id: "order-1".to_owned(),
        upstream: upstream("a-1"),
    };
    client.command(&order, EVENT_TIMEOUT).await.unwrap();
    let report = Command::ReportUsage {
        records: vec![usage_record("r-1", 100, 0)],
        source: "entry".to_owned(),
    };
    client.command(&report, EVENT_TIMEOUT).await.unwrap();

    wait_until("the order is not sent", || {
        !agent.0.lock().unwrap().is_empty()
    })
    .await;
    wait_until("no window is reported", || {
        let reports = usage.reports();
        reports.iter().any(|report| report.stored)
    })
    .await;
    wait_until("the list of running upstreams is not read", || {
        !platform.requests().is_empty()
    })
    .await;
    let order = agent.0.lock().unwrap()[0].clone();
    assert_eq!(order.action, OrderAction::Drain);
    assert_eq!(order.lifetime_ms, 2_000);
    assert!(platform.writes().is_empty(), "{:?}", platform.writes());
    trigger.trigger();
    process.await.unwrap();
}

/// Guards against metrics that are renamed, not registered or set to the value of another one.
#[test]
fn the_metrics_show_the_leader_and_its_work() {
    let metrics = ControlMetrics::default();
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    metrics.set_gauges(&GaugeValues {
        leader: true,
        term: 7,
        revision: 12,
        applied_index: 40,
        upstreams: 8,
        members: 3,
        lowest_in_force: 11,
        orders_in_flight: 2,
        intents: 1,
        unreported_windows: 4,
    });
    metrics.count_order(OrderResult::Done);
    metrics.count_intent(OrderResult::Failed);
    metrics.count_plan_change("role");
    metrics.count_reported_window();
    metrics.count_late_window();
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    let expected = [
        "control_leader 1",
        "control_term 7",
        "control_revision 12",
        "control_applied_index 40",
        "control_upstreams 8",
        "control_members 3",
        "control_lowest_revision_in_force 11",
        "control_orders_in_flight 2",
        "control_open_intents 1",
        "control_unreported_windows 4",
        "control_orders_total{code=\"done\"} 1",
        "control_intents_total{code=\"failed\"} 1",
        "control_plan_changes_total{code=\"role\"} 1",
        "control_windows_reported_total 1",
        "control_windows_late_total 1",
    ];
    for line in expected {
        assert!(text.lines().any(|shown| shown == line), "{line} in\n{text}");
    }
}
