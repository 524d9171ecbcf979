//! Cost of the request path through one entry process with one worker thread: throughput, added
//! latency compared with direct requests to the target, and memory for each connection.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use thymeshift_config::Configuration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::experiment::children::Child;
use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;
use crate::experiment::fleet::FleetPlan;
use crate::experiment::single::TempFolder;
use crate::experiment::usage::usage;
use crate::load::EntryAddresses;
use crate::load::KindLoad;
use crate::load::KindResult;
use crate::load::LoadPlan;
use crate::load::run;
use crate::load::run_closed;
use crate::standin::Behaviour;

/// Number of connections of the closed-loop load.
const CLOSED_CONNECTIONS: usize = 64;
/// Number of connections whose memory is measured together and divided by this count.
const MEMORY_CONNECTIONS: usize = 500;
/// Delay of the target's answer while the memory of busy connections is measured, in milliseconds.
const BUSY_ANSWER_DELAY_MS: u64 = 3_000;

const CONFIGURATION: &str = "
entry_vms_max: 1
data_halls: [a]
limits: { caller_connections_max: 5000, header_read_timeout_ms: 60000 }
services:
  - name: echo
    slots_per_target: 2000
    connections_per_target: 4000
    targets: [{ name: echo-1, address: 127.0.0.1:1, data_hall: a }]
kinds:
  - { name: echo, service: echo, priority: 1, deadline_ms: 10000, repeat: safe, attempts_max: 1 }
";

/// Latency at one request rate, direct and through the entry process.
struct Latency {
    rate_per_s: f64,
    direct: KindResult,
    through: KindResult,
}

/// Cost of the request path through an entry process.
pub struct PathCost {
    direct_per_s: f64,
    through_per_s: f64,
    per_core_s: f64,
    latencies: Vec<Latency>,
    idle_kib: f64,
    busy_kib: f64,
}

impl fmt::Display for PathCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "closed loop, {CLOSED_CONNECTIONS} connections: direct {:.0}/s, through one worker {:.0}/s",
            self.direct_per_s, self.through_per_s
        )?;
        writeln!(
            f,
            "requests for each second of processor time of the entry process: {:.0}",
            self.per_core_s
        )?;
        for latency in &self.latencies {
            let (direct, through) = (&latency.direct, &latency.through);
            writeln!(
                f,
                "open loop at {:.0}/s ({} of {} answered):",
                latency.rate_per_s, through.answered, through.sent
            )?;
            for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
                let (direct, through) = (direct.latency_us(quantile), through.latency_us(quantile));
                let added = through.cast_signed() - direct.cast_signed();
                writeln!(
                    f,
                    "  {name:<6} direct {direct:>6} us, through {through:>6} us, added {added:>6} us"
                )?;
            }
        }
        writeln!(
            f,
            "memory for each idle connection of a caller {:.1} KiB, for each busy one {:.1} KiB",
            self.idle_kib, self.busy_kib
        )
    }
}

fn kind(rate_per_s: f64) -> KindLoad {
    KindLoad {
        name: "echo".to_owned(),
        method: Method::GET,
        path: "/echo".to_owned(),
        rate_per_s,
        answer_bytes: 64,
        request_bytes: 0,
        in_time_ms: 1_000,
    }
}

/// Measures the cost of the request path; each load runs for `seconds`.
pub async fn path_cost(seconds: u64) -> Result<PathCost, FleetError> {
    let folder = TempFolder::new()?;
    let plan = FleetPlan {
        configuration: Configuration::parse(CONFIGURATION)?,
        entries: 1,
        service_us: [("echo".to_owned(), 0)].into(),
        target_queue_max: 4_000,
        one_way_us: 0,
        seed: 1,
        folder: folder.path().clone(),
        worker_threads: 1,
        has_datagrams: false,
    };
    let fleet = Fleet::start(plan).await?;
    let target = fleet.targets[0].child.address("data")?;
    let entry = &fleet.entries[0];
    let caller = entry.address("caller")?;
    let duration = Duration::from_secs(seconds);
    let per_s = |count: u64| count as f64 / duration.as_secs_f64();
    let direct_per_s = per_s(run_closed(target, &kind(1.0), CLOSED_CONNECTIONS, duration).await);
    let before = processor_time(entry)?;
    let through = run_closed(caller, &kind(1.0), CLOSED_CONNECTIONS, duration).await;
    let spent = processor_time(entry)?.saturating_sub(before);
    let through_per_s = per_s(through);
    let mut latencies = Vec::new();
    for share in [0.25, 0.75] {
        let rate_per_s = through_per_s * share;
        let direct = open_loop(target, rate_per_s, duration).await;
        let through = open_loop(caller, rate_per_s, duration).await;
        latencies.push(Latency { rate_per_s, direct, through });
    }
    let (idle_kib, busy_kib) = memory(&fleet).await?;
    let per_core_s = through as f64 / spent.as_secs_f64();
    Ok(PathCost { direct_per_s, through_per_s, per_core_s, latencies, idle_kib, busy_kib })
}

fn processor_time(child: &Child) -> Result<Duration, FleetError> {
    Ok(usage(child.id().unwrap_or(0))?.processor)
}

async fn open_loop(address: SocketAddr, rate_per_s: f64, duration: Duration) -> KindResult {
    let kinds = vec![kind(rate_per_s)];
    let plan = LoadPlan {
        entries: EntryAddresses::new(vec![address]),
        kinds,
        duration,
        seed: 7,
        one_way_us: 0,
        warm_connections: CLOSED_CONNECTIONS,
    };
    run(plan).await.kinds.remove(0)
}

/// Returns the memory of the entry process for one idle and for one busy caller connection, in KiB.
async fn memory(fleet: &Fleet) -> Result<(f64, f64), FleetError> {
    let entry = &fleet.entries[0];
    let id = entry.id().unwrap_or(0);
    let held = Behaviour { late_ms: BUSY_ANSWER_DELAY_MS, ..Behaviour::default() };
    let address = entry.address("caller")?;
    let before = usage(id)?.memory_kib;
    let idle = tokio::spawn(hold_idle(address));
    sleep(Duration::from_millis(1_500)).await;
    let with_idle = usage(id)?.memory_kib;
    idle.abort();
    fleet.targets[0].set_behaviour(&held).await?;
    let busy = tokio::spawn(async move {
        run_closed(address, &kind(1.0), MEMORY_CONNECTIONS, Duration::from_millis(100)).await
    });
    sleep(Duration::from_millis(BUSY_ANSWER_DELAY_MS / 2)).await;
    let with_busy = usage(id)?.memory_kib;
    busy.abort();
    let per_connection_kib =
        |with: u64| with.saturating_sub(before) as f64 / MEMORY_CONNECTIONS as f64;
    Ok((per_connection_kib(with_idle), per_connection_kib(with_busy)))
}

/// Holds idle caller connections open until the task is aborted, each after one answered request.
async fn hold_idle(address: SocketAddr) {
    let mut held = Vec::new();
    for _ in 0..MEMORY_CONNECTIONS {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            continue;
        };
        let request = b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n";
        if stream.write_all(request).await.is_ok() {
            let mut answer = [0; 1_024];
            let _ = stream.read(&mut answer).await;
        }
        held.push(stream);
    }
    std::future::pending::<()>().await;
}
