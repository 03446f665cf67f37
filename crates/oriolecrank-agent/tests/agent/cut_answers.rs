//! Upstreams that close their connection in the middle of an answer.

use oriolecrank_schema::data_path::{RunEvent, RunRequest, RunVerdict};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use crate::support::{TestAgent, bind_listener, completion_body, read_answer};

/// Beginnings of answers. None of them is a whole answer.
fn cut_answers() -> Vec<(&'static str, String)> {
    let status_line = "HTTP/1.1 200 OK\r\n";
    let fields = format!("{status_line}content-type: text/event-stream\r\n");
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: l\r\n\r\n";
    let chunked = format!("{fields}transfer-encoding: chunked\r\n\r\n");
    let chunks = format!("{chunked}6\r\nabcdef\r\n");
    vec![
        ("before the head", String::new()),
        ("in the status line", "HTTP/1.1 20".to_owned()),
        ("after the status line", status_line.to_owned()),
        ("in a field name", format!("{fields}content-le")),
        ("in a field value", format!("{fields}content-length: 1")),
        ("before the empty line", fields.clone()),
        ("in the empty line", format!("{fields}\r")),
        ("after an interim answer", interim.to_owned()),
        ("in the head after it", format!("{interim}{status_line}con")),
        ("in a body", format!("{fields}content-length: 9\r\n\r\nabc")),
        ("in the size of a chunk", format!("{chunks}6")),
        ("in a chunk", format!("{chunks}6\r\nabc")),
        ("before the last chunk", chunks.clone()),
        ("in the last chunk", format!("{chunks}0")),
        ("in a trailer", format!("{chunks}0\r\nx-more: m")),
    ]
}

/// Reads one request on each connection and answers it with `answer` before it closes.
async fn serve_cut(listener: TcpListener, answer: String) {
    while let Ok((mut connection, _)) = listener.accept().await {
        let answer = answer.clone();
        tokio::spawn(async move {
            let mut buffer = [0; 4_096];
            if connection.read(&mut buffer).await.is_ok() {
                // The agent may have closed the connection, which ends the attempt as well.
                let _ = connection.write_all(answer.as_bytes()).await;
            }
        });
    }
}

/// Guards against an answer that was cut and ends as complete, with and without events.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_fails_and_may_have_run() {
    for (place, answer) in cut_answers() {
        let (listener, address) = bind_listener().await;
        tokio::spawn(serve_cut(listener, answer));
        let agent = TestAgent::start_beside_listener(address).await;
        for stream in [false, true] {
            let request = RunRequest {
                stream,
                ..agent.request(&format!("request-{stream}"))
            };
            let mut reader = agent.run(&request, &completion_body("x", 16)).await;
            let answer = read_answer(&mut reader, 0).await;
            let RunEvent::Failed { verdict, .. } = answer.last else {
                panic!("{place}, stream {stream}: {answer:?}")
            };
            let expected = RunVerdict::MayHaveRun;
            assert_eq!(verdict, expected, "{place}, stream {stream}");
        }
    }
}
