//! Schedule of a scenario's faults.

use std::time::Duration;

use amaranthscale_core::unit::Class;

use super::deployment::{RERANK_SERVICE, STAGES};
use super::fault::Fault;
use super::{Deployment, Scenario};

/// Seconds at which the main fault begins and ends.
const BEGIN_S: u64 = 15;
const END_S: u64 = 40;
/// Seconds between faults that affect the stages in turn.
const TURN_S: u64 = 8;
/// Lag of the host list in its own scenario.
const LIST_LAG_S: u64 = 10;
/// Duration of the cause of the retry storm, in seconds.
const STORM_S: u64 = 10;
/// Factor by which a straggler is slower.
const STRAGGLER_FACTOR: f64 = 5.0;
/// Factor by which generation is slower to cause the retry storm.
const STORM_FACTOR: f64 = 8.0;
/// Factor of the trial demand in a surge.
const SURGE_FACTOR: f64 = 10.0;
/// Demand factor of the flooding organisation: ten times its limit, which is 1.5 times its usual
/// rate.
const FLOOD_FACTOR: f64 = 15.0;
/// Share of long case files in their burst.
const LONG_SHARE: f64 = 0.3;

/// Faults with their times, in order.
pub(super) fn schedule(
    scenario: Scenario,
    deployment: &Deployment,
    seed: u64,
) -> Vec<(Duration, Fault)> {
    match scenario {
        Scenario::Steady => Vec::new(),
        Scenario::TrialSurge => trial_surge(deployment),
        Scenario::LongCaseFiles => span(
            Fault::LongFiles { share: LONG_SHARE },
            Fault::LongFiles { share: 0.0 },
        ),
        Scenario::Straggler => in_turn(deployment, seed, |server| {
            let slow = Fault::Speed {
                server,
                factor: STRAGGLER_FACTOR,
            };
            vec![
                slow,
                Fault::Speed {
                    server,
                    factor: 1.0,
                },
            ]
        }),
        Scenario::ServerDies => in_turn(deployment, seed, |server| vec![Fault::Die { server }]),
        Scenario::ServerFreezes => in_turn(deployment, seed, |server| {
            vec![Fault::Freeze { server }, Fault::Thaw { server }]
        }),
        Scenario::ZoneGoes => zone_goes(deployment, seed),
        Scenario::StoreAway => span(
            Fault::Store {
                is_unavailable: true,
            },
            Fault::Store {
                is_unavailable: false,
            },
        ),
        Scenario::HostListLag => host_list_lag(deployment, seed),
        Scenario::RetryStorm => retry_storm(deployment),
        Scenario::OrganisationFlood => span(
            Fault::Demand {
                organisation: 0,
                factor: FLOOD_FACTOR,
            },
            Fault::Demand {
                organisation: 0,
                factor: 1.0,
            },
        ),
    }
}

fn span(begin: Fault, end: Fault) -> Vec<(Duration, Fault)> {
    vec![
        (Duration::from_secs(BEGIN_S), begin),
        (Duration::from_secs(END_S), end),
    ]
}

fn trial_surge(deployment: &Deployment) -> Vec<(Duration, Fault)> {
    let organisations = deployment.organisations.iter().enumerate();
    let trials = organisations.filter(|(_, spec)| spec.class == Class::Trial);
    let surge = |organisation: usize| {
        span(
            Fault::Demand {
                organisation,
                factor: SURGE_FACTOR,
            },
            Fault::Demand {
                organisation,
                factor: 1.0,
            },
        )
    };
    trials
        .flat_map(|(organisation, _)| surge(organisation))
        .collect()
}

/// Faults at one server of each stage, one stage after another.
fn in_turn(
    deployment: &Deployment,
    seed: u64,
    faults: impl Fn(usize) -> Vec<Fault>,
) -> Vec<(Duration, Fault)> {
    let mut planned = Vec::new();
    for stage in 0..STAGES {
        let server = pick(deployment, stage, seed);
        let begin_s = BEGIN_S + TURN_S * u64::try_from(stage).unwrap_or(0);
        for (turn, fault) in (0..).zip(faults(server)) {
            planned.push((Duration::from_secs(begin_s + TURN_S * turn), fault));
        }
    }
    planned
}

fn zone_goes(deployment: &Deployment, seed: u64) -> Vec<(Duration, Fault)> {
    let zones = deployment.zones.len();
    let zone = usize::try_from(seed).unwrap_or(0) % zones;
    let gone = (0..server_count(deployment)).filter(|server| server % zones == zone);
    let begin = Duration::from_secs(BEGIN_S);
    let mut planned: Vec<_> = gone
        .map(|server| (begin, Fault::Vanish { server }))
        .collect();
    planned.push((Duration::from_secs(END_S), Fault::PublishHosts));
    planned
}

fn host_list_lag(deployment: &Deployment, seed: u64) -> Vec<(Duration, Fault)> {
    let begin = Duration::from_secs(BEGIN_S);
    let offset = usize::try_from(seed).unwrap_or(0) % 10;
    let replaced: Vec<_> = (0..server_count(deployment))
        .filter(|server| server % 10 == offset)
        .collect();
    let gone = replaced
        .iter()
        .map(|&server| (begin, Fault::Vanish { server }));
    let new = replaced
        .iter()
        .map(|&server| (begin, Fault::Replace { server }));
    let mut planned: Vec<_> = gone.chain(new).collect();
    planned.push((begin + Duration::from_secs(LIST_LAG_S), Fault::PublishHosts));
    planned
}

fn retry_storm(deployment: &Deployment) -> Vec<(Duration, Fault)> {
    let first = first_server(deployment, STAGES - 1);
    let engines = first..first + deployment.services[STAGES - 1].servers;
    let speeds = [(BEGIN_S, STORM_FACTOR), (BEGIN_S + STORM_S, 1.0)];
    let change = |(at_s, factor): (u64, f64)| {
        let engines = engines.clone();
        engines.map(move |server| (Duration::from_secs(at_s), Fault::Speed { server, factor }))
    };
    speeds.into_iter().flat_map(change).collect()
}

fn pick(deployment: &Deployment, stage: usize, seed: u64) -> usize {
    let servers = deployment.services[stage].servers;
    first_server(deployment, stage) + usize::try_from(seed).unwrap_or(0) % servers
}

fn first_server(deployment: &Deployment, service: usize) -> usize {
    deployment.services[..service]
        .iter()
        .map(|spec| spec.servers)
        .sum()
}

fn server_count(deployment: &Deployment) -> usize {
    first_server(deployment, deployment.services.len())
}

/// Factor of a long case file's work at a service.
pub(super) const fn long_file_factor(service: usize) -> f64 {
    match service {
        RERANK_SERVICE => 6.0,
        _ if service == STAGES - 1 => 2.0,
        _ => 1.0,
    }
}
