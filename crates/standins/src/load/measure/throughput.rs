//! Four-stage requests per second through one entry.

use std::error::Error;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment::{BackendKind, Deployment, DeploymentPlan};
use crate::engine::EngineSettings;
use crate::http::HttpClient;
use crate::load::demo_tree::{DEMO_KEY, demo_tree};

/// Backend servers of each stage.
const SERVERS_EACH: u32 = 3;
/// Attempts that each backend server runs at once.
const SLOTS: u32 = 256;

/// Sends rounds of four-stage requests and prints the rate of complete answers.
pub(super) async fn measure(
    rounds: u32,
    requests: u32,
    concurrency: u32,
) -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::start(plan()?).await?;
    let entry = deployment.entries().next().ok_or("no entry has started")?;
    let url = format!("http://{entry}/v1/pipelines/quick");
    let mut rates = Vec::new();
    for round in 0..rounds {
        let (complete, seconds) = send(&url, requests, concurrency).await?;
        let rate = f64::from(complete) / seconds;
        println!("round {round}: {complete} of {requests} complete, {rate:.0} requests/s");
        rates.push(rate);
    }
    rates.sort_by(f64::total_cmp);
    if let (Some(least), Some(most)) = (rates.first(), rates.last()) {
        let median = rates[rates.len() / 2];
        println!("requests/s: median {median:.0}, range {least:.0} to {most:.0}, n {rounds}");
    }
    deployment.stop().await;
    Ok(())
}

fn plan() -> Result<DeploymentPlan, Box<dyn Error>> {
    let engine = EngineSettings {
        base_ms: 0,
        slots: SLOTS,
        ..EngineSettings::default()
    };
    let mut plan = DeploymentPlan::new(demo_tree());
    for service in ["encoders", "retrievers", "rerankers", "taggers"] {
        let kind = BackendKind::Engine(engine);
        plan = plan.with_backends(service.parse()?, kind, SERVERS_EACH, SLOTS);
    }
    Ok(plan)
}

async fn send(url: &str, requests: u32, concurrency: u32) -> Result<(u32, f64), Box<dyn Error>> {
    let started = Instant::now();
    let mut workers = JoinSet::new();
    for _ in 0..concurrency {
        let (url, http) = (url.to_owned(), HttpClient::new());
        workers.spawn(async move { send_some(&http, &url, requests / concurrency).await });
    }
    let mut complete = 0;
    while let Some(sent) = workers.join_next().await {
        complete += sent?;
    }
    Ok((complete, started.elapsed().as_secs_f64()))
}

async fn send_some(http: &HttpClient, url: &str, requests: u32) -> u32 {
    let bearer = format!("Bearer {DEMO_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-deadline-ms", "9000"),
    ];
    let mut complete = 0;
    for _ in 0..requests {
        let reply = http.post(url, &headers, r#"{"case":"measure"}"#).await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            complete += 1;
        }
    }
    complete
}
