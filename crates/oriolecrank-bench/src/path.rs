//! `bench path`: latency, CPU time and memory that entry and agent add to a completion.
//!
//! A cluster runs in this process over loopback. Callers send streamed completions through the
//! entry and, in the same run, directly to the same fake engines. The difference is the cost of
//! entry and agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use oriolecrank_fakes::EngineOptions;
use oriolecrank_local::{LOCAL_KEY, LocalCluster, LocalOptions};
use oriolecrank_net::{ClientResponse, ClientSettings, HttpClient};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu, whatever};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::arguments::BenchArguments;
use crate::measurement::{Measurement, Target, size};

/// Target for the 99th percentile of the latency that entry and agent add to the first token, in
/// milliseconds.
const ADDED_LATENCY_TARGET_MS: f64 = 2.0;

/// Output tokens of a completion whose rate or latency is measured.
const TOKENS: u64 = 8;

/// Output tokens of a stream whose memory is measured: few enough to take one block of engine
/// memory, so that all streams can run at the same time, and enough that none ends during the
/// measurement.
const STREAM_TOKENS: u64 = 600;

/// Number of concurrent callers in the measurement of the highest rate.
const CALLERS: usize = 256;

/// Time limit for the start of the cluster, a connection, the head of an answer and the first
/// token.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which streams transfer further tokens before their memory is measured.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Size of the pages in which Linux counts resident memory, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Error that prevents a measurement from finishing.
#[derive(Debug, Snafu)]
enum PathError {
    #[snafu(whatever, display("{message}{}", cause(source.as_deref())))]
    Failed {
        /// Description of the failed step.
        message: String,
        #[snafu(source(from(Box<dyn std::error::Error + Send + Sync>, Some)))]
        source: Option<Box<dyn std::error::Error + Send + Sync>>,
    },
}

/// Formats the cause of an error as a suffix of its message.
fn cause(source: Option<&(dyn std::error::Error + Send + Sync + 'static)>) -> String {
    source
        .map(|source| format!(": {source}"))
        .unwrap_or_default()
}

/// Route of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallRoute {
    /// Directly to an engine.
    Direct,
    /// Through entry and agent to an engine.
    Cluster,
}

/// Sizes of a run.
#[derive(Debug, Clone)]
struct PathSizes {
    /// Duration of each measurement of the highest rate.
    saturation: Duration,
    /// Duration of the measurement of latencies.
    latency: Duration,
    /// Number of streams whose memory is measured.
    streams: usize,
}

/// Runs the measurement and returns whether the targets are met.
pub fn run(arguments: &BenchArguments) -> bool {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime can be started");
    let sizes = if arguments.quick {
        PathSizes {
            saturation: Duration::from_secs(1),
            latency: Duration::from_secs(2),
            streams: 50,
        }
    } else {
        PathSizes {
            saturation: Duration::from_secs(4),
            latency: Duration::from_secs(15),
            streams: 200,
        }
    };
    match runtime.block_on(measure(arguments.seed, &sizes)) {
        Ok(passed) => passed,
        Err(error) => {
            eprintln!("oriolecrank-bench path: {error}");
            false
        }
    }
}

async fn measure(seed: u64, sizes: &PathSizes) -> Result<bool, PathError> {
    let engine = EngineOptions {
        first_token: Duration::from_millis(5),
        between_tokens: Duration::from_millis(1),
    };
    let bench = PathBench::start(engine).await?;
    let direct = bench.saturate(CallRoute::Direct, sizes.saturation).await?;
    let cluster = bench.saturate(CallRoute::Cluster, sizes.saturation).await?;
    report_rates(seed, direct, cluster);
    let rate = cluster.calls_per_s / 2.0;
    let latencies = bench.latencies(rate, sizes.latency, seed).await?;
    let passed = report_latencies(seed, rate, &latencies);
    bench.stop().await;
    measure_memory(seed, sizes.streams).await?;
    Ok(passed)
}

/// A running cluster and the client of its callers.
#[derive(Debug)]
struct PathBench {
    cluster: LocalCluster,
    client: HttpClient,
    /// Data folder of the cluster, deleted on drop.
    _folder: tempfile::TempDir,
}

/// Highest rate on one route, and its CPU time.
#[derive(Debug, Clone, Copy)]
struct SaturationRate {
    calls_per_s: f64,
    /// CPU time of the whole process for each call, callers and engines included.
    cpu_per_call: Duration,
}

/// Times to the first token, in microseconds.
#[derive(Debug)]
struct PathLatencies {
    direct: Histogram<u64>,
    cluster: Histogram<u64>,
}

impl PathBench {
    async fn start(engine: EngineOptions) -> Result<Self, PathError> {
        let folder = tempfile::tempdir().whatever_context("cannot create a temporary folder")?;
        let options = LocalOptions {
            data_folder: folder.path().to_owned(),
            engine,
            ..LocalOptions::default()
        };
        let cluster = LocalCluster::start(options).await;
        let settings = ClientSettings {
            connect_timeout: STEP_TIMEOUT,
            idle_per_address: 1_024,
            ..ClientSettings::default()
        };
        let bench = Self {
            cluster: cluster.whatever_context("the local cluster cannot start")?,
            client: HttpClient::new(settings),
            _folder: folder,
        };
        bench.wait_ready().await?;
        Ok(bench)
    }

    async fn stop(self) {
        self.cluster.stop().await;
    }

    async fn wait_ready(&self) -> Result<(), PathError> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while self.caller(CallRoute::Cluster).call(1).await.is_err() {
            if Instant::now() > deadline {
                whatever!(
                    "no completion through the entry succeeded within {STEP_TIMEOUT:?} of the start"
                );
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    fn caller(&self, route: CallRoute) -> PathCaller {
        let addresses = match route {
            CallRoute::Direct => self.cluster.engine_addresses.clone(),
            CallRoute::Cluster => vec![self.cluster.caller_address],
        };
        PathCaller {
            client: self.client.clone(),
            addresses: addresses.into(),
        }
    }

    /// Measures the highest rate: [`CALLERS`] callers send calls one after another for `length`.
    async fn saturate(
        &self,
        route: CallRoute,
        length: Duration,
    ) -> Result<SaturationRate, PathError> {
        let (cpu, start) = (process_cpu_time(), Instant::now());
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            let caller = self.caller(route);
            callers.spawn(async move {
                let mut calls = 0_u32;
                while start.elapsed() < length {
                    caller.call(TOKENS).await?;
                    calls += 1;
                }
                Ok::<_, PathError>(calls)
            });
        }
        let mut calls = 0;
        for result in callers.join_all().await {
            calls += result?;
        }
        let cpu = process_cpu_time().saturating_sub(cpu);
        Ok(SaturationRate {
            calls_per_s: f64::from(calls) / start.elapsed().as_secs_f64(),
            cpu_per_call: cpu / calls.max(1),
        })
    }

    /// Measures times to the first token. Calls start at random times with the given mean rate, in
    /// calls per second, and each one takes a random route.
    async fn latencies(
        &self,
        rate: f64,
        length: Duration,
        seed: u64,
    ) -> Result<PathLatencies, PathError> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut calls = JoinSet::new();
        let start = Instant::now();
        let mut due = Duration::ZERO;
        while due < length {
            due += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate);
            let route = if rng.random::<bool>() {
                CallRoute::Direct
            } else {
                CallRoute::Cluster
            };
            sleep_until(start + due).await;
            let caller = self.caller(route);
            calls.spawn(async move { caller.call(TOKENS).await.map(|time| (route, time)) });
        }
        let mut latencies = PathLatencies {
            direct: new_histogram()?,
            cluster: new_histogram()?,
        };
        for result in calls.join_all().await {
            let (route, time) = result?;
            let histogram = match route {
                CallRoute::Direct => &mut latencies.direct,
                CallRoute::Cluster => &mut latencies.cluster,
            };
            let recorded = histogram.record(time.as_micros() as u64);
            recorded.whatever_context("a latency is out of the range of the histogram")?;
        }
        Ok(latencies)
    }
}

/// Sends completions on one route.
#[derive(Debug, Clone)]
struct PathCaller {
    client: HttpClient,
    addresses: Arc<[SocketAddr]>,
}

impl PathCaller {
    /// Runs one streamed completion to its end and returns the time to the first token.
    async fn call(&self, tokens: u64) -> Result<Duration, PathError> {
        let start = Instant::now();
        let mut response = self.open(tokens).await?;
        wait_first_token(&mut response).await?;
        let time = start.elapsed();
        let mut tail = Bytes::new();
        while let Some(frame) = response.body_mut().frame().await {
            let frame = frame.whatever_context("the answer was cut off after its first token")?;
            if let Ok(data) = frame.into_data() {
                tail = data;
            }
        }
        if !tail.ends_with(b"data: [DONE]\n\n") {
            whatever!("the answer does not end with `data: [DONE]`");
        }
        response.recycle();
        Ok(time)
    }

    /// Starts a streamed completion; returns when the head of the answer has arrived.
    async fn open(&self, tokens: u64) -> Result<ClientResponse, PathError> {
        let address = self.addresses[rand::rng().random_range(0..self.addresses.len())];
        let messages = json!([{ "role": "user", "content": "is vat 7 cured?" }]);
        let body = json!({
            "model": "demo", "messages": messages, "stream": true, "max_tokens": tokens,
        });
        let request = Request::post("/v1/chat/completions")
            .header("host", address.to_string())
            .header("authorization", format!("Bearer {LOCAL_KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .whatever_context("cannot build the request")?;
        let sent = self.client.send(address, request, STEP_TIMEOUT).await;
        let response = sent.whatever_context("cannot send the request")?;
        if response.status() != StatusCode::OK {
            whatever!("expected status 200, got {}", response.status());
        }
        Ok(response)
    }
}

/// Waits for the first token of an answer.
async fn wait_first_token(response: &mut ClientResponse) -> Result<(), PathError> {
    let frame = timeout(STEP_TIMEOUT, response.body_mut().frame()).await;
    let frame = frame.whatever_context("timed out waiting for the first token")?;
    let frame = frame.whatever_context("the answer ended before its first token")?;
    frame.whatever_context("the answer was cut off before its first token")?;
    Ok(())
}

fn new_histogram() -> Result<Histogram<u64>, PathError> {
    Histogram::new(3).whatever_context("cannot create a histogram")
}

/// CPU time that this process has used.
fn process_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

fn report_rates(seed: u64, direct: SaturationRate, cluster: SaturationRate) {
    let measurement = |measure: &str, value: f64, unit| Measurement {
        measure: measure.to_owned(),
        size: size([("callers", CALLERS as u64), ("tokens", TOKENS)]),
        value,
        unit,
        target: None,
        seed,
    };
    measurement("path_rate_direct", direct.calls_per_s, "requests/s").print();
    measurement("path_rate", cluster.calls_per_s, "requests/s").print();
    // Callers and engines use the same CPU time on both routes, so the difference is that of entry
    // and agent.
    let added = cluster.cpu_per_call.saturating_sub(direct.cpu_per_call);
    let added_us = added.as_secs_f64() * 1e6;
    measurement("path_cpu_per_request", added_us, "us").print();
    let per_core = 1.0 / added.as_secs_f64().max(1e-9);
    measurement("path_rate_per_core", per_core, "requests/s").print();
}

fn report_latencies(seed: u64, rate: f64, latencies: &PathLatencies) -> bool {
    let mut passed = true;
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let direct = latencies.direct.value_at_quantile(quantile) as f64 / 1e3;
        let cluster = latencies.cluster.value_at_quantile(quantile) as f64 / 1e3;
        let sizes = size([
            ("requests_per_s", rate as u64),
            ("calls", latencies.cluster.len()),
        ]);
        let measurement = |measure: String, value, target| Measurement {
            measure,
            size: sizes.clone(),
            value,
            unit: "ms",
            target,
            seed,
        };
        measurement(format!("path_first_token_direct_{name}"), direct, None).print();
        let target = (name == "p99").then_some(Target::AtMost(ADDED_LATENCY_TARGET_MS));
        let added = measurement(
            format!("path_first_token_added_{name}"),
            cluster - direct,
            target,
        );
        passed &= added.print();
    }
    passed
}

/// Prints the memory that entry and agent use for each stream: the difference between streams
/// through the cluster and direct streams.
async fn measure_memory(seed: u64, streams: usize) -> Result<(), PathError> {
    let idle = EngineOptions {
        first_token: Duration::from_millis(1),
        // Below the idle timeout of agents on the connections to their engines.
        between_tokens: Duration::from_millis(500),
    };
    let running = EngineOptions {
        first_token: Duration::from_millis(1),
        between_tokens: Duration::from_millis(50),
    };
    for (name, engine) in [("idle", idle), ("running", running)] {
        let bench = PathBench::start(engine).await?;
        let direct = bench.stream_memory(CallRoute::Direct, streams).await?;
        let cluster = bench.stream_memory(CallRoute::Cluster, streams).await?;
        let measurement = Measurement {
            measure: format!("path_memory_per_{name}_stream"),
            size: size([("streams", streams as u64)]),
            value: (cluster - direct) / streams as f64 / 1_024.0,
            unit: "KiB",
            target: None,
            seed,
        };
        measurement.print();
        // A graceful stop would wait for the streams, which last longer than its time limit.
        drop(bench);
    }
    Ok(())
}

impl PathBench {
    /// Growth of the resident memory, in bytes, when `streams` streams are opened.
    ///
    /// The same number of streams is opened before, so that pools and buffers that all streams
    /// share are not counted.
    async fn stream_memory(&self, route: CallRoute, streams: usize) -> Result<f64, PathError> {
        let _first = self.open_streams(route, streams).await?;
        let before = resident_bytes()?;
        let _second = self.open_streams(route, streams).await?;
        Ok(resident_bytes()? - before)
    }

    /// Opens streams and waits until each has sent its first token and some more.
    async fn open_streams(
        &self,
        route: CallRoute,
        streams: usize,
    ) -> Result<Vec<ClientResponse>, PathError> {
        let caller = self.caller(route);
        let mut open = Vec::with_capacity(streams);
        for _ in 0..streams {
            let mut response = caller.open(STREAM_TOKENS).await?;
            wait_first_token(&mut response).await?;
            open.push(response);
        }
        sleep(SETTLE_TIME).await;
        Ok(open)
    }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> Result<f64, PathError> {
    let text = std::fs::read_to_string("/proc/self/statm");
    let text = text.whatever_context("cannot read /proc/self/statm")?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    let pages: f64 =
        pages.whatever_context("/proc/self/statm does not contain the resident size")?;
    Ok(pages * PAGE_BYTES)
}
