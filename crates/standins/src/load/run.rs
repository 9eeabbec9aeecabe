//! An open-loop load on running entries.
//!
//! Arrival times don't depend on the answers: a closed loop would slow down with the system and
//! hide the latency that callers experience. Each caller retries after the delay that a refusal
//! states, until its deadline has passed.

mod arrivals;
mod load_plan;
mod load_plan_error;
mod organisation_load;
mod stage_costs;

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::{Caller, CallerAnswer, LoadReport};

#[doc(inline)]
pub use arrivals::{Arrival, Arrivals};
#[doc(inline)]
pub use load_plan::LoadPlan;
#[doc(inline)]
pub use load_plan_error::LoadPlanError;
#[doc(inline)]
pub use organisation_load::{CallKind, OrganisationLoad};
use stage_costs::StageCosts;

/// Command line of the load.
#[must_use]
pub fn command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help("What organisations ask for, and how often, in INI")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    let entry = Arg::new("entry")
        .long("entry")
        .value_name("ADDRESS")
        .help("Address of an entry; may be given more than once")
        .value_parser(value_parser!(SocketAddr))
        .action(ArgAction::Append)
        .required(true);
    Command::new("run")
        .about("Sends load that never waits for answers, and reports what came of it")
        .args([config, entry])
}

/// Runs the requested load.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let entries: Vec<SocketAddr> = matches
        .get_many("entry")
        .map(|entries| entries.copied().collect())
        .unwrap_or_default();
    let file = matches
        .get_one::<PathBuf>("config")
        .ok_or("no plan given")?;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    let plan = LoadPlan::parse(&name, &text).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let running = send_and_print(&plan, &entries);
    runtime.block_on(running).map_err(|error| error.to_string())
}

async fn send_and_print(plan: &LoadPlan, entries: &[SocketAddr]) -> Result<(), Box<dyn Error>> {
    let before = StageCosts::read(entries).await?;
    let report = send(plan, entries).await;
    let costs = StageCosts::read(entries).await?.since(&before);
    println!("{report}");
    println!("{}", report.details(plan.duration));
    println!("{costs}");
    Ok(())
}

/// Sends requests at their arrival times, and waits for answers only after the last arrival.
pub async fn send(plan: &LoadPlan, entries: &[SocketAddr]) -> LoadReport {
    let started = Instant::now();
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let callers: Vec<Caller> = plan.organisations.iter().map(caller).collect();
    let mut in_flight = JoinSet::new();
    for (number, arrival) in Arrivals::of(plan).enumerate() {
        sleep_until(started + arrival.at).await;
        let (Some(caller), Some(load)) = (
            callers.get(arrival.organisation),
            plan.organisations.get(arrival.organisation),
        ) else {
            continue;
        };
        let entry = entries[random.random_range(0..entries.len())];
        let marker = format!("{}-{}-{number}", load.organisation, plan.seed);
        let prefix = load.prefix(random.random_range(0..load.prefixes));
        let request = ask(caller.clone(), load.clone(), entry, prefix, marker);
        in_flight.spawn(request);
    }
    let mut report = LoadReport::default();
    while let Some(answer) = in_flight.join_next().await {
        // A task that panicked is a bug, and shows as a missing request in the report.
        if let Ok(answer) = answer {
            report.record(&answer);
        }
    }
    report
}

fn caller(load: &OrganisationLoad) -> Caller {
    Caller::new(&load.organisation, load.class.to_string(), &load.key)
        .with_deadline(load.deadline)
        .with_max_tokens(load.max_tokens)
        .with_total_deadline()
}

async fn ask(
    caller: Caller,
    load: OrganisationLoad,
    entry: SocketAddr,
    prefix: String,
    marker: String,
) -> CallerAnswer {
    let entry = format!("http://{entry}");
    match load.kind {
        CallKind::Ask => {
            let caller = caller.with_prefix(prefix);
            caller.ask(&entry, &load.path, &marker).await
        }
        CallKind::Settle => caller.settle(&entry, &load.path, &marker).await,
    }
}
