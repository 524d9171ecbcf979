//! Datagrams to and from other entry processes, and the leases that this process holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use spdlog::debug;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Refusal;
use thymeshift_fleet::Boot;
use thymeshift_telemetry::metric;
use thymeshift_types::DataHallName;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use thymeshift_wire::Acquire;
use thymeshift_wire::DATAGRAM_BYTES_MAX;
use thymeshift_wire::Datagram;
use thymeshift_wire::LeaseNumber;
use thymeshift_wire::Message;
use thymeshift_wire::Release;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// How long a allocator that did not answer is passed over the first time; it doubles with each
/// further one until it answers.
const PASSED_OVER: Duration = Duration::from_millis(500);
const DOUBLINGS_MAX: u32 = 4;
/// Loans named in one message at most; the rest is named by the next.
const HELD_MAX: usize = 128;

/// A process that allocates, and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AllocatorPlace {
    pub(crate) vm: VmName,
    pub(crate) address: SocketAddr,
}

/// What a allocator says to a wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    Waiting,
    /// The target, and the most requests that one target serves well at a time.
    Granted(TargetName, u32),
    Refused(Refusal),
    Declined,
}

/// What is asked of a allocator.
pub(crate) struct Wanted {
    pub(crate) service: ServiceName,
    pub(crate) priority: u8,
    pub(crate) deadline: Duration,
    pub(crate) wait: Duration,
    pub(crate) queue_max: u32,
    pub(crate) tried: Vec<TargetName>,
}

struct OpenLease {
    service: ServiceName,
    allocator: VmName,
    replies: mpsc::UnboundedSender<Reply>,
}

/// The datagram socket with what is remembered about allocators.
pub(crate) struct AllocationClient {
    socket: Option<Arc<UdpSocket>>,
    vm: VmName,
    data_hall: DataHallName,
    boot: Boot,
    next_number: AtomicU64,
    leases: Mutex<HashMap<LeaseNumber, OpenLease>>,
    passed_over: Mutex<HashMap<VmName, PassedOver>>,
}

/// A allocator that did not answer.
struct PassedOver {
    until: Timestamp,
    times: u32,
}

impl AllocationClient {
    pub(crate) fn new(
        socket: Option<Arc<UdpSocket>>,
        vm: VmName,
        data_hall: DataHallName,
        boot: Boot,
    ) -> Arc<Self> {
        Arc::new(Self {
            socket,
            vm,
            data_hall,
            boot,
            next_number: AtomicU64::new(1),
            leases: Mutex::default(),
            passed_over: Mutex::default(),
        })
    }

    pub(crate) fn socket(&self) -> Option<&Arc<UdpSocket>> {
        self.socket.as_ref()
    }

    /// Sends a message, or drops it if the socket takes no more: whoever waits for an answer
    /// has a time limit.
    pub(crate) fn send(&self, to: SocketAddr, message: Message) {
        let Some(socket) = &self.socket else {
            return;
        };
        let datagram = Datagram { sender: self.vm.clone(), boot: self.boot, message };
        let sent = match datagram.encode() {
            Ok(bytes) if bytes.len() <= DATAGRAM_BYTES_MAX => {
                socket.try_send_to(&bytes, to).is_ok()
            }
            Ok(_) | Err(_) => false,
        };
        let result = if sent { "sent" } else { "dropped" };
        counter!(metric::DATAGRAMS, "result" => result).increment(1);
    }

    /// Asks a allocator for a target.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        allocator: &AllocatorPlace,
        wanted: Wanted,
    ) -> Acquisition {
        let number = LeaseNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (replies, receiver) = mpsc::unbounded_channel();
        let Wanted { service, priority, deadline, wait, queue_max, tried } = wanted;
        let open = OpenLease { service: service.clone(), allocator: allocator.vm.clone(), replies };
        self.leases.lock().insert(number, open);
        let held = self.held(&service, &allocator.vm);
        let lease = Lease {
            allocation: self.clone(),
            number,
            service: service.clone(),
            allocator: allocator.clone(),
            observation: None,
            is_open: true,
        };
        let acquire = Acquire {
            number,
            service,
            data_hall: self.data_hall.clone(),
            priority,
            deadline,
            wait,
            queue_max,
            tried,
            held,
        };
        self.send(allocator.address, Message::Acquire(acquire));
        Acquisition { lease, replies: receiver }
    }

    /// A allocator answered.
    pub(crate) fn replied(&self, number: LeaseNumber, reply: Reply) {
        if let Some(open) = self.leases.lock().get(&number) {
            if reply != Reply::Declined {
                self.passed_over.lock().remove(&open.allocator);
            }
            // Nobody waits any more if this fails, and the lease is given back then.
            let _ = open.replies.send(reply);
        }
    }

    /// Loans that were asked of a allocator for a service and have not ended.
    fn held(&self, service: &ServiceName, allocator: &VmName) -> Vec<LeaseNumber> {
        let leases = self.leases.lock();
        let held = leases
            .iter()
            .filter(|(_, open)| open.service == *service && open.allocator == *allocator);
        held.map(|(number, _)| *number).take(HELD_MAX).collect()
    }

    /// A allocator did not answer, or does not allocate.
    pub(crate) fn pass_over(&self, allocator: &VmName, now: Timestamp) {
        debug!("allocator_passed_over", kv: { allocator: = allocator });
        let mut passed_over = self.passed_over.lock();
        let first = PassedOver { until: now, times: 0 };
        let entry = passed_over.entry(allocator.clone()).or_insert(first);
        entry.until = now + PASSED_OVER * 2_u32.pow(entry.times.min(DOUBLINGS_MAX));
        entry.times += 1;
    }

    pub(crate) fn is_passed_over(&self, allocator: &VmName, now: Timestamp) -> bool {
        self.passed_over.lock().get(allocator).is_some_and(|entry| now < entry.until)
    }
}

/// A wanted on its way.
pub(crate) struct Acquisition {
    pub(crate) lease: Lease,
    pub(crate) replies: mpsc::UnboundedReceiver<Reply>,
}

/// A lease, given back when it is dropped.
pub(crate) struct Lease {
    allocation: Arc<AllocationClient>,
    number: LeaseNumber,
    service: ServiceName,
    allocator: AllocatorPlace,
    observation: Option<Observation>,
    is_open: bool,
}

impl Lease {
    /// What the attempt showed; told to the allocator at the end.
    pub(crate) fn observe(&mut self, observation: Observation) {
        self.observation = Some(observation);
    }

    /// The allocator ended it itself.
    pub(crate) fn closed_by_allocator(mut self) {
        self.is_open = false;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.allocation.leases.lock().remove(&self.number);
        if !self.is_open {
            return;
        }
        let held = self.allocation.held(&self.service, &self.allocator.vm);
        let release = Release {
            number: self.number,
            service: self.service.clone(),
            observation: self.observation,
            held,
        };
        self.allocation.send(self.allocator.address, Message::Release(release));
    }
}
