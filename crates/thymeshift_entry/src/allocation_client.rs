//! Client side of target allocation: datagrams to other entry processes, and leases held here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use spdlog::debug;
use thymeshift_allocation::Group;
use thymeshift_allocation::LeaseGrant;
use thymeshift_allocation::LeaseReport;
use thymeshift_dispatch::CallerClass;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::RateLimitUpdate;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
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

/// Time for which a process is skipped after its first missing reply.
/// The time doubles with each further missing reply and is reset by a reply.
const SKIP_BASE: Duration = Duration::from_millis(500);
/// Maximum number of doublings of [`SKIP_BASE`].
const SKIP_DOUBLINGS_MAX: u32 = 4;
/// Maximum number of held leases listed in one message; further leases are not listed.
const HELD_LEASES_MAX: usize = 128;

/// Allocator that an acquire request is sent to.
#[derive(Clone)]
pub(crate) enum AllocatorHandle {
    /// The group's allocator in this process.
    Local(Arc<GroupRuntime>),
    /// Datagram address of the allocator in another process.
    Remote(AllocatorAddress),
}

/// Process that holds a lease. A restarted process has a new `boot` and is a different holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeaseHolder {
    pub(crate) vm: VmName,
    pub(crate) boot: Boot,
    /// Address that replies are sent to; `None` if the holder is this process.
    pub(crate) address: Option<SocketAddr>,
}

/// Allocator's reply to an acquire request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AcquireReply {
    Waiting,
    Granted(LeaseGrant),
    Refused(Refusal),
    Declined,
    /// Redirects the request to the allocator of another group, which has spare capacity.
    Redirected(Group, AllocatorAddress),
    /// Redirects the request to this member, which ranks before the replying process.
    AskInstead(Member),
}

impl AcquireReply {
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

/// Parameters of an acquire request, apart from those that the client adds.
pub(crate) struct AcquireRequest {
    pub(crate) service: ServiceName,
    pub(crate) group: Group,
    pub(crate) may_redirect: bool,
    pub(crate) is_first_choice: bool,
    pub(crate) priority: u8,
    pub(crate) caller: CallerClass,
    pub(crate) remaining: RemainingTimes,
    pub(crate) queue_max: u32,
    pub(crate) answer_kib: u32,
    pub(crate) tried: Vec<TargetName>,
    pub(crate) excluded: Vec<TargetName>,
}

/// Times of a request that remain when it is sent to an allocator.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RemainingTimes {
    pub(crate) deadline: Duration,
    pub(crate) wait: Duration,
    pub(crate) objective: Duration,
    pub(crate) local_wait: Duration,
}

impl RemainingTimes {
    /// Returns the remaining times of a request.
    pub(crate) fn of(request: &Request, now: Timestamp) -> Self {
        Self {
            deadline: now.until(request.deadline),
            wait: now.until(request.wait_until),
            objective: now.until(request.objective),
            local_wait: request.local_wait_left(now),
        }
    }
}

struct OpenLease {
    service: ServiceName,
    group: Group,
    /// VM of the allocator; `None` if this process is the allocator.
    allocator: Option<VmName>,
    replies: mpsc::UnboundedSender<AcquireReply>,
}

impl OpenLease {
    fn matches(&self, service: &ServiceName, group: &Group, allocator: Option<&VmName>) -> bool {
        self.service == *service && self.group == *group && self.allocator.as_ref() == allocator
    }
}

/// Datagram socket with the open leases of this process and the processes that it skips.
pub(crate) struct AllocationClient {
    socket: Option<Arc<UdpSocket>>,
    vm: VmName,
    data_hall: DataHallName,
    /// Number of this process's boot in datagrams and leases.
    boot: AtomicU64,
    next_number: AtomicU64,
    leases: Mutex<HashMap<LeaseNumber, OpenLease>>,
    skipped: Mutex<HashMap<VmName, SkippedProcess>>,
}

/// Skip state of a process that did not reply or declined to allocate.
struct SkippedProcess {
    until: Timestamp,
    skip_count: u32,
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
            boot: AtomicU64::new(boot.as_u64()),
            next_number: AtomicU64::new(1),
            leases: Mutex::default(),
            skipped: Mutex::default(),
        })
    }

    fn boot(&self) -> Boot {
        Boot::new(self.boot.load(Ordering::Relaxed))
    }

    /// Replaces the boot of this process. Leases that were requested under the former one end with
    /// their time limit.
    pub(crate) fn set_boot(&self, boot: Boot) {
        self.boot.store(boot.as_u64(), Ordering::Relaxed);
    }

    pub(crate) fn socket(&self) -> Option<&Arc<UdpSocket>> {
        self.socket.as_ref()
    }

    /// Sends a message, or drops the message if the socket's buffer is full.
    ///
    /// Dropping is safe because every sender that expects a reply has a timeout.
    pub(crate) fn send(&self, to: SocketAddr, message: Message) {
        let Some(socket) = &self.socket else {
            return;
        };
        let datagram = Datagram { sender: self.vm.clone(), boot: self.boot(), message };
        let sent = match datagram.encode() {
            Ok(bytes) if bytes.len() <= DATAGRAM_BYTES_MAX => {
                socket.try_send_to(&bytes, to).is_ok()
            }
            Ok(_) | Err(_) => false,
        };
        let result = if sent { "sent" } else { "dropped" };
        counter!(metric::DATAGRAMS, "result" => result).increment(1);
    }

    /// Sends an acquire request to an allocator and returns the pending lease.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        handle: &AllocatorHandle,
        acquire_request: AcquireRequest,
    ) -> Acquisition {
        let number = LeaseNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (replies, receiver) = mpsc::unbounded_channel();
        let allocator = match handle {
            AllocatorHandle::Local(_) => None,
            AllocatorHandle::Remote(process) => Some(process.vm.clone()),
        };
        let AcquireRequest { service, group, may_redirect, is_first_choice, priority, .. } =
            acquire_request;
        let AcquireRequest { caller, remaining, queue_max, answer_kib, tried, excluded, .. } =
            acquire_request;
        let RemainingTimes { deadline, wait, objective, local_wait } = remaining;
        let open = OpenLease {
            service: service.clone(),
            group: group.clone(),
            allocator: allocator.clone(),
            replies,
        };
        self.leases.lock().insert(number, open);
        let held = self.held_leases(&service, &group, allocator.as_ref());
        let lease = AllocationLease {
            client: self.clone(),
            number,
            service: service.clone(),
            group: group.clone(),
            handle: handle.clone(),
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
            caller: caller.number(),
            deadline,
            wait,
            objective,
            queue_max,
            answer_kib,
            tried,
            excluded,
            held,
            local_wait,
        };
        let is_repeated = allocator.is_some() && !local_wait.is_zero();
        let repeated = is_repeated.then(|| Box::new(acquire.clone()));
        match handle {
            AllocatorHandle::Local(runtime) => runtime.acquire(self.own_holder(), acquire),
            AllocatorHandle::Remote(to) => self.send(to.address, Message::Acquire(acquire)),
        }
        Acquisition { lease, replies: receiver, repeated }
    }

    fn own_holder(&self) -> LeaseHolder {
        LeaseHolder { vm: self.vm.clone(), boot: self.boot(), address: None }
    }

    /// Sends the reply to an acquire request to its holder.
    pub(crate) fn reply(&self, holder: &LeaseHolder, number: LeaseNumber, reply: AcquireReply) {
        match holder.address {
            Some(address) => self.send(address, reply.into_message(number)),
            None => self.deliver(number, reply),
        }
    }

    /// Passes an allocator's reply to the request that waits for it.
    pub(crate) fn deliver(&self, number: LeaseNumber, reply: AcquireReply) {
        if let Some(open) = self.leases.lock().get(&number) {
            if let (Some(allocator), false) = (&open.allocator, reply == AcquireReply::Declined) {
                self.skipped.lock().remove(allocator);
            }
            // Fails only if the request was dropped, which also releases its lease.
            let _ = open.replies.send(reply);
        }
    }

    /// Returns the open leases of a group that were requested from `allocator`.
    fn held_leases(
        &self,
        service: &ServiceName,
        group: &Group,
        allocator: Option<&VmName>,
    ) -> Vec<LeaseNumber> {
        let leases = self.leases.lock();
        let held = leases.iter().filter(|(_, open)| open.matches(service, group, allocator));
        held.map(|(number, _)| *number).take(HELD_LEASES_MAX).collect()
    }

    /// Returns the name of the VM that this process runs on.
    pub(crate) fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Skips a process that did not reply or declined, for a time that doubles with each call.
    pub(crate) fn skip_process(&self, vm: &VmName, now: Timestamp) {
        debug!("allocator_passed_over", kv: { allocator: = vm });
        let mut skipped = self.skipped.lock();
        let first = SkippedProcess { until: now, skip_count: 0 };
        let entry = skipped.entry(vm.clone()).or_insert(first);
        entry.until = now + SKIP_BASE * 2_u32.pow(entry.skip_count.min(SKIP_DOUBLINGS_MAX));
        entry.skip_count += 1;
    }

    /// Returns whether a process is currently skipped as unresponsive.
    pub(crate) fn is_skipped(&self, vm: &VmName, now: Timestamp) -> bool {
        self.skipped.lock().get(vm).is_some_and(|entry| now < entry.until)
    }
}

/// Acquire request in progress: its lease and the channel of the allocator's replies.
pub(crate) struct Acquisition {
    pub(crate) lease: AllocationLease,
    pub(crate) replies: mpsc::UnboundedReceiver<AcquireReply>,
    /// Message to another process of a request with a local wait, for [`Self::ask_again`].
    repeated: Option<Box<Acquire>>,
}

impl Acquisition {
    /// Whether [`Self::ask_again`] has a message to send: the request has a local wait, and its
    /// allocator is another process.
    pub(crate) fn can_ask_again(&self) -> bool {
        self.repeated.is_some()
    }

    /// Sends the acquire request of a waiting request to its allocator again, with the remaining
    /// times. The allocator handles a duplicate once, and its reply shows that it is alive.
    pub(crate) fn ask_again(&self, remaining: RemainingTimes) {
        let (Some(acquire), AllocatorHandle::Remote(to)) = (&self.repeated, &self.lease.handle)
        else {
            return;
        };
        let RemainingTimes { deadline, wait, objective, local_wait } = remaining;
        let client = &self.lease.client;
        let held = client.held_leases(&acquire.service, &acquire.group, Some(&to.vm));
        let acquire = Acquire {
            // A process that names another allocator would not end the request that it queued.
            is_first_choice: false,
            deadline,
            wait,
            objective,
            local_wait,
            held,
            ..Acquire::clone(acquire)
        };
        client.send(to.address, Message::Acquire(acquire));
    }
}

/// Lease of a target; dropping it releases the lease at the allocator.
pub(crate) struct AllocationLease {
    client: Arc<AllocationClient>,
    number: LeaseNumber,
    service: ServiceName,
    group: Group,
    handle: AllocatorHandle,
    report: LeaseReport,
    is_open: bool,
}

impl AllocationLease {
    /// Sets the target's known rate limit, which the release reports to the allocator.
    pub(crate) fn set_rate_limit(&mut self, known: Option<RateLimitUpdate>) {
        self.report.rate_limit = known;
    }

    /// Sets the incarnation known to be leaving, which the release reports to the allocator.
    pub(crate) fn set_leaving(&mut self, incarnation: Option<Incarnation>) {
        self.report.leaving = incarnation;
    }

    /// Sets the result of the attempt, which the release reports to the allocator.
    pub(crate) fn set_observation(&mut self, observation: Observation) {
        self.report.observation = Some(observation);
    }

    /// Drops the lease without sending a release, because the allocator has already ended it.
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
        let allocator = match &self.handle {
            AllocatorHandle::Local(_) => None,
            AllocatorHandle::Remote(process) => Some(&process.vm),
        };
        let release = Release {
            number: self.number,
            service: self.service.clone(),
            group: self.group.clone(),
            report: self.report,
            held: self.client.held_leases(&self.service, &self.group, allocator),
        };
        match &self.handle {
            AllocatorHandle::Local(runtime) => runtime.release(self.client.own_holder(), &release),
            AllocatorHandle::Remote(to) => self.client.send(to.address, Message::Release(release)),
        }
    }
}
