//! A platform, the targets of a configuration and some entry processes, each a process.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
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
use crate::standin::Disregarded;
use crate::standin::LedgerEntry;
use crate::standin::PlatformMode;

/// Longest time until an entry process is ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Time between two looks at it.
const READY_LOOK: Duration = Duration::from_millis(20);
/// Peers that a new entry process is told of.
const PEERS_TOLD: usize = 3;

/// A fleet that could not be put together or used.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// A process.
    #[display("{_0}")]
    Child(ChildError),
    /// A request to a stand-in or entry process.
    #[display("{_0}")]
    Request(RequestError),
    /// A file.
    #[display("{_0}")]
    Io(std::io::Error),
    /// JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A remote call.
    #[display("{_0}")]
    Link(thymeshift_wire::LinkError),
    /// A remote call.
    #[display("{_0}")]
    Call(tarpc::client::RpcError),
    /// A configuration.
    #[display("{_0}")]
    Configuration(thymeshift_config::Mistakes),
    /// An entry process that does not become ready.
    #[display("an entry process was not ready within {READY_LIMIT:?}, see its log")]
    NotReady,
}

/// What to put together.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The configuration; its targets' addresses are replaced by the stand-ins'.
    pub configuration: Configuration,
    /// Number of entry processes.
    pub entries: usize,
    /// Mean service time of each service's targets, in microseconds, by name.
    pub service_us: BTreeMap<String, u64>,
    /// Requests that may wait inside a target.
    pub target_queue_max: u32,
    /// One way between entry processes and targets, in microseconds.
    pub one_way_us: u64,
    /// Seed of service times.
    pub seed: u64,
    /// Where logs and settings are written.
    pub folder: PathBuf,
    /// Worker threads of an entry process.
    pub worker_threads: u64,
    /// Whether entry processes exchange datagrams, and allocate targets to each other.
    pub has_datagrams: bool,
}

/// A target's process.
pub struct TargetChild {
    /// Its service.
    pub service: String,
    /// Its name.
    pub name: String,
    /// Its process.
    pub child: Child,
}

impl TargetChild {
    /// Changes how it behaves.
    pub async fn set_behaviour(&self, behaviour: &Behaviour) -> Result<(), FleetError> {
        let body = serde_json::to_vec(behaviour)?;
        send_request(self.child.address("control")?, Method::PUT, "/behaviour", body).await?;
        Ok(())
    }

    /// Has its answers name a limit of requests a second, or none.
    pub async fn set_stated_limit(&self, limit_per_s: Option<f64>) -> Result<(), FleetError> {
        let body = serde_json::to_vec(&limit_per_s)?;
        send_request(self.child.address("control")?, Method::PUT, "/limit", body).await?;
        Ok(())
    }

    /// Most requests that it got in a window, in parts of what its limit allows.
    pub async fn worst_window(&self) -> Result<f64, FleetError> {
        let answer =
            send_request(self.child.address("control")?, Method::GET, "/limit", "").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// What reached it against what it had said, by the process that sent it.
    pub async fn disregarded(&self) -> Result<HashMap<String, Disregarded>, FleetError> {
        let answer =
            send_request(self.child.address("control")?, Method::GET, "/statements", "").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// What it ran.
    pub async fn ledger(&self) -> Result<BTreeMap<String, LedgerEntry>, FleetError> {
        let answer =
            send_request(self.child.address("control")?, Method::GET, "/ledger", "").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }
}

/// All processes.
pub struct Fleet {
    /// The platform.
    pub platform: Child,
    /// The targets.
    pub targets: Vec<TargetChild>,
    /// The entry processes.
    pub entries: Vec<Child>,
    /// The configuration with the stand-ins' addresses.
    pub configuration: Configuration,
    /// Where entry processes that start from now on reach the platform, if not directly.
    pub platform_address_override: Option<SocketAddr>,
    plan: FleetPlan,
    started: usize,
}

impl Fleet {
    /// Starts everything and publishes revision 1.
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
        };
        fleet.publish(1).await?;
        for _ in 0..fleet.plan.entries {
            let entry = fleet.start_entry().await?;
            fleet.entries.push(entry);
        }
        fleet.publish_vms(1).await?;
        Ok(fleet)
    }

    /// Starts one more entry process, which is told of some of those that run.
    pub async fn start_entry(&mut self) -> Result<Child, FleetError> {
        self.started += 1;
        let number = self.started;
        let halls = &self.configuration.data_halls;
        let hall = &halls[number % halls.len()];
        let peers = self.entries.iter().rev().take(PEERS_TOLD);
        let peers: Result<Vec<String>, ChildError> =
            peers.map(|peer| Ok(peer.address("peer")?.to_string())).collect();
        let platform = match self.platform_address_override {
            Some(address) => address,
            None => self.platform.address("data")?,
        };
        let datagrams =
            if self.plan.has_datagrams { "datagram_address: 127.0.0.1:0\n" } else { "" };
        let settings = format!(
            "vm: entry-{number:03}\ndata_hall: {hall}\ncaller_address: 127.0.0.1:0\n\
             peer_address: 127.0.0.1:0\ncontrol_address: 127.0.0.1:0\n\
             observe_address: 127.0.0.1:0\nplatform_address: {}\npeers: [{}]\n\
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
        Ok(child)
    }

    /// Publishes the configuration as it stands in `configuration`.
    pub async fn publish(&self, revision: u64) -> Result<(), FleetError> {
        let text = serde_json::to_vec(&self.configuration)?;
        self.publish_document("configuration", revision, text).await
    }

    /// Publishes the list of the entry processes that run.
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

    /// Causes or ends a fault of the platform.
    pub async fn set_platform_mode(&self, mode: PlatformMode) -> Result<(), FleetError> {
        let body = serde_json::to_vec(&mode)?;
        send_request(self.platform.address("control")?, Method::PUT, "/mode", body).await?;
        Ok(())
    }

    /// Calls to the platform so far.
    pub async fn platform_calls(&self) -> Result<u64, FleetError> {
        let answer =
            send_request(self.platform.address("control")?, Method::GET, "/calls", "").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Where callers connect.
    pub fn caller_addresses(&self) -> Result<Vec<SocketAddr>, FleetError> {
        let addresses = self.entries.iter().map(|entry| entry.address("caller"));
        Ok(addresses.collect::<Result<_, ChildError>>()?)
    }
}

/// Waits until an entry process is ready.
pub async fn wait_ready(entry: &Child) -> Result<(), FleetError> {
    let observe = entry.address("observe")?;
    let waiting = async {
        while !send_request(observe, Method::GET, "/ready", "").await?.status().is_success() {
            sleep(READY_LOOK).await;
        }
        Ok(())
    };
    timeout(READY_LIMIT, waiting).await.unwrap_or(Err(FleetError::NotReady))
}

/// The state dump of an entry process.
pub async fn dump(entry: &Child) -> Result<StateDump, FleetError> {
    let limit = Duration::from_secs(2);
    let client = thymeshift_wire::connect_control(entry.address("control")?, limit).await?;
    Ok(client.dump(tarpc::context::current()).await?)
}
