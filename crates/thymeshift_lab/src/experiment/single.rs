//! One entry process with a stand-in platform that runs inside the test process, for tests that
//! start their own targets.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use thymeshift_config::Configuration;

use crate::experiment::children::Child;
use crate::experiment::children::sibling_program;
use crate::experiment::fleet::FleetError;
use crate::experiment::fleet::wait_ready;
use crate::standin::DocumentName;
use crate::standin::Platform;
use crate::standin::ServerHandle;

static NEXT_FOLDER_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Temporary folder that is removed when the value is dropped.
pub struct TempFolder(PathBuf);

impl TempFolder {
    /// Creates an empty folder in the system's temporary folder.
    pub fn new() -> std::io::Result<Self> {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("thymeshift-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &PathBuf {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // A folder that cannot be removed stays in the system's temporary folder.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Entry process with its stand-in platform.
pub struct SingleEntry {
    /// Stand-in platform, which runs inside the test process.
    pub platform: Arc<Platform>,
    /// Entry process that was started first.
    pub entry: Child,
    /// Data and control ports of the platform.
    pub platform_ports: ServerHandle,
    /// Folder with the logs and settings of the entry processes.
    pub folder: TempFolder,
    entries: u32,
}

impl SingleEntry {
    /// Starts the platform and the entry process, publishes `configuration` as revision 1 and
    /// waits until the entry process is ready.
    pub async fn start(configuration: &Configuration) -> Result<Self, FleetError> {
        let single = Self::start_unready(configuration).await?;
        wait_ready(&single.entry).await?;
        Ok(single)
    }

    /// Same as [`SingleEntry::start`], but does not wait until the entry process is ready.
    pub async fn start_unready(configuration: &Configuration) -> Result<Self, FleetError> {
        let platform = Platform::new();
        let platform_ports = platform.start((std::net::Ipv4Addr::LOCALHOST, 0).into()).await?;
        let text = serde_json::to_vec(configuration)?;
        platform.publish(DocumentName::Configuration, 1, text);
        let folder = TempFolder::new()?;
        let entry = start_entry(&folder, &platform_ports, 0, "").await?;
        Ok(Self { platform, entry, platform_ports, folder, entries: 1 })
    }

    /// Starts another entry process without waiting until it is ready. `extra_settings` are YAML
    /// lines that are appended to its settings.
    pub async fn start_another(&mut self, extra_settings: &str) -> Result<Child, FleetError> {
        self.entries += 1;
        start_entry(&self.folder, &self.platform_ports, self.entries, extra_settings).await
    }

    /// Returns the log of the first entry process up to now.
    pub fn log(&self) -> std::io::Result<String> {
        fs::read_to_string(self.folder.path().join("entry-0.log"))
    }
}

async fn start_entry(
    folder: &TempFolder,
    platform: &ServerHandle,
    number: u32,
    extra_settings: &str,
) -> Result<Child, FleetError> {
    let settings = format!(
        "vm: entry-{number}\ndata_hall: a\ncaller_address: 127.0.0.1:0\n\
         peer_address: 127.0.0.1:0\ncontrol_address: 127.0.0.1:0\nobserve_address: 127.0.0.1:0\n\
         platform_address: {}\nworker_threads: 2\nstop_readiness_lag_ms: 100\n\
         stop_bound_ms: 10000\nlog_level: debug\n{extra_settings}",
        platform.address
    );
    let path = folder.path().join(format!("entry-{number}.yaml"));
    fs::write(&path, settings)?;
    let log = folder.path().join(format!("entry-{number}.log"));
    let path = path.display().to_string();
    let program = sibling_program("thymeshiftd")?;
    Ok(Child::start(&program, &["run", "--settings", &path], &log).await?)
}
