//! Sweeps over one size of a deployment.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::capacity_error::CapacityError;
use super::fleet::Fleet;
use super::fleet_size::FleetSize;
use super::role_window::RoleWindow;
use super::spread::float;
use super::{limits, probes};

/// Time between the start of the processes and the first measurement.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time in which each process connects to each other one, at `CONNECT_EXCHANGE_MS`.
const CONNECT_TIME: Duration = Duration::from_secs(25);
/// Interval of tree exchanges in the sweep of connections, short so that all processes connect soon.
const CONNECT_EXCHANGE_MS: u32 = 20;
/// Specified number of organisations.
const SPECIFIED_ORGANISATIONS: u32 = 1300;

/// Size that a sweep varies from point to point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sweep {
    /// Sidecar processes: idle, then timed edits.
    Sidecars,
    /// Entry processes: idle, then timed edits.
    Entries,
    /// Organisations in the tree: idle, then timed edits.
    Organisations,
    /// Edits in a time window.
    Edits,
    /// Hosts in the host list.
    Hosts,
    /// Open connections: sidecars, all of which are connected to all entries.
    Connections,
    /// Calls that must not be repeated.
    Claims,
    /// Organisations with new costs between two writes of costs.
    Costs,
    /// Concurrent token streams.
    Tokens,
    /// Entries that share an organisation's limit; simulated with the core's code only.
    Limits,
}

impl Sweep {
    /// Names on the command line.
    pub(super) const NAMES: [&'static str; 10] = [
        "sidecars",
        "entries",
        "organisations",
        "edits",
        "hosts",
        "connections",
        "claims",
        "costs",
        "tokens",
        "limits",
    ];

    /// The sweep with this name; the first one for an unknown name, which the command line
    /// rejects.
    pub(super) fn of(name: &str) -> Self {
        match name {
            "entries" => Self::Entries,
            "organisations" => Self::Organisations,
            "edits" => Self::Edits,
            "hosts" => Self::Hosts,
            "connections" => Self::Connections,
            "claims" => Self::Claims,
            "costs" => Self::Costs,
            "tokens" => Self::Tokens,
            "limits" => Self::Limits,
            _ => Self::Sidecars,
        }
    }

    /// Measures the points in sequence and prints a line for each.
    pub(super) async fn run(
        self,
        size: FleetSize,
        points: Option<Vec<u32>>,
        binaries: Option<PathBuf>,
    ) -> Result<(), CapacityError> {
        let points = points.unwrap_or_else(|| self.default_points().to_vec());
        for point in points {
            let figures = self.point(size, point, binaries.clone()).await?;
            println!("{figures}");
        }
        Ok(())
    }

    const fn default_points(self) -> &'static [u32] {
        match self {
            Self::Sidecars | Self::Connections => &[5, 20, 80, 200],
            Self::Entries => &[2, 5, 20, 40],
            Self::Organisations => &[5, 80, 400, SPECIFIED_ORGANISATIONS],
            Self::Edits => &[1, 91, 910],
            Self::Hosts => &[0, 40, 200, 1030],
            Self::Claims => &[320, 3200],
            Self::Costs => &[5, 80, SPECIFIED_ORGANISATIONS],
            Self::Tokens => &[4, 16, 64],
            Self::Limits => &[1, 2, 5, 20, 40, 120, 380],
        }
    }

    /// The size of the deployment at a point.
    const fn size_at(self, size: FleetSize, point: u32) -> FleetSize {
        match self {
            Self::Sidecars => FleetSize {
                sidecars: point,
                ..size
            },
            Self::Connections => FleetSize {
                sidecars: point,
                exchange_ms: CONNECT_EXCHANGE_MS,
                ..size
            },
            Self::Entries => FleetSize {
                entries: point,
                ..size
            },
            Self::Organisations => FleetSize {
                organisations: point,
                ..size
            },
            Self::Costs => FleetSize {
                organisations: point,
                sidecars: 2,
                entries: 1,
                ..size
            },
            Self::Claims | Self::Tokens => FleetSize {
                sidecars: 2,
                entries: 1,
                ..size
            },
            Self::Edits | Self::Hosts | Self::Limits => size,
        }
    }

    async fn point(
        self,
        size: FleetSize,
        point: u32,
        binaries: Option<PathBuf>,
    ) -> Result<Value, CapacityError> {
        if self == Self::Limits {
            return Ok(limits::refused_share(point));
        }
        let size = self.size_at(size, point);
        let mut fleet = Fleet::start(size, binaries).await?;
        sleep(SETTLING_TIME).await;
        let figures = self.measure(&mut fleet, point).await?;
        Ok(json!({"size": size, "point": point, "figures": figures}))
    }

    async fn measure(self, fleet: &mut Fleet, point: u32) -> Result<Value, CapacityError> {
        match self {
            Self::Sidecars | Self::Entries | Self::Organisations => idle_and_edits(fleet).await,
            Self::Connections => {
                sleep(CONNECT_TIME).await;
                idle(fleet).await
            }
            Self::Edits => probes::edits(fleet, point).await,
            Self::Hosts => {
                let hosts = probes::host_changes(fleet, point).await?;
                Ok(json!({"hosts": hosts, "idle": idle(fleet).await?}))
            }
            Self::Claims => probes::claims(fleet, point).await,
            Self::Costs => probes::costs(fleet, point).await,
            Self::Tokens => probes::tokens(fleet, point).await,
            Self::Limits => Ok(Value::Null),
        }
    }
}

async fn idle_and_edits(fleet: &mut Fleet) -> Result<Value, CapacityError> {
    let mut figures = idle(fleet).await?;
    figures["edits"] = probes::edit_times(fleet).await?;
    Ok(figures)
}

/// Resource usage of both roles and calls of the table with control traffic only.
async fn idle(fleet: &Fleet) -> Result<Value, CapacityError> {
    let before = fleet.platform_counts().await?;
    let started = tokio::time::Instant::now();
    let [entries, sidecars] = RoleWindow::measure(fleet).await?;
    let seconds = started.elapsed().as_secs_f64();
    let after = fleet.platform_counts().await?;
    Ok(json!({
        "entries": entries,
        "sidecars": sidecars,
        "table_reads_per_s": float(after.reads - before.reads) / seconds,
        "table_writes_per_s": float(after.writes - before.writes) / seconds,
        "refused_by_rate": after.refused_rate - before.refused_rate,
    }))
}
