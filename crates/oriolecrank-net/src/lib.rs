//! Networking, logging and process start-up code shared by the oriolecrank processes.
//!
//! - [`serve`] runs an [`HttpHandler`] on a listener; [`AnswerBody`] is the body of its responses.
//! - [`intake`] bounds what clients can make a process hold.
//! - [`HttpClient`] sends requests over pooled connections; its [`SendError`] states whether a
//!   failed request may have run.
//! - [`requested_pause`] decodes for how long a server wants no requests.
//! - [`frame`] defines the framing of streamed responses. [`FrameReader`] reads the frames and
//!   fails when the stream is idle for too long.
//! - [`ControlClient`] finds the leader of the control group, the control instances that replicate
//!   the cluster state, and sends it commands.
//! - [`ClusterSecret`] authenticates processes to each other.
//! - [`run_process`] is the common `main` of a program. [`BootClock`], [`shutdown`],
//!   [`settings_file`], [`watch_settings`], [`logging`] and [`OperatorListener`] cover clocks,
//!   shutdown, configuration, log output, health checks and metrics.

mod answer_body;
mod boot_clock;
mod cluster_secret;
mod control_client;
pub mod frame;
mod http_client;
mod http_server;
pub mod intake;
mod log_budget;
pub mod logging;
mod lossy_output;
mod operator_listener;
mod process_main;
mod request_body;
mod retry_after;
pub mod settings_file;
mod settings_watch;
pub mod shutdown;
mod socket_options;

pub use answer_body::{AnswerBody, BodyAborted, BodyReceiver, BodySender};
pub use boot_clock::BootClock;
pub use cluster_secret::{ClusterSecret, SecretError};
pub use control_client::{ControlClient, ControlError, peer_request, peer_request_with};
pub use frame::{FrameError, FrameReader};
pub use http_client::{ClientResponse, ClientSettings, HttpClient, SendError};
pub use http_server::{
    HttpHandler, PeerGuard, ServerSettings, empty_answer, message_answer, read_body, serve,
    serve_with, text_answer, with_close,
};
pub use log_budget::{BudgetSettings, LogBudget};
pub use operator_listener::{MetricsListener, OperatorListener, ReadyFlag};
pub use process_main::{ProcessArguments, run_process};
pub use request_body::RequestBody;
pub use retry_after::{InvalidRetryAfter, requested_pause, retry_after};
pub use settings_watch::watch_settings;
pub use socket_options::set_tcp_options;
