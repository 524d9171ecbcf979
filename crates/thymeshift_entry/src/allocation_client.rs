//! Datagrams to other entry processes, and the leases that this process holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use spdlog::debug;
use thymeshift_allocation::Granted;
use thymeshift_allocation::Group;
use thymeshift_allocation::LeaseReport;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::RateLimitUpdate;
use thymeshift_dispatch::Refusal;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Member;
use thymeshift_telemetry::metric;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use thymeshift_wire::Acquire;
use thymeshift_wire::AllocatorAddress;
use thymeshift_wire::DATAGRAM_BYTES_MAX;
use thymeshift_wire::Datagram;
use thymeshift_wire::LeaseNumber;
use thymeshift_wire::Message;
use thymeshift_wire::Release;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::service::GroupRuntime;

/// How long an allocator that did not answer is passed over the first time; it doubles with
/// each further one until it answers.
const PASSED_OVER: Duration = Duration::from_millis(500);
const DOUBLINGS_MAX: u32 = 4;
/// Leases named in one message at most; the rest is named by the next.
const HELD_MAX: usize = 128;

/// The allocator that is asked.
#[derive(Clone)]
pub(crate) enum AllocatorHandle {
    /// This process.
    Local(Arc<GroupRuntime>),
    /// Another one.
    Remote(AllocatorAddress),
}

/// Who holds a lease. A new start of a process is another holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeaseHolder {
    pub(crate) vm: VmName,
    pub(crate) boot: Boot,
    /// Where it hears of its leases; none if it is this process.
    pub(crate) address: Option<SocketAddr>,
}

/// What an allocator answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AllocatorReply {
    Waiting,
    Granted(Granted),
    Refused(Refusal),
    Declined,
    /// To be asked for in another group, and of whom.
    Redirected(Group, AllocatorAddress),
    /// This member ranks before the one that was asked.
    AskInstead(Member),
}

impl AllocatorReply {
    fn into_message(self, number: LeaseNumber) -> Message {
        match self {
            Self::Waiting => Message::Waiting(number),
            Self::Granted(granted) => Message::Granted(number, granted),
            Self::Refused(refusal) => Message::Refused(number, refusal.reason, refusal.retry_after),
            Self::Declined => Message::Declined(number),
            Self::Redirected(group, allocator) => Message::Redirected(number, group, allocator),
            Self::AskInstead(member) => Message::AskInstead(number, member),
        }
    }
}

/// What is asked of an allocator.
pub(crate) struct AcquireRequest {
    pub(crate) service: ServiceName,
    pub(crate) group: Group,
    pub(crate) may_redirect: bool,
    pub(crate) is_first_choice: bool,
    pub(crate) priority: u8,
    pub(crate) deadline: Duration,
    pub(crate) wait: Duration,
    pub(crate) objective: Duration,
    pub(crate) queue_max: u32,
    pub(crate) answer_kib: u32,
    pub(crate) tried: Vec<TargetName>,
    pub(crate) excluded: Vec<TargetName>,
}

struct OpenLease {
    service: ServiceName,
    group: Group,
    /// The allocator; none if it is this process.
    allocator: Option<VmName>,
    replies: mpsc::UnboundedSender<AllocatorReply>,
}

impl OpenLease {
    fn is_of(&self, service: &ServiceName, group: &Group, allocator: Option<&VmName>) -> bool {
        self.service == *service && self.group == *group && self.allocator.as_ref() == allocator
    }
}

/// The datagram socket with what is remembered about allocators.
pub(crate) struct AllocationClient {
    socket: Option<Arc<UdpSocket>>,
    vm: VmName,
    data_hall: DataHallName,
    boot: Boot,
    next_number: AtomicU64,
    leases: Mutex<HashMap<LeaseNumber, OpenLease>>,
    passed_over: Mutex<HashMap<VmName, SkippedProcess>>,
}

/// An allocator that did not answer.
struct SkippedProcess {
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

    /// Asks an allocator for a target.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        allocating: &AllocatorHandle,
        wanted: AcquireRequest,
    ) -> Acquisition {
        let number = LeaseNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (replies, receiver) = mpsc::unbounded_channel();
        let allocator = match allocating {
            AllocatorHandle::Local(_) => None,
            AllocatorHandle::Remote(place) => Some(place.vm.clone()),
        };
        let AcquireRequest { service, group, may_redirect, is_first_choice, priority, .. } = wanted;
        let AcquireRequest {
            deadline,
            wait,
            objective,
            queue_max,
            answer_kib,
            tried,
            excluded,
            ..
        } = wanted;
        let open = OpenLease {
            service: service.clone(),
            group: group.clone(),
            allocator: allocator.clone(),
            replies,
        };
        self.leases.lock().insert(number, open);
        let held = self.held(&service, &group, allocator.as_ref());
        let lease = AllocationLease {
            client: self.clone(),
            number,
            service: service.clone(),
            group: group.clone(),
            allocating: allocating.clone(),
            report: LeaseReport::default(),
            is_open: true,
        };
        let acquire = Acquire {
            number,
            service,
            group,
            may_redirect,
            is_first_choice,
            data_hall: self.data_hall.clone(),
            priority,
            deadline,
            wait,
            objective,
            queue_max,
            answer_kib,
            tried,
            excluded,
            held,
        };
        match allocating {
            AllocatorHandle::Local(runtime) => runtime.acquire(self.own_holder(), acquire),
            AllocatorHandle::Remote(place) => self.send(place.address, Message::Acquire(acquire)),
        }
        Acquisition { lease, replies: receiver }
    }

    fn own_holder(&self) -> LeaseHolder {
        LeaseHolder { vm: self.vm.clone(), boot: self.boot, address: None }
    }

    /// Tells a holder what became of its request.
    pub(crate) fn reply(&self, holder: &LeaseHolder, number: LeaseNumber, reply: AllocatorReply) {
        match holder.address {
            Some(address) => self.send(address, reply.into_message(number)),
            None => self.deliver_reply(number, reply),
        }
    }

    /// An allocator answered.
    pub(crate) fn deliver_reply(&self, number: LeaseNumber, reply: AllocatorReply) {
        if let Some(open) = self.leases.lock().get(&number) {
            if let (Some(allocator), false) = (&open.allocator, reply == AllocatorReply::Declined) {
                self.passed_over.lock().remove(allocator);
            }
            // Nobody waits any more if this fails, and the lease is released then.
            let _ = open.replies.send(reply);
        }
    }

    /// Leases that were asked of an allocator for a group and have not ended.
    fn held(
        &self,
        service: &ServiceName,
        group: &Group,
        allocator: Option<&VmName>,
    ) -> Vec<LeaseNumber> {
        let leases = self.leases.lock();
        let held = leases.iter().filter(|(_, open)| open.is_of(service, group, allocator));
        held.map(|(number, _)| *number).take(HELD_MAX).collect()
    }

    /// This process's VM.
    pub(crate) fn vm(&self) -> &VmName {
        &self.vm
    }

    /// An allocator did not answer, or does not allocate.
    pub(crate) fn skip_process(&self, allocator: &VmName, now: Timestamp) {
        debug!("allocator_passed_over", kv: { allocator: = allocator });
        let mut passed_over = self.passed_over.lock();
        let first = SkippedProcess { until: now, times: 0 };
        let entry = passed_over.entry(allocator.clone()).or_insert(first);
        entry.until = now + PASSED_OVER * 2_u32.pow(entry.times.min(DOUBLINGS_MAX));
        entry.times += 1;
    }

    pub(crate) fn is_skipped(&self, allocator: &VmName, now: Timestamp) -> bool {
        self.passed_over.lock().get(allocator).is_some_and(|entry| now < entry.until)
    }
}

/// A request for a target on its way.
pub(crate) struct Acquisition {
    pub(crate) lease: AllocationLease,
    pub(crate) replies: mpsc::UnboundedReceiver<AllocatorReply>,
}

/// A lease of a target, released when it is dropped.
pub(crate) struct AllocationLease {
    client: Arc<AllocationClient>,
    number: LeaseNumber,
    service: ServiceName,
    group: Group,
    allocating: AllocatorHandle,
    report: LeaseReport,
    is_open: bool,
}

impl AllocationLease {
    /// What this process knows of the target's limit; told to the allocator at the end.
    pub(crate) fn set_rate_limit(&mut self, known: Option<RateLimitUpdate>) {
        self.report.rate_limit = known;
    }

    /// The incarnation of the target that this process knows to leave; reported at the end.
    pub(crate) fn set_leaving(&mut self, incarnation: Option<Incarnation>) {
        self.report.leaving = incarnation;
    }

    /// What the attempt showed; told to the allocator at the end.
    pub(crate) fn observe(&mut self, observation: Observation) {
        self.report.observation = Some(observation);
    }

    /// The allocator ended it itself.
    pub(crate) fn closed_by_allocator(mut self) {
        self.is_open = false;
    }
}

impl Drop for AllocationLease {
    fn drop(&mut self) {
        self.client.leases.lock().remove(&self.number);
        if !self.is_open {
            return;
        }
        let allocator = match &self.allocating {
            AllocatorHandle::Local(_) => None,
            AllocatorHandle::Remote(place) => Some(&place.vm),
        };
        let release = Release {
            number: self.number,
            service: self.service.clone(),
            group: self.group.clone(),
            report: self.report,
            held: self.client.held(&self.service, &self.group, allocator),
        };
        match &self.allocating {
            AllocatorHandle::Local(runtime) => runtime.release(self.client.own_holder(), &release),
            AllocatorHandle::Remote(place) => {
                self.client.send(place.address, Message::Release(release))
            }
        }
    }
}
