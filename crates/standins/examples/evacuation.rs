//! Evacuates an availability zone under load, and takes it back.
//!
//! Stand-ins, sidecars and one entry run as tasks on loopback ports. A caller makes settlements all the
//! while; an operator evacuates the entry's own one of two zones after two seconds and takes it back after
//! five. A line a second shows where settlements ran. The program exits with 0 only if all were
//! complete and none ran in the zone while it was evacuated.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use amaranthscale_core::version::SettingsTree;
use amaranthscale_standins::deployment::{BackendKind, Deployment, DeploymentPlan, OPERATOR_KEY};
use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::load::Caller;
use amaranthscale_standins::service::ServiceSettings;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Settings tree of Delta Basin, as its operators would import it.
const TREE: &str = include_str!("../../../examples/delta-basin/tree.json");
/// Zones; the entry is in the first, which is evacuated.
const ZONES: [&str; 2] = ["north-yard", "south-yard"];
/// Seconds that the load lasts.
const SECONDS: u64 = 8;
/// Second in which the zone is evacuated, and the one in which it is taken back.
const EVACUATED_FROM: u64 = 2;
const TAKEN_BACK_FROM: u64 = 5;

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    env_logger::init();
    let kind = BackendKind::Service(ServiceSettings {
        service_ms: 5,
        ..ServiceSettings::default()
    });
    let zones = ZONES
        .map(str::parse)
        .into_iter()
        .collect::<Result<_, _>>()?;
    let plan = DeploymentPlan::new(SettingsTree::from_json(TREE)?)
        .with_zones(zones)
        .with_backends("grower-ledger".parse()?, kind, 2, 8);
    let deployment = Deployment::start(plan).await?;
    let entry = deployment.entries().next().ok_or("no entry has started")?;
    let is_right = run(&deployment, &format!("http://{entry}")).await?;
    let is_drained = deployment.stop().await;
    println!(
        "{}",
        if is_right {
            "nothing ran in the evacuated zone"
        } else {
            "FAILED"
        }
    );
    Ok(if is_right && is_drained {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn run(deployment: &Deployment, entry: &str) -> Result<bool, Box<dyn Error>> {
    let caller = Caller::new("mill-accounts", "paid", "demo-delta-mill-accounts");
    let mut before = executions(deployment).await?;
    let mut is_right = true;
    println!("second  complete  {:>10}  {:>10}", ZONES[0], ZONES[1]);
    for second in 0..SECONDS {
        match second {
            EVACUATED_FROM => edit(entry, "evacuate_zone").await?,
            TAKEN_BACK_FROM => edit(entry, "take_back_zone").await?,
            _ => {}
        }
        let (asked, complete) = settle_for_a_second(&caller, entry, second).await;
        let now = executions(deployment).await?;
        let [own, other] = [now[0] - before[0], now[1] - before[1]];
        println!("{second:>6}  {complete:>8}  {own:>10}  {other:>10}");
        let is_evacuated = (EVACUATED_FROM..TAKEN_BACK_FROM).contains(&second);
        is_right &= complete == asked && !(is_evacuated && own > 0);
        before = now;
    }
    Ok(is_right)
}

/// Settlements that were asked for within a second, and those that were complete.
async fn settle_for_a_second(caller: &Caller, entry: &str, second: u64) -> (u64, u64) {
    let path = "/v1/services/grower-ledger/settlements";
    let until = Instant::now() + Duration::from_secs(1);
    let (mut asked, mut complete) = (0, 0);
    while Instant::now() < until {
        let answer = caller
            .settle(entry, path, &format!("{second}-{asked}"))
            .await;
        asked += 1;
        complete += u64::from(answer.is_complete());
    }
    (asked, complete)
}

/// Settlements that each backend server has run, in order of the zones.
async fn executions(deployment: &Deployment) -> Result<Vec<usize>, Box<dyn Error>> {
    let mut counts = Vec::new();
    for backend in deployment.backends() {
        let url = format!("http://{}/executions", backend.backend_address());
        let executions: Vec<Value> = HttpClient::new().get_json(url).await?;
        counts.push(executions.len());
    }
    Ok(counts)
}

/// Makes an edit of the entry's zone as an operator, and waits until it is in force.
async fn edit(entry: &str, kind: &str) -> Result<(), Box<dyn Error>> {
    let http = HttpClient::new();
    let status: Value = http.get_json(format!("{entry}/status")).await?;
    let version = &status["tree"]["version"];
    let edit = json!({"kind": kind, "zone": ZONES[0]});
    let body = json!({"expected_version": version, "by": "example", "edit": edit});
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let url = format!("{entry}/v1/operator/edits");
    let reply = http.post(url, &headers, serde_json::to_vec(&body)?).await?;
    if !reply.status.is_success() {
        return Err(String::from_utf8_lossy(&reply.body).into());
    }
    let is_evacuated = kind == "evacuate_zone";
    loop {
        let status: Value = http.get_json(format!("{entry}/status")).await?;
        let zones = status["decisions"]["zones"].as_array().cloned();
        let zone = zones
            .into_iter()
            .flatten()
            .find(|line| line["zone"] == ZONES[0]);
        if zone.is_some_and(|line| line["evacuated_ms"].is_u64() == is_evacuated) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
