//! Runs a whole deployment in one process and sends it a mixed load.
//!
//! Stand-ins, sidecars and one entry run as tasks on loopback ports. Paid and trial organisations
//! of Delta Basin Sugar Cooperative ask for beet intake assessments and grower settlements. The
//! program exits with 0 only if every request got exactly one correct answer.

use std::collections::BTreeMap;
use std::error::Error;
use std::process::ExitCode;

use amaranthscale_core::version::SettingsTree;
use amaranthscale_standins::deployment::{BackendKind, Deployment, DeploymentPlan};
use amaranthscale_standins::engine::EngineSettings;
use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::load::{Caller, CallerAnswer, LoadReport};
use amaranthscale_standins::service::ServiceSettings;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::JoinSet;

/// Settings tree of Delta Basin, as its operators would import it.
const TREE: &str = include_str!("../../../examples/delta-basin/tree.json");
/// Requests of each caller.
const REQUESTS_EACH: u32 = 60;
/// Requests that each caller keeps open.
const OPEN_EACH: u32 = 6;

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    env_logger::init();
    let deployment = Deployment::start(plan()?).await?;
    let entry = deployment.entries().next().ok_or("no entry has started")?;
    println!("entry listens at {entry}");
    let report = send_load(&format!("http://{entry}")).await?;
    print_report(&report);
    print_costs(&format!("http://{entry}")).await?;
    let doubled = doubled_settlements(&deployment).await?;
    println!("settlements that ran twice: {doubled}");
    let is_drained = deployment.stop().await;
    let is_right = report.is_all_correct() && doubled == 0 && is_drained;
    println!(
        "{}",
        if is_right {
            "every request got one correct answer"
        } else {
            "FAILED"
        }
    );
    Ok(if is_right {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn plan() -> Result<DeploymentPlan, Box<dyn Error>> {
    let engine = EngineSettings {
        token_ms: 2,
        base_ms: 3,
        ..EngineSettings::default()
    };
    let ledger = ServiceSettings {
        service_ms: 5,
        ..ServiceSettings::default()
    };
    let pool = |count: u32, slots: u32| (BackendKind::Engine(engine), count, slots);
    let mut plan = DeploymentPlan::new(SettingsTree::from_json(TREE)?)
        .with_zones(vec!["north-yard".parse()?, "south-yard".parse()?]);
    for (service, (kind, count, slots)) in [
        ("encoders", pool(2, 8)),
        ("retrievers", pool(2, 8)),
        ("rerankers", pool(2, 8)),
        ("assay-llm", pool(4, 8)),
        ("grower-ledger", (BackendKind::Service(ledger), 2, 8)),
    ] {
        plan = plan.with_backends(service.parse()?, kind, count, slots);
    }
    Ok(plan)
}

async fn send_load(entry: &str) -> Result<LoadReport, Box<dyn Error>> {
    let callers = [
        Caller::new("north-intake", "paid", "demo-delta-north-intake"),
        Caller::new("south-intake", "paid", "demo-delta-south-intake"),
        Caller::new("mill-accounts", "paid", "demo-delta-mill-accounts"),
        Caller::new("driver-trial", "trial", "demo-delta-driver-trial"),
    ];
    let total = u64::from(REQUESTS_EACH) * callers.len() as u64;
    let progress = ProgressBar::new(total)
        .with_style(ProgressStyle::with_template("{bar:40} {pos}/{len} {msg}")?);
    let mut tasks = JoinSet::new();
    for caller in callers {
        for worker in 0..OPEN_EACH {
            let (caller, entry, progress) = (caller.clone(), entry.to_owned(), progress.clone());
            tasks.spawn(async move {
                let mut answers = Vec::new();
                for number in 0..REQUESTS_EACH / OPEN_EACH {
                    answers.push(send_one(&caller, &entry, worker, number).await);
                    progress.inc(1);
                }
                answers
            });
        }
    }
    let mut report = LoadReport::default();
    while let Some(answers) = tasks.join_next().await {
        for answer in answers? {
            report.record(&answer);
        }
    }
    progress.finish();
    Ok(report)
}

/// Every third request of the mill's accounts is a settlement; all others are assessments.
async fn send_one(caller: &Caller, entry: &str, worker: u32, number: u32) -> CallerAnswer {
    let marker = format!("{}-{worker}-{number}", caller.organisation());
    if caller.organisation() == "mill-accounts" && number.is_multiple_of(3) {
        return caller
            .settle(entry, "/v1/services/grower-ledger/settlements", &marker)
            .await;
    }
    caller
        .ask(entry, "/v1/pipelines/beet-intake", &marker)
        .await
}

fn print_report(report: &LoadReport) {
    println!("{report}");
    for sample in report.samples() {
        println!("sample: {sample}");
    }
}

async fn print_costs(entry: &str) -> Result<(), Box<dyn Error>> {
    let status: serde_json::Value = HttpClient::new()
        .get_json(format!("{entry}/status"))
        .await?;
    println!("cost by organisation and stage (server ms useful / wasted, tokens):");
    for line in status["decisions"]["costs"]
        .as_array()
        .into_iter()
        .flatten()
    {
        println!(
            "  {:16} {:14} {:>8} / {:<8} {:>8}",
            line["organisation"].as_str().unwrap_or_default(),
            line["stage"].as_str().unwrap_or_default(),
            line["useful_server_ms"],
            line["wasted_server_ms"],
            line["useful_tokens"],
        );
    }
    Ok(())
}

/// Settlements whose key ran more than once, by the ledgers' own records.
async fn doubled_settlements(deployment: &Deployment) -> Result<usize, Box<dyn Error>> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for backend in deployment.backends() {
        if backend.service().as_str() != "grower-ledger" {
            continue;
        }
        let url = format!("http://{}/executions", backend.backend_address());
        let executions: Vec<serde_json::Value> = HttpClient::new().get_json(url).await?;
        for execution in executions {
            let digest = execution["body_digest"].as_str().unwrap_or_default();
            *runs.entry(digest.to_owned()).or_default() += 1;
        }
    }
    Ok(runs.values().filter(|count| **count > 1).count())
}
