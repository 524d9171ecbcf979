//! Parser of the command line.

use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Error;
use lexopt::Parser;
use lexopt::ValueExt;
use thymeshift_config::StrategyName;
use thymeshift_lab::experiment::ConfigurationSize;
use thymeshift_lab::experiment::Scenario;
use thymeshift_lab::experiment::ScenarioPlan;
use thymeshift_lab::load::EntryAddresses;
use thymeshift_lab::load::KindLoad;
use thymeshift_lab::load::LoadPlan;
use thymeshift_lab::standin::TargetSettings;

pub(crate) const HELP: &str = "\
Test stand-ins, load and experiments for thymeshift. Not part of the shipped product.

Usage:
  thymeshift-lab platform
  thymeshift-lab target [--slots=N] [--queue-max=N] [--service-us=N] [--fixed] [--seed=N]
                        [--probe-us=N] [--one-way-us=N] [--incarnation=N]
  thymeshift-lab load --entry=IP:PORT… --kind=NAME,METHOD,PATH,RATE_PER_S,ANSWER_BYTES,\
REQUEST_BYTES,IN_TIME_MS… [--seconds=N] [--seed=N] [--one-way-us=N] [--json]
  thymeshift-lab demo [--entries=N] [--seconds=N]
  thymeshift-lab path-cost [--seconds=N]
  thymeshift-lab control-cost [--entries=4,8,16] [--target-size]
  thymeshift-lab recovery [--entries=N]
  thymeshift-lab soak [--from=SEED] [--count=N] [--seconds=N] [--entries=N]
  thymeshift-lab decision-cost
  thymeshift-lab replay [--days=N]
  thymeshift-lab rounds [--journal=FOLDER] [--plot=FILE]
  thymeshift-lab scenarios [--entries=N] [--seconds=N] [--seeds=N] [--loads=70,85] [--no-probes]
                           [--hedge-ms=N] [--scenario=NAME…] [--strategy=NAME…]

Stand-ins print the addresses that they listen on and run until they are killed. Their control
ports:
  platform  PUT /documents/configuration?revision=N, PUT /documents/vms?revision=N,
            PUT /mode (\"normal\", \"silent\", {\"slow\": MS}, \"stale\", \"backwards\",
            \"rubbish\", \"failing\"), GET /calls
  target    PUT /behaviour (JSON, see the crate's documentation), GET /ledger
";

const STRATEGIES: [StrategyName; 6] = [
    StrategyName::Random,
    StrategyName::RoundRobin,
    StrategyName::LeastInFlight,
    StrategyName::TwoChoices,
    StrategyName::LatencyTwoChoices,
    StrategyName::ExpectedTime,
];

/// Command to run, with its options.
#[derive(Debug)]
pub(crate) enum Command {
    Help,
    Platform,
    Target(TargetSettings),
    Load { plan: LoadPlan, json: bool },
    Demo { entries: usize, seconds: u64 },
    PathCost { seconds: u64 },
    ControlCost { entries: Vec<usize>, size: ConfigurationSize },
    Recovery { entries: usize },
    Soak { seeds: Range<u64>, entries: usize, seconds: u64 },
    DecisionCost,
    Rounds { journal: String, plot: String },
    Scenarios(ScenarioPlan),
    Replay { days: u64 },
}

pub(crate) fn parse(mut parser: Parser) -> Result<Command, Error> {
    match parser.next()? {
        None => Err("a command is missing".into()),
        Some(Arg::Short('h') | Arg::Long("help")) => Ok(Command::Help),
        Some(Arg::Value(word)) => match word.string()?.as_str() {
            "platform" => without_options(parser, Command::Platform),
            "decision-cost" => without_options(parser, Command::DecisionCost),
            "target" => target(parser),
            "load" => load(parser),
            "demo" => demo(parser),
            "path-cost" => path_cost(parser),
            "control-cost" => control_cost(parser),
            "recovery" => recovery(parser),
            "soak" => soak(parser),
            "rounds" => rounds(parser),
            "replay" => replay(parser),
            "scenarios" => scenarios(parser),
            other => Err(format!("unknown command '{other}'").into()),
        },
        Some(unexpected) => Err(unexpected.unexpected()),
    }
}

fn parse_value<T: FromStr>(parser: &mut Parser) -> Result<T, Error>
where
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser.value()?.parse()
}

fn parse_list<T: FromStr>(parser: &mut Parser) -> Result<Vec<T>, Error>
where
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let text = parser.value()?.string()?;
    let values: Result<_, _> = text.split(',').map(str::parse).collect();
    values.map_err(|error: T::Err| Error::Custom(error.into()))
}

fn replay(mut parser: Parser) -> Result<Command, Error> {
    let mut days = 20;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("days") => days = parse_value(&mut parser)?,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    Ok(Command::Replay { days })
}

/// Returns `command`, or an error if any argument follows.
fn without_options(mut parser: Parser, command: Command) -> Result<Command, Error> {
    match parser.next()? {
        None => Ok(command),
        Some(unexpected) => Err(unexpected.unexpected()),
    }
}

fn target(mut parser: Parser) -> Result<Command, Error> {
    let mut settings = TargetSettings::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("slots") => settings.slots = parse_value(&mut parser)?,
            Arg::Long("queue-max") => settings.queue_max = parse_value(&mut parser)?,
            Arg::Long("service-us") => settings.service_us = parse_value(&mut parser)?,
            Arg::Long("fixed") => settings.has_random_service_time = false,
            Arg::Long("seed") => settings.seed = parse_value(&mut parser)?,
            Arg::Long("probe-us") => settings.probe_us = parse_value(&mut parser)?,
            Arg::Long("one-way-us") => settings.one_way_us = parse_value(&mut parser)?,
            Arg::Long("incarnation") => settings.incarnation = parse_value(&mut parser)?,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    Ok(Command::Target(settings))
}

fn load(mut parser: Parser) -> Result<Command, Error> {
    let mut json = false;
    let mut entries = Vec::new();
    let mut plan = LoadPlan {
        entries: EntryAddresses::default(),
        kinds: Vec::new(),
        duration: Duration::from_secs(5),
        seed: 1,
        one_way_us: 0,
        warm_connections: 32,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("entry") => entries.push(parse_value(&mut parser)?),
            Arg::Long("kind") => {
                let text = parser.value()?.string()?;
                let kind = KindLoad::parse(&text).map_err(|error| Error::Custom(error.into()))?;
                plan.kinds.push(kind);
            }
            Arg::Long("seconds") => plan.duration = Duration::from_secs(parse_value(&mut parser)?),
            Arg::Long("seed") => plan.seed = parse_value(&mut parser)?,
            Arg::Long("one-way-us") => plan.one_way_us = parse_value(&mut parser)?,
            Arg::Long("json") => json = true,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    if entries.is_empty() || plan.kinds.is_empty() {
        return Err("'load' needs at least one --entry and one --kind".into());
    }
    plan.entries.set(entries);
    Ok(Command::Load { plan, json })
}

fn demo(mut parser: Parser) -> Result<Command, Error> {
    let (mut entries, mut seconds) = (3, 6);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("entries") => entries = parse_value(&mut parser)?,
            Arg::Long("seconds") => seconds = parse_value(&mut parser)?,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    Ok(Command::Demo { entries, seconds })
}

fn path_cost(mut parser: Parser) -> Result<Command, Error> {
    let mut seconds = 4;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seconds") => seconds = parse_value(&mut parser)?,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    Ok(Command::PathCost { seconds })
}

fn scenarios(mut parser: Parser) -> Result<Command, Error> {
    let mut plan = ScenarioPlan {
        entries: 16,
        duration: Duration::from_secs(4),
        seeds: vec![1],
        scenarios: Vec::new(),
        strategies: Vec::new(),
        loads_percent: vec![70, 85],
        has_probes: true,
        hedge_after_ms: 0,
        folder: "out/scenarios".into(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("entries") => plan.entries = parse_value(&mut parser)?,
            Arg::Long("seconds") => plan.duration = Duration::from_secs(parse_value(&mut parser)?),
            Arg::Long("seeds") => plan.seeds = (1..=parse_value(&mut parser)?).collect(),
            Arg::Long("hedge-ms") => plan.hedge_after_ms = parse_value(&mut parser)?,
            Arg::Long("no-probes") => plan.has_probes = false,
            Arg::Long("loads") => plan.loads_percent = parse_list(&mut parser)?,
            Arg::Long("scenario") => {
                let name = parser.value()?.string()?;
                let found = Scenario::ALL.into_iter().find(|known| known.to_string() == name);
                plan.scenarios.push(found.ok_or(format!("no scenario is called '{name}'"))?);
            }
            Arg::Long("strategy") => {
                let name = parser.value()?.string()?;
                let found = STRATEGIES.into_iter().find(|known| known.to_string() == name);
                plan.strategies.push(found.ok_or(format!("no strategy is called '{name}'"))?);
            }
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    if plan.scenarios.is_empty() {
        plan.scenarios = Scenario::ALL.to_vec();
    }
    if plan.strategies.is_empty() {
        plan.strategies = STRATEGIES.to_vec();
    }
    Ok(Command::Scenarios(plan))
}

fn control_cost(mut parser: Parser) -> Result<Command, Error> {
    let mut entries = vec![4, 8, 16, 32];
    let mut size = ConfigurationSize::TariffExample;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("target-size") => size = ConfigurationSize::TargetSize,
            Arg::Long("entries") => entries = parse_list(&mut parser)?,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    Ok(Command::ControlCost { entries, size })
}

fn rounds(mut parser: Parser) -> Result<Command, Error> {
    let mut journal = "journal".to_owned();
    let mut plot = "docs/rounds.svg".to_owned();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("journal") => journal = parser.value()?.string()?,
            Arg::Long("plot") => plot = parser.value()?.string()?,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    Ok(Command::Rounds { journal, plot })
}

fn soak(mut parser: Parser) -> Result<Command, Error> {
    let (mut from, mut count, mut seconds, mut entries) = (1, 1, 8, 4);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("from") => from = parse_value(&mut parser)?,
            Arg::Long("count") => count = parse_value(&mut parser)?,
            Arg::Long("seconds") => seconds = parse_value(&mut parser)?,
            Arg::Long("entries") => entries = parse_value(&mut parser)?,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    if entries < 2 {
        return Err("'soak' needs at least two entry processes".into());
    }
    Ok(Command::Soak { seeds: from..from.saturating_add(count), entries, seconds })
}

fn recovery(mut parser: Parser) -> Result<Command, Error> {
    let mut entries = 16;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("entries") => entries = parse_value(&mut parser)?,
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    Ok(Command::Recovery { entries })
}
