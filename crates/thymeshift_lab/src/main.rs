//! Command-line program that runs stand-ins, load and experiments as processes.
//! `thymeshift-lab --help` lists its commands.

mod arguments;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use thymeshift_config::StrategyName;
use thymeshift_lab::experiment;
use thymeshift_lab::experiment::ConfigurationSize;
use thymeshift_lab::experiment::ControlCost;
use thymeshift_lab::experiment::ScenarioPlan;
use thymeshift_lab::experiment::ScenarioRow;
use thymeshift_lab::experiment::SoakPlan;
use thymeshift_lab::load;
use thymeshift_lab::replay;
use thymeshift_lab::standin::Platform;
use thymeshift_lab::standin::ServerHandle;
use thymeshift_lab::standin::Target;

use crate::arguments::Command;
use crate::arguments::HELP;

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let command = match arguments::parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("thymeshift-lab: {error}\nTry 'thymeshift-lab --help'.");
            return ExitCode::from(2);
        }
    };
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("thymeshift-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Help => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        Command::Platform => {
            single_thread(async { serve(Platform::new().start(any_port()).await?).await })
        }
        Command::Target(settings) => {
            single_thread(async { serve(Target::new(settings).start(any_port()).await?).await })
        }
        Command::Load { plan, json } => many_threads(async {
            let result = load::run(plan).await;
            let text = if json { format!("{}\n", result.to_json()) } else { result.to_string() };
            print!("{text}");
            Ok(ExitCode::SUCCESS)
        }),
        Command::Scenarios(plan) => many_threads(scenarios(plan)),
        Command::ControlCost { entries, size } => many_threads(control_cost(entries, size)),
        Command::DecisionCost => {
            for strategy in [StrategyName::TwoChoices, StrategyName::ExpectedTime] {
                for (services, targets) in [(1, 10), (1, 23), (100, 23), (1, 200)] {
                    println!("{}", experiment::decision_cost(strategy, services, targets)?);
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Recovery { entries } => many_threads(async move {
            let recovery = experiment::recovery("out/recovery".into(), entries).await?;
            println!("{recovery}");
            Ok(if recovery.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }),
        Command::Soak { seeds, entries, seconds } => many_threads(soak(seeds, entries, seconds)),
        Command::PathCost { seconds } => many_threads(async {
            print!("{}", experiment::path_cost(seconds).await?);
            Ok(ExitCode::SUCCESS)
        }),
        Command::Rounds { journal, plot } => {
            print!("{}", experiment::rounds(Path::new(&journal), Path::new(&plot))?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Replay { days } => {
            println!("{}", replay::crash_table(days)?);
            println!("{}", replay::quota_table(days));
            println!("{}", replay::quota_start_table(days));
            println!("{}", replay::limit_table(days)?);
            println!("{}", replay::backoff_table(days)?);
            println!("{}", replay::link_table(days)?);
            println!("{}", replay::caller_table(days)?);
            print!("{}", replay::hall_table(days)?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Demo { entries, seconds } => many_threads(demo(entries, seconds)),
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Prints the addresses on which a stand-in listens and keeps it running until the process is
/// killed.
async fn serve(running: ServerHandle) -> Result<ExitCode, Failure> {
    println!("listening data={} control={}", running.address, running.control);
    std::future::pending::<()>().await;
    Ok(ExitCode::SUCCESS)
}

async fn demo(entries: usize, seconds: u64) -> Result<ExitCode, Failure> {
    let folder = Path::new("out/demo");
    std::fs::create_dir_all(folder)?;
    println!("platform, 38 targets, {entries} entry processes, load for {seconds} s");
    let demo = experiment::demo(folder, entries, Duration::from_secs(seconds)).await?;
    print!("{}", demo.result);
    println!("{}", demo.violations);
    println!("logs, JSON and plot: {}", folder.display());
    Ok(if demo.violations.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a soak for each seed, one after the other. The exit code is a failure if any seed broke a
/// promise.
async fn soak(seeds: Range<u64>, entries: usize, seconds: u64) -> Result<ExitCode, Failure> {
    let mut failed_seeds = Vec::new();
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let duration = Duration::from_secs(seconds);
        let folder = Path::new("out/soak").join(seed.to_string());
        let soak = experiment::soak(SoakPlan { seed, entries, duration, folder }).await?;
        println!("{soak}");
        if !soak.is_clean() {
            failed_seeds.push(seed);
        }
    }
    println!("{} of {count} seeds clean; red: {failed_seeds:?}", count - failed_seeds.len() as u64);
    Ok(if failed_seeds.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn scenarios(plan: ScenarioPlan) -> Result<ExitCode, Failure> {
    let mut rows = Vec::new();
    println!("{}", ScenarioRow::table_header());
    let measured = experiment::scenarios(&plan, |row| {
        println!("{row}");
        rows.push(row.to_json());
    });
    measured.await?;
    let path = plan.folder.join("scenarios.json");
    std::fs::write(&path, serde_json::to_string_pretty(&rows)?)?;
    println!("{}", path.display());
    Ok(ExitCode::SUCCESS)
}

async fn control_cost(entries: Vec<usize>, size: ConfigurationSize) -> Result<ExitCode, Failure> {
    println!("{}", ControlCost::table_header());
    for count in entries {
        let folder = Path::new("out/control-cost").join(count.to_string());
        println!("{}", experiment::control_cost(&folder, count, size).await?);
    }
    Ok(ExitCode::SUCCESS)
}

fn single_thread(
    work: impl Future<Output = Result<ExitCode, Failure>>,
) -> Result<ExitCode, Failure> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}

fn many_threads(
    work: impl Future<Output = Result<ExitCode, Failure>>,
) -> Result<ExitCode, Failure> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(work)
}
