//! Network plumbing shared by the processes of oriolecrank.
//!
//! - [`serve`] runs an [`HttpHandler`] on a listener; [`AnswerBody`] is the body of its answers.
//! - [`HttpClient`] sends requests over pooled connections and says in [`SendError`] whether a
//!   failed request may have run.
//! - [`frame`] holds the framing of long answers, [`FrameReader`] reads them and detects silence.
//! - [`ControlClient`] finds the leader of the control group and sends it commands.
//! - [`ClusterSecret`] authenticates processes to each other.
//! - [`BootClock`], [`shutdown`], [`settings_file`], [`logging`] and [`OperatorListener`] are the
//!   parts that every process needs to start, run and stop.

mod answer_body;
mod boot_clock;
mod cluster_secret;
mod control_client;
pub mod frame;
mod http_client;
mod http_server;
mod log_budget;
pub mod logging;
mod lossy_output;
mod operator_listener;
mod process_main;
pub mod settings_file;
mod settings_watch;
pub mod shutdown;
mod socket_options;

pub use answer_body::{AnswerBody, BodyAborted, BodyReceiver, BodySender};
pub use boot_clock::BootClock;
pub use cluster_secret::{ClusterSecret, SecretError};
pub use control_client::{ControlClient, ControlError, peer_request};
pub use frame::{FrameError, FrameReader};
pub use http_client::{ClientResponse, ClientSettings, HttpClient, SendError};
pub use http_server::{
    HttpHandler, PeerGuard, ServerSettings, empty_answer, message_answer, read_body, serve,
    serve_with, text_answer,
};
pub use log_budget::{BudgetSettings, LogBudget};
pub use operator_listener::{MetricsListener, OperatorListener, ReadyFlag};
pub use process_main::{ProcessArguments, run_process};
pub use settings_watch::watch_settings;
pub use socket_options::set_options;
