//! Resource usage of the processes of one role with control traffic only.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::capacity_error::CapacityError;
use super::fleet::{Fleet, Role};
use super::process_usage::ProcessUsage;
use super::spread::{Spread, divisor, float};

/// Resource usage of the processes of one role over several time windows.
#[derive(Debug, Serialize)]
pub(super) struct RoleWindow {
    /// Number of processes of the role.
    processes: usize,
    /// Share of one core that a process uses; the spread is over processes and windows.
    cpu_percent: Spread,
    /// Resident memory of a process at the end.
    resident_mib: Spread,
    /// Resident memory of a process that is not shared, at the end.
    anonymous_mib: Spread,
    /// Bytes per second between one process and the platform, headers included, counted by the
    /// relay.
    platform_wire_bytes_per_s: Spread,
    /// Control counters of one process, as a mean per second.
    control_per_s: BTreeMap<String, f64>,
}

/// Usage of all processes of a role at one time.
#[derive(Debug)]
struct Sample {
    at: Instant,
    usages: Vec<ProcessUsage>,
    wire_bytes: u64,
}

impl RoleWindow {
    /// Measures both roles over the windows that the fleet's size sets.
    pub(super) async fn measure(fleet: &Fleet) -> Result<[Self; 2], CapacityError> {
        let length = Duration::from_millis(u64::from(fleet.size.window_ms));
        let roles = [Role::Entry, Role::Sidecar];
        let before = [
            counters(fleet, roles[0]).await?,
            counters(fleet, roles[1]).await?,
        ];
        let mut samples = [Vec::new(), Vec::new()];
        for window in 0..=fleet.size.windows {
            if window > 0 {
                sleep(length).await;
            }
            for (role, samples) in roles.iter().zip(&mut samples) {
                samples.push(sample(fleet, *role).await?);
            }
        }
        let after = [
            counters(fleet, roles[0]).await?,
            counters(fleet, roles[1]).await?,
        ];
        Ok([0, 1].map(|role| Self::between(&samples[role], &before[role], &after[role])))
    }

    fn between(
        samples: &[Sample],
        before: &BTreeMap<String, u64>,
        after: &BTreeMap<String, u64>,
    ) -> Self {
        let last: &[ProcessUsage] = samples.last().map_or(&[], |sample| &sample.usages);
        let processes = last.len();
        let seconds = match (samples.first(), samples.last()) {
            (Some(first), Some(last)) => (last.at - first.at).as_secs_f64(),
            _ => 1.0,
        };
        let mib = |kib: u64| float(kib) / 1024.0;
        Self {
            processes,
            cpu_percent: Spread::of(samples.windows(2).flat_map(cpu_percents)),
            resident_mib: Spread::of(last.iter().map(|usage| mib(usage.resident_kib))),
            anonymous_mib: Spread::of(last.iter().map(|usage| mib(usage.anonymous_kib))),
            platform_wire_bytes_per_s: Spread::of(samples.windows(2).map(wire_rate)),
            control_per_s: rates(before, after, seconds * divisor(processes)),
        }
    }
}

/// Sums a role's control counters.
pub(super) async fn counters(
    fleet: &Fleet,
    role: Role,
) -> Result<BTreeMap<String, u64>, CapacityError> {
    let mut totals = BTreeMap::new();
    for process in fleet.processes(role) {
        let status = fleet.status(process).await?;
        let counters = status["counters"].as_object().into_iter().flatten();
        for (name, count) in counters.filter(|(name, _)| name.starts_with("control.")) {
            *totals.entry(name.clone()).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    Ok(totals)
}

/// Processor time of all processes of a role since they started, in nanoseconds.
pub(super) fn cpu_ns(fleet: &Fleet, role: Role) -> Result<u64, CapacityError> {
    let mut total_ns = 0;
    for process in fleet.processes(role) {
        total_ns += process.usage()?.cpu_ns;
    }
    Ok(total_ns)
}

async fn sample(fleet: &Fleet, role: Role) -> Result<Sample, CapacityError> {
    let wire_bytes = fleet.wire_bytes(role).await?;
    let at = Instant::now();
    let usages: Result<Vec<_>, _> = fleet
        .processes(role)
        .iter()
        .map(super::daemon_process::DaemonProcess::usage)
        .collect();
    Ok(Sample {
        at,
        usages: usages?,
        wire_bytes,
    })
}

fn cpu_percents(pair: &[Sample]) -> Vec<f64> {
    let elapsed_ns = (pair[1].at - pair[0].at).as_secs_f64() * 1e9;
    let used = pair[0].usages.iter().zip(&pair[1].usages);
    used.map(|(before, after)| float(after.cpu_ns - before.cpu_ns) / elapsed_ns * 100.0)
        .collect()
}

fn wire_rate(pair: &[Sample]) -> f64 {
    let elapsed_s = (pair[1].at - pair[0].at).as_secs_f64();
    let bytes = float(pair[1].wire_bytes.saturating_sub(pair[0].wire_bytes));
    bytes / elapsed_s / divisor(pair[0].usages.len())
}

fn rates(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
    process_seconds: f64,
) -> BTreeMap<String, f64> {
    let rate = |(name, count): (&String, &u64)| {
        let grown = count.saturating_sub(before.get(name).copied().unwrap_or(0));
        let per_s = (float(grown) / process_seconds * 1000.0).round() / 1000.0;
        (name.trim_start_matches("control.").to_owned(), per_s)
    };
    after
        .iter()
        .map(rate)
        .filter(|(_, per_s)| *per_s > 0.0)
        .collect()
}
