//! Several real entry processes with a platform that fails: distribution of configuration, leaving
//! targets and operators' orders.

mod support;

use std::net::SocketAddr;
use std::process::Command;

use http::Method;
use thymeshift_config::Configuration;
use thymeshift_fleet::OrderChange;
use thymeshift_fleet::OrderSubject;
use thymeshift_lab::experiment::Child;
use thymeshift_lab::experiment::SingleEntry;
use thymeshift_lab::experiment::dump;
use thymeshift_lab::experiment::sibling_program;
use thymeshift_lab::experiment::wait_ready;
use thymeshift_lab::http_client::send_request;
use thymeshift_lab::standin::Behaviour;
use thymeshift_lab::standin::DocumentName;
use thymeshift_lab::standin::PlatformMode;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_wire::OrderAnswer;
use thymeshift_wire::OrderRequest;
use thymeshift_wire::StateDump;
use thymeshift_wire::connect_control;

use crate::support::LIMIT;
use crate::support::assert_serves;
use crate::support::configuration;
use crate::support::quick_target;
use crate::support::wait_until;

/// Two entry processes, of which the second one has the first one as a configured peer.
struct Pair {
    single: SingleEntry,
    second: Child,
}

async fn pair(configuration: &Configuration) -> Pair {
    let mut single = SingleEntry::start(configuration).await.expect("a process");
    let second = start_second_entry(&mut single).await;
    wait_ready(&second).await.expect("ready");
    Pair { single, second }
}

async fn start_second_entry(single: &mut SingleEntry) -> Child {
    let peer = single.entry.address("peer").expect("an address");
    single.start_another(&format!("peers: ['{peer}']\n")).await.expect("another process")
}

async fn state(entry: &Child) -> StateDump {
    dump(entry).await.expect("a dump")
}

async fn revision(entry: &Child) -> u64 {
    state(entry).await.configuration.in_force.map_or(0, |head| head.revision.number())
}

fn json(configuration: &Configuration) -> Vec<u8> {
    serde_json::to_vec(configuration).expect("JSON")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_revision_is_in_force_everywhere_and_no_platform_takes_it_back() {
    let target = quick_target().await;
    let mut configuration = configuration(&[target.ports.address], "", "");
    let Pair { mut single, second } = pair(&configuration).await;
    configuration.limits.depth_max = 8;
    single.platform.publish(DocumentName::Configuration, 5, json(&configuration));
    wait_until("both run revision 5", async || {
        revision(&single.entry).await == 5 && revision(&second).await == 5
    })
    .await;
    let caller = single.entry.address("caller").expect("an address");
    let faults = [
        PlatformMode::Backwards,
        PlatformMode::Rubbish,
        PlatformMode::Failing,
        PlatformMode::Silent,
    ];
    for mode in faults {
        single.platform.set_mode(mode);
        let calls = single.platform.calls();
        wait_until("the platform has received a further call", async || {
            single.platform.calls() > calls
        })
        .await;
        // A process that starts now fetches the configuration in force from its peers.
        let fresh = start_second_entry(&mut single).await;
        wait_ready(&fresh).await.expect("ready");
        for entry in [&single.entry, &second, &fresh] {
            assert_eq!(revision(entry).await, 5, "{mode:?}");
        }
        assert_serves(caller, &format!("{mode:?}")).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_and_conflicting_revisions_are_refused_alike_and_reported() {
    let target = quick_target().await;
    let good = configuration(&[target.ports.address], "", "");
    let Pair { single, second } = pair(&good).await;
    single.platform.publish(DocumentName::Configuration, 2, "entry_vms_max: none\n");
    wait_until("a rejection is reported", async || {
        let (first, second) = (state(&single.entry).await, state(&second).await);
        first.configuration.rejection.or(second.configuration.rejection).is_some_and(|rejection| {
            rejection.mistakes.contains("line 1, column 16: entry_vms_max: found 'none'")
        })
    })
    .await;
    assert_eq!((revision(&single.entry).await, revision(&second).await), (1, 1));
    let mut corrected = good.clone();
    corrected.limits.depth_max = 7;
    single.platform.publish(DocumentName::Configuration, 3, json(&corrected));
    wait_until("both run revision 3", async || {
        revision(&single.entry).await == 3 && revision(&second).await == 3
    })
    .await;
    // A document with a revision already in force but other content must not replace the document
    // in force.
    let before = state(&single.entry).await.configuration.in_force;
    single.platform.publish(DocumentName::Configuration, 3, json(&good));
    single.platform.set_mode(PlatformMode::Stale);
    let mut fresh_single = single;
    let fresh = fresh_single.start_another("").await.expect("a process that knows no peer");
    wait_ready(&fresh).await.expect("ready");
    assert_ne!(
        state(&fresh).await.configuration.in_force,
        before,
        "the new process adopts the platform's document"
    );
    assert_eq!(state(&fresh_single.entry).await.configuration.in_force, before);
    assert_eq!(state(&second).await.configuration.in_force, before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_without_any_source_serves_nobody_and_says_so() {
    let target = quick_target().await;
    let good = configuration(&[target.ports.address], "", "");
    let mut single = SingleEntry::start(&good).await.expect("a process");
    single.platform.set_mode(PlatformMode::Failing);
    let without_configuration = single.start_another("").await.expect("a process");
    let caller = without_configuration.address("caller").expect("an address");
    let observe = without_configuration.address("observe").expect("an address");
    let answer = send_request(caller, Method::GET, "/r", "").await.expect("an answer");
    assert_eq!(
        (answer.status().as_u16(), &answer.headers()["thymeshift-reason"]),
        (503, &"not_ready".parse().expect("a value"))
    );
    let ready = send_request(observe, Method::GET, "/ready", "").await.expect("an answer");
    let live = send_request(observe, Method::GET, "/live", "").await.expect("an answer");
    assert_eq!((ready.status().as_u16(), live.status().as_u16()), (503, 200));
    single.platform.set_mode(PlatformMode::Normal);
    wait_ready(&without_configuration).await.expect("ready");
    assert_serves(caller, "once the platform answers").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_told_one_process_gets_no_work_from_the_other() {
    let leaving = quick_target().await;
    let staying = quick_target().await;
    let good = configuration(&[leaving.ports.address, staying.ports.address], "", "");
    let Pair { single, second } = pair(&good).await;
    // With a silent platform, the processes can learn of the leaving target only from the target
    // itself and from each other.
    single.platform.set_mode(PlatformMode::Silent);
    leaving.target.set_behaviour(Behaviour { is_draining: true, ..Behaviour::default() });
    let first_caller = single.entry.address("caller").expect("an address");
    wait_until("the first process has a leaving mark", async || {
        assert_serves(first_caller, "while it drains").await;
        !state(&single.entry).await.leaving.is_empty()
    })
    .await;
    wait_until("the second process has a leaving mark", async || {
        !state(&second).await.leaving.is_empty()
    })
    .await;
    let begun = || leaving.target.ledger.entries().get("good").map_or(0, |entry| entry.begun);
    let before = begun();
    let second_caller = second.address("caller").expect("an address");
    for _ in 0..50 {
        assert_serves(second_caller, "at the second process").await;
    }
    assert_eq!(begun(), before, "no new work");
}

async fn order(entry: &Child, change: OrderChange, operator: &str) -> OrderAnswer {
    let control = entry.address("control").expect("an address");
    let client = connect_control(control, LIMIT).await.expect("a connection");
    let service = ServiceName::new("s").expect("a name");
    let subject = OrderSubject::Target(service, TargetName::new("t0").expect("a name"));
    let request =
        OrderRequest { subject, change, operator: operator.to_owned(), expires_in_ms: 600_000 };
    client.order(tarpc::context::current(), request).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_operators_racing_at_two_processes_end_with_one_order() {
    let targets = [quick_target().await, quick_target().await];
    let addresses: Vec<SocketAddr> = targets.iter().map(|target| target.ports.address).collect();
    let Pair { single, second } = pair(&configuration(&addresses, "", "")).await;
    for round in 0..5 {
        let (stop, resume) = tokio::join!(
            order(&single.entry, OrderChange::Stop, "anna"),
            order(&second, OrderChange::Resume, "ben"),
        );
        assert!(matches!(stop, OrderAnswer::Taken { .. }), "{stop:?}");
        assert!(matches!(resume, OrderAnswer::Taken { .. }), "{resume:?}");
        let stamps = async || {
            let held = [state(&single.entry).await.orders, state(&second).await.orders];
            held.map(|orders| orders.first().map(|order| (order.stamp.clone(), order.change)))
        };
        wait_until("both hold the same order", async || {
            let [first, second] = stamps().await;
            first.is_some() && first == second
        })
        .await;
        let [Some((_, change)), _] = stamps().await else {
            panic!("round {round}: no order");
        };
        let expected = if change == OrderChange::Stop { "stopped" } else { "open" };
        wait_until("both apply the order to the target", async || {
            let dumps = [state(&single.entry).await, state(&second).await];
            dumps.iter().all(|dump| dump.services[0].targets[0].usability.to_string() == expected)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_operators_program_shows_state_and_gives_orders() {
    let target = quick_target().await;
    let Pair { single, second } = pair(&configuration(&[target.ports.address], "", "")).await;
    wait_until("the first process knows the second one", async || {
        state(&single.entry).await.members.len() == 1
    })
    .await;
    let control = single.entry.address("control").expect("an address").to_string();
    let program = sibling_program("thymeshiftctl").expect("a program");
    let run = |arguments: Vec<&str>| {
        let output = Command::new(&program).args(["--at", &control]).args(arguments).output();
        let output = output.expect("a program");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let cases = [
        ("show targets target, usability where service = s", "t0      open"),
        ("show configuration vm, revision", "entry-0         1"),
        ("show kinds kind, priority sort by kind desc limit 1", "write"),
        ("show members member, liveness, phase", "entry-2"),
        ("explain GET /r/x", "kind read: its rules match; served by s"),
        ("explain DELETE /r", "refused: the rules of no kind match"),
        ("pause probing s for 1m", "held by 2: entry-0 entry-2"),
        ("drain target s/t0 for 1m", "target s/t0 stop: taken for 60 s"),
        ("show targets usability", "stopped"),
        ("undrain target s/t0", "not confirmed by 0:"),
        ("drain target s/zz", "refused: service s has no target zz"),
        (
            "show halls hall, drained, targets, members where drained = no",
            "a     no             1        1",
        ),
        ("drain hall a for 1m", "hall a stop: taken for 60 s"),
        ("show halls hall where drained = yes", "a"),
        ("show targets usability", "hall_drained"),
        ("undrain hall a", "not confirmed by 0:"),
        ("show targets usability", "open"),
        ("drain hall zz", "refused: no data hall is called zz"),
    ];
    for (line, expected_text) in cases {
        let (code, text) = run(vec![line]);
        assert!(text.contains(expected_text), "{line}: {text}");
        let is_refused = text.starts_with("refused") || text.contains("\nrefused");
        assert_eq!(code, Some(i32::from(is_refused)), "{line}: {text}");
    }
    let (code, text) = run(vec!["--all", "--json", "show", "process", "vm"]);
    assert_eq!((code, text.trim()), (Some(0), r#"[{"vm":"entry-0"},{"vm":"entry-2"}]"#));
    drop(second);
}
