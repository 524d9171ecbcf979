//! Test fleet: a stand-in platform, the targets of a configuration and entry processes, each as a
//! process of its own.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::Method;
use thymeshift_config::Configuration;
use thymeshift_wire::StateDump;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::experiment::children::Child;
use crate::experiment::children::ChildError;
use crate::experiment::children::sibling_program;
use crate::http_client::RequestError;
use crate::http_client::send_request;
use crate::standin::Behaviour;
use crate::standin::LedgerEntry;
use crate::standin::PlatformMode;
use crate::standin::StatementViolations;

/// Maximum time until a started entry process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between two readiness checks of an entry process.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of running peers that the settings of a new entry process list.
const CONFIGURED_PEERS_MAX: usize = 3;

/// Error of starting or using a test fleet.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// A child process could not be started or used.
    #[display("{_0}")]
    Child(ChildError),
    /// An HTTP request to a stand-in or an entry process failed.
    #[display("{_0}")]
    Request(RequestError),
    /// A file could not be read or written.
    #[display("{_0}")]
    Io(std::io::Error),
    /// JSON could not be encoded or decoded.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A control connection could not be opened.
    #[display("{_0}")]
    Link(thymeshift_wire::LinkError),
    /// A remote call over a control connection failed.
    #[display("{_0}")]
    Call(tarpc::client::RpcError),
    /// A configuration is invalid.
    #[display("{_0}")]
    Configuration(thymeshift_config::Mistakes),
    /// An entry process did not become ready, or did not stop, in time.
    #[display("an entry process was not ready within {READY_TIMEOUT:?}, see its log")]
    NotReady,
}

/// Composition of a test fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Configuration to publish. The addresses of its targets are replaced by those of the
    /// stand-in targets.
    pub configuration: Configuration,
    /// Number of entry processes.
    pub entries: usize,
    /// Mean service time of each service's targets, in microseconds, by name.
    pub service_us: BTreeMap<String, u64>,
    /// Maximum number of requests that wait in the queue of a target.
    pub target_queue_max: u32,
    /// One-way network delay between entry processes and targets, in microseconds.
    pub one_way_us: u64,
    /// Seed from which each target derives its random service times.
    pub seed: u64,
    /// Folder for logs and settings.
    pub folder: PathBuf,
    /// Number of worker threads of each entry process.
    pub worker_threads: u64,
    /// Whether entry processes exchange datagrams and act as allocators for each other.
    pub has_datagrams: bool,
}

/// Process of a stand-in target.
pub struct TargetChild {
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Name of the target in the configuration.
    pub name: String,
    /// Child process with the target's data and control addresses.
    pub child: Child,
}

impl TargetChild {
    /// Sets the behaviour of the target through its control port.
    pub async fn set_behaviour(&self, behaviour: &Behaviour) -> Result<(), FleetError> {
        let body = serde_json::to_vec(behaviour)?;
        send_request(self.child.address("control")?, Method::PUT, "/behaviour", body).await?;
        Ok(())
    }

    /// Sets the rate limit that the target states in its answers, in requests per second; none
    /// removes the limit.
    pub async fn set_stated_limit(&self, limit_per_s: Option<f64>) -> Result<(), FleetError> {
        let body = serde_json::to_vec(&limit_per_s)?;
        send_request(self.child.address("control")?, Method::PUT, "/limit", body).await?;
        Ok(())
    }

    /// Returns the largest number of requests that reached the target within one window of its
    /// stated limit, as a ratio of the allowed number.
    pub async fn worst_window(&self) -> Result<f64, FleetError> {
        let answer =
            send_request(self.child.address("control")?, Method::GET, "/limit", "").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Returns the requests that reached the target although it had announced that it is leaving
    /// or had asked for a backoff, by the entry process that sent them.
    pub async fn disregarded(&self) -> Result<HashMap<String, StatementViolations>, FleetError> {
        let answer =
            send_request(self.child.address("control")?, Method::GET, "/statements", "").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Returns the ledger of the target: how often each request was begun and finished, by nonce.
    pub async fn ledger(&self) -> Result<BTreeMap<String, LedgerEntry>, FleetError> {
        let answer =
            send_request(self.child.address("control")?, Method::GET, "/ledger", "").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }
}

/// Running test fleet.
pub struct Fleet {
    /// Process of the stand-in platform.
    pub platform: Child,
    /// Processes of the stand-in targets, in the order of the configuration.
    pub targets: Vec<TargetChild>,
    /// Entry processes, oldest first.
    pub entries: Vec<Child>,
    /// Configuration with the addresses of the stand-in targets.
    pub configuration: Configuration,
    /// Address, such as a proxy's, that entry processes started from now on use for the platform;
    /// none uses the platform's own address.
    pub platform_address_override: Option<SocketAddr>,
    plan: FleetPlan,
    started: usize,
    /// Source addresses of the entry processes' connections to targets, by process id.
    sources: HashMap<u32, Ipv4Addr>,
}

impl Fleet {
    /// Starts all processes of the plan and publishes the configuration and the VM list, both as
    /// revision 1.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        fs::create_dir_all(&plan.folder)?;
        let own = sibling_program("thymeshift-lab")?;
        let log = plan.folder.join("platform.log");
        let platform = Child::start(&own, &["platform"], &log).await?;
        let mut configuration = plan.configuration.clone();
        let mut targets = Vec::new();
        for service in &mut configuration.services {
            let service_us = plan.service_us.get(service.name.as_str()).copied();
            for target in &mut service.targets {
                let name = target.name.to_string();
                let seed = plan.seed.wrapping_mul(1_000) + targets.len() as u64;
                let probe_us = service.probe.as_ref().map_or(0, |probe| probe.cost_us);
                let arguments = [
                    format!("--slots={}", service.slots_per_target),
                    format!("--queue-max={}", plan.target_queue_max),
                    format!("--service-us={}", service_us.unwrap_or(8_000)),
                    format!("--one-way-us={}", plan.one_way_us),
                    format!("--probe-us={probe_us}"),
                    format!("--seed={seed}"),
                ];
                let mut words = vec!["target"];
                words.extend(arguments.iter().map(String::as_str));
                let log = plan.folder.join(format!("{name}.log"));
                let child = Child::start(&own, &words, &log).await?;
                target.address = child.address("data")?;
                targets.push(TargetChild { service: service.name.to_string(), name, child });
            }
        }
        let mut fleet = Self {
            platform,
            targets,
            entries: Vec::new(),
            configuration,
            platform_address_override: None,
            plan,
            started: 0,
            sources: HashMap::new(),
        };
        fleet.publish(1).await?;
        for _ in 0..fleet.plan.entries {
            let entry = fleet.start_entry().await?;
            fleet.entries.push(entry);
        }
        fleet.publish_vms(1).await?;
        Ok(fleet)
    }

    /// Starts another entry process, whose settings list some of the running entry processes as
    /// peers, and waits until it is ready. The caller adds it to [`Fleet::entries`].
    pub async fn start_entry(&mut self) -> Result<Child, FleetError> {
        self.started += 1;
        let number = self.started;
        let halls = &self.configuration.data_halls;
        let hall = &halls[number % halls.len()];
        let peers = self.entries.iter().rev().take(CONFIGURED_PEERS_MAX);
        let peers: Result<Vec<String>, ChildError> =
            peers.map(|peer| Ok(peer.address("peer")?.to_string())).collect();
        let platform = match self.platform_address_override {
            Some(address) => address,
            None => self.platform.address("data")?,
        };
        let ip = entry_address();
        let source = target_source_address(number);
        let datagrams = if self.plan.has_datagrams {
            format!("datagram_address: {ip}:0\ntarget_source_address: {source}\n")
        } else {
            String::new()
        };
        let settings = format!(
            "vm: entry-{number:03}\ndata_hall: {hall}\ncaller_address: {ip}:0\n\
             peer_address: {ip}:0\ncontrol_address: {ip}:0\n\
             observe_address: {ip}:0\nplatform_address: {}\npeers: [{}]\n\
             worker_threads: {}\nstop_readiness_lag_ms: 300\nstop_bound_ms: 20000\n{datagrams}",
            platform,
            peers?.join(", "),
            self.plan.worker_threads,
        );
        let path = self.plan.folder.join(format!("entry-{number:03}.yaml"));
        fs::write(&path, settings)?;
        let log = self.plan.folder.join(format!("entry-{number:03}.log"));
        let program = sibling_program("thymeshiftd")?;
        let path = path.display().to_string();
        let child = Child::start(&program, &["run", "--settings", &path], &log).await?;
        wait_ready(&child).await?;
        if let Some(id) = child.id().filter(|_| self.plan.has_datagrams) {
            self.sources.insert(id, source);
        }
        Ok(child)
    }

    /// Returns the source address of an entry process's connections to targets, by which targets
    /// tell the processes apart; none if the fleet has no datagrams or the process has ended.
    pub fn source_address(&self, entry: &Child) -> Option<Ipv4Addr> {
        self.sources.get(&entry.id()?).copied()
    }

    /// Publishes the current value of [`Fleet::configuration`] under this revision.
    pub async fn publish(&self, revision: u64) -> Result<(), FleetError> {
        let text = serde_json::to_vec(&self.configuration)?;
        self.publish_document("configuration", revision, text).await
    }

    /// Publishes the peer addresses of [`Fleet::entries`] as the platform's VM list.
    pub async fn publish_vms(&self, revision: u64) -> Result<(), FleetError> {
        let mut list = String::new();
        for entry in &self.entries {
            list.push_str(&entry.address("peer")?.to_string());
            list.push('\n');
        }
        self.publish_document("vms", revision, list.into_bytes()).await
    }

    async fn publish_document(
        &self,
        name: &str,
        revision: u64,
        text: Vec<u8>,
    ) -> Result<(), FleetError> {
        let path = format!("/documents/{name}?revision={revision}");
        send_request(self.platform.address("control")?, Method::PUT, &path, text).await?;
        Ok(())
    }

    /// Sets the fault mode of the platform; [`PlatformMode::Normal`] ends a fault.
    pub async fn set_platform_mode(&self, mode: PlatformMode) -> Result<(), FleetError> {
        let body = serde_json::to_vec(&mode)?;
        send_request(self.platform.address("control")?, Method::PUT, "/mode", body).await?;
        Ok(())
    }

    /// Returns the number of calls that the platform has received so far.
    pub async fn platform_calls(&self) -> Result<u64, FleetError> {
        let answer =
            send_request(self.platform.address("control")?, Method::GET, "/calls", "").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Returns the addresses at which the entry processes accept callers.
    pub fn caller_addresses(&self) -> Result<Vec<SocketAddr>, FleetError> {
        let addresses = self.entries.iter().map(|entry| entry.address("caller"));
        Ok(addresses.collect::<Result<_, ChildError>>()?)
    }
}

/// Returns the loopback address of the entry processes of all fleets of this program. Each program has
/// its own, because the port of a stopped process may be given to a process of another program's
/// fleet, which the peers of the stopped one would then take for it.
fn entry_address() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1, high, low)
}

/// Returns the source address of connections to targets of the entry process with this number.
fn target_source_address(number: usize) -> Ipv4Addr {
    let [_, _, _, .., high, low] = number.to_be_bytes();
    Ipv4Addr::new(127, 4, high, low)
}

/// Waits until the readiness endpoint of an entry process reports success, or fails after 15 s.
pub async fn wait_ready(entry: &Child) -> Result<(), FleetError> {
    let observe = entry.address("observe")?;
    let waiting = async {
        while !send_request(observe, Method::GET, "/ready", "").await?.status().is_success() {
            sleep(READY_CHECK_INTERVAL).await;
        }
        Ok(())
    };
    timeout(READY_TIMEOUT, waiting).await.unwrap_or(Err(FleetError::NotReady))
}

/// Fetches the state dump of an entry process through its control port.
pub async fn dump(entry: &Child) -> Result<StateDump, FleetError> {
    let limit = Duration::from_secs(2);
    let client = thymeshift_wire::connect_control(entry.address("control")?, limit).await?;
    Ok(client.dump(tarpc::context::current()).await?)
}
