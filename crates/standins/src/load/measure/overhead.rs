//! Latency that entry and sidecar add to one call.

use std::error::Error;

use amaranthscale_core::version::SettingsTree;
use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::deployment::{BackendKind, Deployment, DeploymentPlan};
use crate::http::HttpClient;
use crate::load::demo_tree::{DEMO_KEY, demo_tree};
use crate::service::ServiceSettings;

/// Warm-up calls before the first round, which open connections and fill caches.
const WARM_UP: u32 = 200;

/// Calls a plain service directly and through the system alternately, and prints both latencies.
pub(super) async fn measure(rounds: u32, requests: u32) -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::start(plan(demo_tree())?).await?;
    let entry = deployment.entries().next().ok_or("no entry has started")?;
    let backend = deployment
        .backends()
        .first()
        .ok_or("no backend server has started")?;
    let direct = format!("http://{}/echo", backend.backend_address());
    let through = format!("http://{entry}/v1/services/echo/echo");
    let http = HttpClient::new();
    for url in [&direct, &through] {
        call_all(&http, url, WARM_UP).await?;
    }
    println!("round  direct p50/p99 us  through p50/p99 us  added p50/p99 us");
    let mut added = Vec::new();
    for round in 0..rounds {
        let direct = call_all(&http, &direct, requests).await?;
        let through = call_all(&http, &through, requests).await?;
        let difference = |quantile| {
            let after = through.value_at_quantile(quantile);
            after.saturating_sub(direct.value_at_quantile(quantile))
        };
        println!(
            "{round:5}  {:>7} / {:<7}  {:>7} / {:<7}  {:>7} / {:<7}",
            direct.value_at_quantile(0.5),
            direct.value_at_quantile(0.99),
            through.value_at_quantile(0.5),
            through.value_at_quantile(0.99),
            difference(0.5),
            difference(0.99),
        );
        added.push((difference(0.5), difference(0.99)));
    }
    print_spread("added p50 us", added.iter().map(|(p50, _)| *p50));
    print_spread("added p99 us", added.iter().map(|(_, p99)| *p99));
    deployment.stop().await;
    Ok(())
}

fn plan(tree: SettingsTree) -> Result<DeploymentPlan, Box<dyn Error>> {
    let service = ServiceSettings {
        service_ms: 0,
        ..ServiceSettings::default()
    };
    let plan = DeploymentPlan::new(tree);
    Ok(plan.with_backends("echo".parse()?, BackendKind::Service(service), 1, 16))
}

async fn call_all(
    http: &HttpClient,
    url: &str,
    requests: u32,
) -> Result<Histogram<u64>, Box<dyn Error>> {
    let bearer = format!("Bearer {DEMO_KEY}");
    let headers = [("authorization", bearer.as_str()), ("x-call-id", "measure")];
    let mut latency_us = Histogram::new(3)?;
    for _ in 0..requests {
        let started = Instant::now();
        let reply = http.post(url, &headers, r#"{"n":1}"#).await?;
        if !reply.status.is_success() {
            return Err(String::from_utf8_lossy(&reply.body).into());
        }
        latency_us.record(u64::try_from(started.elapsed().as_micros())?)?;
    }
    Ok(latency_us)
}

fn print_spread(name: &str, values: impl Iterator<Item = u64>) {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    if let (Some(least), Some(most)) = (values.first(), values.last()) {
        let median = values[values.len() / 2];
        println!(
            "{name}: median {median}, range {least} to {most}, n {}",
            values.len()
        );
    }
}
