//! Reports and trees as text.

use std::fmt::Display;

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::unit::RatePerSecond;
use amaranthscale_core::version::{
    EditRecord, EffectiveSettings, Organisation, OverrideField, Pipeline, Service, SettingsTree,
    Stage,
};
use serde_json::Value;

use crate::entry::process::CostLine;

/// The tree of organisations, then pipelines, services and evacuated zones.
pub(super) fn tree(tree: &SettingsTree) -> String {
    let mut output = format!("version {}\n\norganisations\n", tree.version);
    let is_root = |organisation: &Organisation| organisation.parent.is_none();
    for (id, organisation) in tree.organisations.iter().filter(|(_, o)| is_root(o)) {
        write_organisation(&mut output, tree, id, organisation, 1);
    }
    output += "\npipelines\n";
    let pipelines = tree.pipelines.iter();
    output.extend(pipelines.map(|(id, pipeline)| format!("  {id}: {}\n", stages(pipeline))));
    output += "\nservices\n";
    let services = tree.services.iter();
    output.extend(services.map(|(id, service)| format!("  {id}: {}\n", calls(service))));
    if !tree.evacuated_zones.is_empty() {
        output += "\nevacuated availability zones\n";
        let zones = tree.evacuated_zones.iter();
        output.extend(zones.map(|zone| format!("  {zone}\n")));
    }
    output
}

/// The values in force for an organisation, with the origin of each.
pub(super) fn effective(effective: &EffectiveSettings) -> String {
    let suspended = &effective.is_suspended;
    let mut rows = vec![["field", "value", "from"].map(str::to_owned)];
    for field in OverrideField::ALL {
        let (value, from) = self::field(effective, *field);
        rows.push([field.to_string(), value, from.to_string()]);
    }
    let (value, from) = (suspended.value.to_string(), suspended.from.to_string());
    rows.push(["is_suspended".to_owned(), value, from]);
    table(&rows)
}

/// One value in force, with its origin.
pub(super) fn field(
    effective: &EffectiveSettings,
    field: OverrideField,
) -> (String, &OrganisationId) {
    match field {
        OverrideField::Class => (effective.class.value.to_string(), &effective.class.from),
        OverrideField::LimitPerSecond => {
            let limit = &effective.limit_per_second;
            (limit.value.get().to_string(), &limit.from)
        }
        OverrideField::Weight => (effective.weight.value.to_string(), &effective.weight.from),
        OverrideField::MaxInFlight => {
            let in_flight = &effective.max_in_flight;
            (in_flight.value.to_string(), &in_flight.from)
        }
        OverrideField::Pipelines => {
            let pipelines = &effective.pipelines;
            (list(&pipelines.value), &pipelines.from)
        }
        OverrideField::DeadlineMs => {
            let deadline_ms = &effective.deadline_ms;
            (deadline_ms.value.to_string(), &deadline_ms.from)
        }
    }
}

/// One line for each edit.
pub(super) fn history(edits: &[EditRecord]) -> String {
    let line = |edit: &EditRecord| format!("{} by {}: {}\n", edit.version, edit.by, edit.edit);
    edits.iter().map(line).collect()
}

/// The status report of an entry.
pub(super) fn status(report: &Value) -> String {
    format!("{report:#}\n")
}

/// Cost by organisation and stage.
pub(super) fn cost(lines: &[CostLine]) -> String {
    let head = [
        "organisation",
        "stage",
        "server ms",
        "tokens",
        "wasted ms",
        "wasted tokens",
    ];
    table(&with_head(head, lines.iter().map(cost_row)))
}

fn write_organisation(
    output: &mut String,
    tree: &SettingsTree,
    id: &OrganisationId,
    organisation: &Organisation,
    depth: usize,
) {
    let own = own_values(organisation);
    output.extend([format!("{:indent$}{id}{own}\n", "", indent = depth * 2)]);
    let is_child = |child: &Organisation| child.parent.as_ref() == Some(id);
    for (child_id, child) in tree.organisations.iter().filter(|(_, o)| is_child(o)) {
        write_organisation(output, tree, child_id, child, depth + 1);
    }
}

fn own_values(organisation: &Organisation) -> String {
    let overrides = &organisation.overrides;
    let limit = overrides.limit_per_second.map(RatePerSecond::get);
    let own = [
        (
            "class",
            organisation.class.as_ref().map(ToString::to_string),
        ),
        ("limit_per_second", limit.map(|limit| limit.to_string())),
        ("weight", overrides.weight.as_ref().map(ToString::to_string)),
        (
            "max_in_flight",
            overrides.max_in_flight.as_ref().map(ToString::to_string),
        ),
        (
            "pipelines",
            overrides.pipelines.as_ref().map(|names| list(names)),
        ),
        (
            "deadline_ms",
            overrides.deadline_ms.as_ref().map(ToString::to_string),
        ),
    ];
    let own = own.into_iter();
    let mut text: String = own
        .filter_map(|(name, value)| Some(format!(" {name}={}", value?)))
        .collect();
    if organisation.key_hash.is_none() {
        text.push_str(" no-key");
    }
    if organisation.is_suspended {
        text.push_str(" SUSPENDED");
    }
    text
}

fn stages(pipeline: &Pipeline) -> String {
    let stage = |stage: &Stage| {
        let once = if stage.is_repeatable {
            ""
        } else {
            ", at most once"
        };
        let streaming = if stage.is_streaming {
            ", streaming"
        } else {
            ""
        };
        format!(
            "{} ({}{}{once}{streaming})",
            stage.name, stage.service, stage.path
        )
    };
    let stages: Vec<_> = pipeline.stages.iter().map(stage).collect();
    stages.join(" > ")
}

fn calls(service: &Service) -> String {
    let rule = if service.is_repeatable {
        "repeatable"
    } else {
        "at most once"
    };
    let deadline = format!("deadline_ms={}", service.default_deadline_ms);
    let mut parts = vec![rule.to_owned(), deadline];
    if !service.not_repeatable_paths.is_empty() {
        parts.push(format!(
            "at most once: {}",
            list(&service.not_repeatable_paths)
        ));
    }
    if !service.repeatable_paths.is_empty() {
        parts.push(format!("repeatable: {}", list(&service.repeatable_paths)));
    }
    if !service.models.is_empty() {
        let models = service.models.iter();
        let models: Vec<_> = models.map(|(model, n)| format!("{n} x {model}")).collect();
        parts.push(format!("models: {}", list(&models)));
    }
    parts.join(", ")
}

fn cost_row(line: &CostLine) -> [String; 6] {
    let totals = &line.totals;
    [
        line.organisation.to_string(),
        line.stage.clone(),
        totals.useful_server_ms.to_string(),
        totals.useful_tokens.to_string(),
        totals.wasted_server_ms.to_string(),
        totals.wasted_tokens.to_string(),
    ]
}

fn list(names: &[impl Display]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<_> = names.iter().map(ToString::to_string).collect();
    names.join(",")
}

pub(super) fn with_head<const N: usize>(
    head: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> Vec<[String; N]> {
    let head = head.map(str::to_owned);
    std::iter::once(head).chain(rows).collect()
}

/// Rows with aligned columns.
pub(super) fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| {
        let widths = rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..N).map(width).collect();
    let line = |row: &[String; N]| {
        let cells = row.iter().zip(&widths);
        let cells = cells.map(|(cell, width)| format!("{cell:width$}"));
        let cells: Vec<_> = cells.collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}
