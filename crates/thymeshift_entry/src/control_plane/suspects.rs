//! Reports to the fleet on requests that are suspected of crashing targets or cleared again.
//!
//! A report is sent by datagram to all processes of this data hall.
//! Some processes of every other data hall receive the report and forward it within their hall.
//! Without a datagram socket, the report is part of the next exchanges with peers.

use std::net::SocketAddr;

use metrics::counter;
use spdlog::info;
use spdlog::warn;
use thymeshift_fleet::Crash;
use thymeshift_fleet::CrashId;
use thymeshift_fleet::SuspectReport;
use thymeshift_fleet::Verdict;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Fingerprint;
use thymeshift_types::VmName;
use thymeshift_wire::Message;

use crate::shared::Shared;
use crate::target_client::TargetCrash;

/// Records that a target crashed while it ran a request of this process.
/// Reports the request to the fleet if the crash was not known yet.
pub(crate) fn report_crash(shared: &Shared, fingerprint: Fingerprint, crash: &TargetCrash) {
    let now = BootClock.now();
    let number = shared.next_crash_number();
    let reported = Crash {
        id: CrashId { vm: shared.settings().vm.clone(), boot: shared.boot, number },
        service: crash.service.clone(),
        target: crash.target.clone(),
        incarnation: crash.incarnation,
        began_ago_ms: now.since(crash.began_at).as_millis() as u64,
        ended_ago_ms: now.since(crash.ended_at).as_millis() as u64,
    };
    counter!(metric::TARGETS_CRASHED, "service" => crash.service.as_str().to_owned()).increment(1);
    info!("target_crashed", kv: {
        fingerprint: = fingerprint, service: = crash.service, target: = crash.target,
        incarnation: = crash.incarnation, ran_ms = reported.began_ago_ms - reported.ended_ago_ms
    });
    if shared.fleet.lock().quarantine.record_crash(fingerprint, &reported, now) {
        log_verdict(shared, fingerprint, "own");
        send_report(shared, fingerprint);
    }
}

/// Records that a target answered a request of this process without crashing.
/// Reports the request to the fleet if the answer clears the request of a suspicion.
pub(crate) fn report_answered(shared: &Shared, fingerprint: Fingerprint) {
    let is_cleared = {
        let quarantine = &mut shared.fleet.lock().quarantine;
        !quarantine.is_empty() && quarantine.record_answer(fingerprint, BootClock.now())
    };
    if is_cleared {
        log_verdict(shared, fingerprint, "own");
        send_report(shared, fingerprint);
    }
}

/// Handles a peer's report on a suspected request.
/// Forwards a report from another data hall to the processes of this data hall.
pub(crate) fn receive_suspect(shared: &Shared, sender: &VmName, report: &SuspectReport) {
    let now = BootClock.now();
    let hall_addresses = {
        let mut fleet = shared.fleet.lock();
        if !fleet.quarantine.merge(report, now) {
            return;
        }
        let own_hall = &fleet.members.own().data_hall;
        let is_same_hall =
            fleet.members.find(sender).is_none_or(|member| member.data_hall == *own_hall);
        let hall_addresses =
            fleet.members.hall_peers(now).filter_map(|member| member.datagram_address);
        if is_same_hall { Vec::new() } else { hall_addresses.collect() }
    };
    log_verdict(shared, report.fingerprint, "peer");
    send(shared, &hall_addresses, report);
}

/// Logs the current verdict on a request after a new crash, answer or report.
pub(crate) fn log_verdict(shared: &Shared, fingerprint: Fingerprint, source: &'static str) {
    match shared.fleet.lock().quarantine.verdict(fingerprint, BootClock.now()) {
        Verdict::Free => info!("request_cleared", kv: { fingerprint: = fingerprint, source }),
        Verdict::Suspected => {
            info!("request_suspected", kv: { fingerprint: = fingerprint, source });
        }
        Verdict::Refused(left) => {
            let left_ms = left.as_millis() as u64;
            warn!("request_quarantined", kv: { fingerprint: = fingerprint, left_ms, source });
        }
    }
}

/// Sends a report on the request by datagram, or by an early exchange if there is no socket.
fn send_report(shared: &Shared, fingerprint: Fingerprint) {
    if shared.allocation.socket().is_none() {
        shared.peer_exchange_due.notify_one();
        return;
    }
    let (report, addresses) = {
        let now = BootClock.now();
        let fleet = shared.fleet.lock();
        let Some(report) = fleet.quarantine.report(fingerprint, now) else {
            return;
        };
        let members = fleet.members.hall_peers(now).chain(fleet.members.hubs(now));
        let addresses: Vec<_> = members.filter_map(|member| member.datagram_address).collect();
        (report, addresses)
    };
    send(shared, &addresses, &report);
}

fn send(shared: &Shared, addresses: &[SocketAddr], report: &SuspectReport) {
    for address in addresses {
        shared.allocation.send(*address, Message::Suspect(report.clone()));
    }
}
