//! The `policy` subcommand.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::report::Report;
use super::summary::Summary;
use super::{Deployment, Figures, Mechanism, Mechanisms, Scenario, Simulation, plot};

/// Default number of concurrent runs.
const DEFAULT_JOBS: &str = "4";

/// Describes the subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("policy")
        .about("Measures the policy under load and faults on a virtual clock")
        .arg(option("scenario", "NAME", "Scenario to run, or all").default_value("all"))
        .arg(
            option("deployment", "NAME", "Deployment: delta, cedarline or all")
                .default_value("delta"),
        )
        .arg(
            option("seed", "NUMBER", "First seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            option("seeds", "COUNT", "Number of seeds")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("1"),
        )
        .arg(
            option("jobs", "COUNT", "Runs at once")
                .value_parser(value_parser!(u64).range(1..))
                .default_value(DEFAULT_JOBS),
        )
        .arg(
            option("plot", "FILE", "Draw paid attainment over time")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(option(
            "variant",
            "NAME",
            "Run only this variant, as tables name it",
        ))
        .arg(
            option("load", "FACTOR", "Multiple of the usual demand")
                .value_parser(value_parser!(f64))
                .default_value("1"),
        )
        .arg(flag(
            "each",
            "Also run the design without each single mechanism",
        ))
        .arg(flag("json", "Print one JSON object for each scenario"))
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let scenarios = scenarios(text(matches, "scenario"))?;
    let deployments = deployments(text(matches, "deployment"))?;
    let load = matches.get_one::<f64>("load").copied().unwrap_or(1.0);
    for deployment in deployments
        .into_iter()
        .map(|deployment| deployment.with_load(load))
    {
        for &scenario in &scenarios {
            let report = measure(&deployment, scenario, matches)?;
            show(&report, matches)?;
        }
    }
    Ok(())
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::SetTrue)
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(1)
}

fn scenarios(name: &str) -> Result<Vec<Scenario>, String> {
    if name == "all" {
        return Ok(Scenario::ALL.to_vec());
    }
    name.parse()
        .map(|scenario| vec![scenario])
        .map_err(|invalid: super::InvalidScenario| invalid.to_string())
}

fn deployments(name: &str) -> Result<Vec<Deployment>, String> {
    if name == "all" {
        return Ok(vec![Deployment::delta_basin(), Deployment::cedarline()]);
    }
    name.parse().map(|deployment| vec![deployment])
}

fn measure(
    deployment: &Deployment,
    scenario: Scenario,
    matches: &ArgMatches,
) -> Result<Report, String> {
    let first_seed = number(matches, "seed");
    let seeds: Vec<_> = (first_seed..)
        .take(usize_of(number(matches, "seeds")))
        .collect();
    let jobs = usize_of(number(matches, "jobs"));
    let wanted = matches.get_one::<String>("variant");
    let mut variants = variants(matches.get_flag("each") || wanted.is_some());
    variants.retain(|(name, _)| wanted.is_none_or(|wanted| wanted == name));
    if variants.is_empty() {
        return Err("no variant has this name".to_owned());
    }
    let tasks: Vec<_> = variants
        .iter()
        .flat_map(|(_, mechanisms)| seeds.iter().map(move |seed| (mechanisms, *seed)))
        .collect();
    let mut figures = run_all(deployment, scenario, &tasks, jobs).into_iter();
    let summaries = variants.iter().map(|(variant, _)| Summary {
        variant: variant.clone(),
        runs: figures.by_ref().take(seeds.len()).collect(),
    });
    Ok(Report {
        deployment: deployment.clone(),
        scenario,
        first_seed,
        summaries: summaries.collect(),
    })
}

fn variants(has_each: bool) -> Vec<(String, Mechanisms)> {
    let mut variants = vec![
        ("baseline".to_owned(), Mechanisms::baseline()),
        ("design".to_owned(), Mechanisms::design()),
    ];
    if has_each {
        variants.extend(Mechanism::ALL.map(|mechanism| {
            (
                format!("without {mechanism}"),
                Mechanisms::design().without(mechanism),
            )
        }));
    }
    variants
}

/// Runs all tasks on several threads; runs share no state, so their order does not matter.
fn run_all(
    deployment: &Deployment,
    scenario: Scenario,
    tasks: &[(&Mechanisms, u64)],
    jobs: usize,
) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(vec![Figures::default(); tasks.len()]);
    let work = || {
        loop {
            let position = next.fetch_add(1, Ordering::Relaxed);
            let Some((mechanisms, seed)) = tasks.get(position) else {
                break;
            };
            let mechanisms = (*mechanisms).clone();
            let figures = Simulation::new(deployment.clone(), scenario, mechanisms, *seed).run();
            if let Ok(mut done) = done.lock() {
                done[position] = figures;
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(work);
        }
    });
    done.into_inner().unwrap_or_default()
}

fn show(report: &Report, matches: &ArgMatches) -> Result<(), String> {
    if matches.get_flag("json") {
        println!("{}", report.to_json());
    } else {
        println!("{}", report.to_table());
    }
    match matches.get_one::<PathBuf>("plot") {
        Some(path) => plot::draw(path, &report.summaries),
        None => Ok(()),
    }
}

fn usize_of(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
