//! Datagrams to and from other entry processes, and the loans that this process holds.

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
use thymeshift_wire::Borrow;
use thymeshift_wire::DATAGRAM_BYTES_MAX;
use thymeshift_wire::Datagram;
use thymeshift_wire::GiveBack;
use thymeshift_wire::LoanNumber;
use thymeshift_wire::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// How long a lender that did not answer is passed over the first time; it doubles with each
/// further one until it answers.
const PASSED_OVER: Duration = Duration::from_millis(500);
const DOUBLINGS_MAX: u32 = 4;
/// Loans named in one message at most; the rest is named by the next.
const HELD_MAX: usize = 128;

/// A process that lends, and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LenderPlace {
    pub(crate) vm: VmName,
    pub(crate) address: SocketAddr,
}

/// What a lender says to a wish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    Waiting,
    /// The target, and the most requests that one target serves well at a time.
    Lent(TargetName, u32),
    Refused(Refusal),
    Declined,
}

/// What is asked of a lender.
pub(crate) struct Wish {
    pub(crate) service: ServiceName,
    pub(crate) priority: u8,
    pub(crate) deadline: Duration,
    pub(crate) wait: Duration,
    pub(crate) queue_max: u32,
    pub(crate) tried: Vec<TargetName>,
}

struct OpenLoan {
    service: ServiceName,
    lender: VmName,
    replies: mpsc::UnboundedSender<Reply>,
}

/// The datagram socket with what is remembered about lenders.
pub(crate) struct Post {
    socket: Option<Arc<UdpSocket>>,
    vm: VmName,
    data_hall: DataHallName,
    boot: Boot,
    next_number: AtomicU64,
    loans: Mutex<HashMap<LoanNumber, OpenLoan>>,
    passed_over: Mutex<HashMap<VmName, PassedOver>>,
}

/// A lender that did not answer.
struct PassedOver {
    until: Timestamp,
    times: u32,
}

impl Post {
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
            loans: Mutex::default(),
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

    /// Asks a lender for a target.
    pub(crate) fn borrow(self: &Arc<Self>, lender: &LenderPlace, wish: Wish) -> Borrowing {
        let number = LoanNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (replies, receiver) = mpsc::unbounded_channel();
        let Wish { service, priority, deadline, wait, queue_max, tried } = wish;
        let open = OpenLoan { service: service.clone(), lender: lender.vm.clone(), replies };
        self.loans.lock().insert(number, open);
        let held = self.held(&service, &lender.vm);
        let loan = Loan {
            post: self.clone(),
            number,
            service: service.clone(),
            lender: lender.clone(),
            observation: None,
            is_open: true,
        };
        let borrow = Borrow {
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
        self.send(lender.address, Message::Borrow(borrow));
        Borrowing { loan, replies: receiver }
    }

    /// A lender answered.
    pub(crate) fn replied(&self, number: LoanNumber, reply: Reply) {
        if let Some(open) = self.loans.lock().get(&number) {
            if reply != Reply::Declined {
                self.passed_over.lock().remove(&open.lender);
            }
            // Nobody waits any more if this fails, and the loan is given back then.
            let _ = open.replies.send(reply);
        }
    }

    /// Loans that were asked of a lender for a service and have not ended.
    fn held(&self, service: &ServiceName, lender: &VmName) -> Vec<LoanNumber> {
        let loans = self.loans.lock();
        let held =
            loans.iter().filter(|(_, open)| open.service == *service && open.lender == *lender);
        held.map(|(number, _)| *number).take(HELD_MAX).collect()
    }

    /// A lender did not answer, or does not lend.
    pub(crate) fn pass_over(&self, lender: &VmName, now: Timestamp) {
        debug!("lender_passed_over", kv: { lender: = lender });
        let mut passed_over = self.passed_over.lock();
        let first = PassedOver { until: now, times: 0 };
        let entry = passed_over.entry(lender.clone()).or_insert(first);
        entry.until = now + PASSED_OVER * 2_u32.pow(entry.times.min(DOUBLINGS_MAX));
        entry.times += 1;
    }

    pub(crate) fn is_passed_over(&self, lender: &VmName, now: Timestamp) -> bool {
        self.passed_over.lock().get(lender).is_some_and(|entry| now < entry.until)
    }
}

/// A wish on its way.
pub(crate) struct Borrowing {
    pub(crate) loan: Loan,
    pub(crate) replies: mpsc::UnboundedReceiver<Reply>,
}

/// A loan, given back when it is dropped.
pub(crate) struct Loan {
    post: Arc<Post>,
    number: LoanNumber,
    service: ServiceName,
    lender: LenderPlace,
    observation: Option<Observation>,
    is_open: bool,
}

impl Loan {
    /// What the attempt showed; told to the lender at the end.
    pub(crate) fn observe(&mut self, observation: Observation) {
        self.observation = Some(observation);
    }

    /// The lender ended it itself.
    pub(crate) fn closed_by_lender(mut self) {
        self.is_open = false;
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        self.post.loans.lock().remove(&self.number);
        if !self.is_open {
            return;
        }
        let held = self.post.held(&self.service, &self.lender.vm);
        let give_back = GiveBack {
            number: self.number,
            service: self.service.clone(),
            observation: self.observation,
            held,
        };
        self.post.send(self.lender.address, Message::GiveBack(give_back));
    }
}
