//! The operators' tool reads what a real entry tells.

use std::io::Write as _;

use amaranthscale::operator::ctl::{command, run};
use amaranthscale_core::id::OrganisationId;
use amaranthscale_standins::deployment::{BackendKind, Deployment, DeploymentPlan, OPERATOR_KEY};
use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::load::demo_tree::{DEMO_KEY, demo_tree};
use amaranthscale_standins::service::ServiceSettings;

/// An operator asks for status and cost, and is told that the entry's answer cannot be read. The
/// cause: tool and entry each had their own form of the report, and no test joined the two.
#[tokio::test]
async fn status_and_cost_of_a_real_entry_are_shown() {
    // Arrange: one call has been made.
    let service = "echo".parse().unwrap();
    let kind = BackendKind::Service(ServiceSettings::default());
    let plan = DeploymentPlan::new(demo_tree()).with_backends(service, kind, 1, 4);
    let deployment = Deployment::start(plan).await.unwrap();
    let entry = deployment.entries().next().unwrap();
    let mut key = tempfile::NamedTempFile::new().unwrap();
    writeln!(key, "{OPERATOR_KEY}").unwrap();
    let bearer = format!("Bearer {DEMO_KEY}");
    let url = format!("http://{entry}/v1/services/echo/echo");
    let called = HttpClient::new()
        .post(url, &[("authorization", &bearer)], "{}")
        .await;
    assert!(called.unwrap().status.is_success());

    // Act
    let mut printed = Vec::new();
    for words in [
        ["status", ""],
        ["cost", ""],
        ["tree", "show"],
        ["tree", "history"],
    ] {
        let address = entry.to_string();
        let file = key.path().to_str().unwrap();
        let options = ["amaranthctl", "--entry", &address, "--key-file", file];
        let words = words.into_iter().filter(|word| !word.is_empty());
        let matches = command()
            .try_get_matches_from(options.into_iter().chain(words))
            .unwrap();
        printed.push(run(&matches).await.unwrap());
    }

    // Assert
    let measure: OrganisationId = "measure".parse().unwrap();
    assert!(
        printed[0].contains("\"host_list_version\""),
        "{}",
        printed[0]
    );
    let cost = printed[1]
        .lines()
        .find(|line| line.starts_with(measure.as_str()));
    assert!(
        cost.is_some_and(|line| line.contains("echo")),
        "{}",
        printed[1]
    );
    assert!(printed[2].starts_with("version 1"), "{}", printed[2]);
    assert!(printed[3].starts_with("1 by deployment"), "{}", printed[3]);
    deployment.stop().await;
}
