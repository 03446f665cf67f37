//! One run: starts a cluster, sends calls while faults are injected, ends the faults and checks the
//! guarantees.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriolecrank_net::HttpClient;
use snafu::Snafu;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::call_load::{BookingLog, SoakCaller};
use crate::fault_schedule::{FaultSchedule, FaultTarget, PlannedFault, ProcessFault};
use crate::operator_load::SoakOperator;
use crate::soak_cluster::{ClusterError, SoakCluster};
use crate::soak_process::{ProcessError, SoakProcess};
use crate::soak_report::SoakReport;

/// Number of concurrent callers.
const CALLERS: u64 = 6;

/// Time within which a new cluster, or one whose faults have ended, must accept a document and
/// serve calls at every entry.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Folder that holds the programs.
    pub programs: PathBuf,
    /// Seed of the fault schedule and of the callers.
    pub seed: u64,
    /// Time within which faults start; those that run at its end still last as planned.
    pub length: Duration,
    /// Whether the callers' organisation has limits; these are far above what the callers need.
    pub limits: bool,
}

/// A run could not be completed.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// The cluster cannot start.
    #[snafu(transparent)]
    Cluster {
        /// Cause.
        source: ClusterError,
    },
    /// A process cannot be started again at the end of a fault.
    #[snafu(transparent)]
    Process {
        /// Cause.
        source: ProcessError,
    },
}

/// Fault schedule of a run with these options.
pub fn schedule_of(options: &SoakOptions) -> FaultSchedule {
    SoakCluster::schedule(options.seed, options.length)
}

/// Runs one seed. The report lists violated guarantees, including a cluster that does not serve
/// before or after the faults.
///
/// # Errors
///
/// Returns [`SoakError`] if the cluster or one of its processes cannot be started.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let mut cluster = SoakCluster::start(&options.programs, options.seed).await?;
    let report = Arc::new(Mutex::new(SoakReport::default()));
    let mut operator = SoakOperator::new(
        cluster.control(),
        cluster.secret_file(),
        cluster.folder.path(),
        Arc::clone(&report),
    );
    operator.limits = options.limits;
    let log = Arc::new(BookingLog::default());
    if !wait_until_serving(&cluster, &mut operator, options.seed).await {
        let text = "the cluster does not serve before any fault".to_owned();
        return Ok(finish(&mut cluster, &log, &report, Some(text)));
    }
    let schedule = schedule_of(options);
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let caller = caller(&cluster, options.seed, number, &log, &report);
        callers.spawn(caller.run(Arc::clone(&stop)));
    }
    let operator_task = tokio::spawn(operator.run(Arc::clone(&stop)));
    inject(&mut cluster, &schedule, &report).await?;
    end_faults(&mut cluster, &report)?;
    stop.store(true, Ordering::SeqCst);
    while callers.join_next().await.is_some() {}
    let mut failure = None;
    match operator_task.await {
        Ok(mut operator) => {
            if !wait_until_serving(&cluster, &mut operator, options.seed).await {
                failure = Some("the cluster does not serve after its faults have ended".to_owned());
            }
        }
        Err(error) => failure = Some(format!("the operator failed: {error}")),
    }
    Ok(finish(&mut cluster, &log, &report, failure))
}

fn caller(
    cluster: &SoakCluster,
    seed: u64,
    number: u64,
    log: &Arc<BookingLog>,
    report: &Arc<Mutex<SoakReport>>,
) -> SoakCaller {
    SoakCaller {
        number,
        seed,
        entries: cluster.entries(),
        client: HttpClient::default(),
        log: Arc::clone(log),
        report: Arc::clone(report),
    }
}

/// Checks the bookings and completes the report; keeps the folder of the run if a guarantee is
/// violated.
fn finish(
    cluster: &mut SoakCluster,
    log: &BookingLog,
    report: &Mutex<SoakReport>,
    failure: Option<String>,
) -> SoakReport {
    let mut report = report.lock().expect("no holder of the report panics");
    log.check(&cluster.ledgers, &mut report);
    report.violations.extend(failure);
    report.folder = (!report.violations.is_empty()).then(|| cluster.keep_folder());
    report.clone()
}

/// Injects the faults of a schedule, which may overlap. If two faults affect the same process or
/// link, the end of the first one can end the second one early. A process that is slow to stop
/// delays the faults after it.
async fn inject(
    cluster: &mut SoakCluster,
    schedule: &FaultSchedule,
    report: &Mutex<SoakReport>,
) -> Result<(), SoakError> {
    let start = Instant::now();
    let mut steps: Vec<(Duration, PlannedFault, bool)> = Vec::new();
    for fault in &schedule.0 {
        steps.push((fault.at, *fault, true));
        steps.push((fault.at + fault.duration, *fault, false));
    }
    steps.sort_by_key(|(at, _, _)| *at);
    for (at, fault, begins) in steps {
        sleep_until(start + at).await;
        match fault.target {
            FaultTarget::Link(index, kind) => {
                cluster.links[index].set_fault(begins.then_some(kind));
            }
            FaultTarget::Process(index, kind) => {
                let process = &mut cluster.processes[index];
                apply_process_fault(process, kind, begins, report).await?;
            }
        }
    }
    Ok(())
}

/// Starts a fault of a process, or ends it if `begins` is false.
async fn apply_process_fault(
    process: &mut SoakProcess,
    kind: ProcessFault,
    begins: bool,
    report: &Mutex<SoakReport>,
) -> Result<(), ProcessError> {
    match (kind, begins) {
        (ProcessFault::Pause, true) => process.pause(),
        (ProcessFault::Pause, false) => process.resume(),
        (ProcessFault::Kill, true) => process.kill(),
        (ProcessFault::Terminate, true) => {
            if !process.stop().await {
                let mut report = report.lock().expect("no holder of the report panics");
                report.count_failure(&format!("{} was slow to stop", process.name));
            }
        }
        (ProcessFault::Kill | ProcessFault::Terminate, false) => process.ensure_started()?,
    }
    Ok(())
}

/// Ends all faults, and starts all processes that do not run.
fn end_faults(cluster: &mut SoakCluster, report: &Mutex<SoakReport>) -> Result<(), ProcessError> {
    for link in &cluster.links {
        link.set_fault(None);
    }
    for process in &mut cluster.processes {
        process.resume();
        if process.has_exited() {
            // A process exits when it cannot continue, and relies on a supervisor that restarts it.
            let mut report = report.lock().expect("no holder of the report panics");
            report.count_failure(&format!(
                "{} exited although no fault had stopped it",
                process.name
            ));
            process.kill();
        }
        process.ensure_started()?;
    }
    Ok(())
}

/// Waits until a document is accepted and read back and every entry answers a booking and a stream;
/// returns false if that takes longer than [`RECOVERY_LIMIT`].
async fn wait_until_serving(cluster: &SoakCluster, operator: &mut SoakOperator, seed: u64) -> bool {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    while !(operator.submit().await && operator.read().await) {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(Duration::from_millis(100)).await;
    }
    for (number, entry) in cluster.entries().into_iter().enumerate() {
        loop {
            let probe_report = Arc::new(Mutex::new(SoakReport::default()));
            let log = Arc::new(BookingLog::default());
            let caller_number = u64::MAX - number as u64;
            let mut caller = caller(cluster, seed, caller_number, &log, &probe_report);
            caller.entries = vec![entry];
            if caller.probe().await {
                break;
            }
            if Instant::now() >= deadline {
                return false;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
    true
}
