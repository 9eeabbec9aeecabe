//! `amaranthctl` prints the reports of a real entry.

use std::io::Write as _;

use amaranthscale::operator::ctl::{command, run};
use amaranthscale_core::id::OrganisationId;
use amaranthscale_standins::deployment::{BackendKind, Deployment, DeploymentPlan, OPERATOR_KEY};
use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::load::demo_tree::{DEMO_KEY, demo_tree};
use amaranthscale_standins::service::ServiceSettings;

/// Guards against a tool that cannot parse the entry's status and cost reports: each side had its
/// own form of the report, and no test ran the two together.
#[tokio::test]
async fn amaranthctl_prints_status_cost_and_tree_of_a_real_entry() {
    // Arrange: one call, so that there is a cost to report.
    let service = "echo".parse().unwrap();
    let kind = BackendKind::Service(ServiceSettings::default());
    let plan = DeploymentPlan::new(demo_tree()).with_backends(service, kind, 1, 4);
    let deployment = Deployment::start(plan).await.unwrap();
    let entry = deployment.entries().next().unwrap();
    let mut key = tempfile::NamedTempFile::new().unwrap();
    writeln!(key, "{OPERATOR_KEY}").unwrap();
    let bearer = format!("Bearer {DEMO_KEY}");
    let url = format!("http://{entry}/v1/services/echo/echo");
    let answer = HttpClient::new()
        .post(url, &[("authorization", &bearer)], "{}")
        .await;
    assert!(answer.unwrap().status.is_success());

    // Act
    let mut outputs = Vec::new();
    for subcommand in [
        ["status", ""],
        ["cost", ""],
        ["tree", "show"],
        ["tree", "history"],
    ] {
        let address = entry.to_string();
        let file = key.path().to_str().unwrap();
        let options = ["amaranthctl", "--entry", &address, "--key-file", file];
        let subcommand = subcommand
            .into_iter()
            .filter(|argument| !argument.is_empty());
        let matches = command()
            .try_get_matches_from(options.into_iter().chain(subcommand))
            .unwrap();
        outputs.push(run(&matches).await.unwrap());
    }

    // Assert
    let organisation: OrganisationId = "measure".parse().unwrap();
    assert!(
        outputs[0].contains("\"host_list_version\""),
        "{}",
        outputs[0]
    );
    let cost_line = outputs[1]
        .lines()
        .find(|line| line.starts_with(organisation.as_str()));
    assert!(
        cost_line.is_some_and(|line| line.contains("echo")),
        "{}",
        outputs[1]
    );
    assert!(outputs[2].starts_with("version 1"), "{}", outputs[2]);
    assert!(outputs[3].starts_with("1 by deployment"), "{}", outputs[3]);
    deployment.stop().await;
}
