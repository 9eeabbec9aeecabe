//! Plan of a load, read from an INI file.

use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, Properties};

use super::{CallKind, LoadPlanError, OrganisationLoad};

/// Section with the settings of the whole load.
const LOAD_SECTION: &str = "load";
/// Prefix of the names of organisations' sections.
const ORGANISATION_PREFIX: &str = "organisation ";
/// Keys of the section of the whole load.
const LOAD_KEYS: &[&str] = &["duration_ms", "seed"];
/// Keys of an organisation's section.
const ORGANISATION_KEYS: &[&str] = &[
    "class",
    "key",
    "kind",
    "path",
    "rate_per_s",
    "deadline_ms",
    "max_tokens",
    "prefixes",
    "prefix_bytes",
    "burst_every_ms",
    "burst_ms",
    "burst_factor",
];

/// Plan of a load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// Duration of the arrivals.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Load of each organisation.
    pub organisations: Vec<OrganisationLoad>,
}

impl LoadPlan {
    /// Parses a plan; errors contain the file's name.
    pub fn parse(file: impl AsRef<str>, text: impl AsRef<str>) -> Result<Self, LoadPlanError> {
        let file = file.as_ref();
        let ini = Ini::load_from_str(text.as_ref())
            .map_err(|error| LoadPlanError::Malformed(file.to_owned(), error.to_string()))?;
        let empty = Properties::new();
        let properties = ini.section(Some(LOAD_SECTION)).unwrap_or(&empty);
        let load = Section::new(file, LOAD_SECTION, properties, LOAD_KEYS)?;
        let mut plan = Self {
            duration: load.duration_ms("duration_ms", Some(30_000))?,
            seed: load.get("seed", Some(1), "a whole number")?,
            organisations: Vec::new(),
        };
        for (name, properties) in &ini {
            plan.organisations
                .extend(organisation(file, name, properties)?);
        }
        if plan.organisations.is_empty() {
            return Err(LoadPlanError::NoOrganisation(file.to_owned()));
        }
        Ok(plan)
    }
}

fn organisation(
    file: &str,
    name: Option<&str>,
    properties: &Properties,
) -> Result<Option<OrganisationLoad>, LoadPlanError> {
    let Some(name) = name.filter(|name| *name != LOAD_SECTION) else {
        return Ok(None);
    };
    let Some(organisation) = name.strip_prefix(ORGANISATION_PREFIX) else {
        let (file, section, key) = (file.to_owned(), name.to_owned(), "(section)".to_owned());
        return Err(LoadPlanError::Unknown(file, section, key));
    };
    let section = Section::new(file, name, properties, ORGANISATION_KEYS)?;
    read_organisation(organisation.trim(), &section).map(Some)
}

fn read_organisation(
    organisation: &str,
    section: &Section<'_>,
) -> Result<OrganisationLoad, LoadPlanError> {
    let burst_every: u64 = section.get("burst_every_ms", Some(0), "milliseconds, or 0")?;
    let load = OrganisationLoad {
        organisation: organisation.to_owned(),
        class: section.get("class", None, "paid or trial")?,
        key: section.get("key", None, "the organisation's bearer key")?,
        kind: section.get("kind", Some(CallKind::Ask), "ask or settle")?,
        path: section.get("path", None, "a path such as /v1/pipelines/NAME")?,
        rate_per_s: section.positive("rate_per_s", None)?,
        deadline: section.duration_ms("deadline_ms", Some(9000))?,
        max_tokens: section.get("max_tokens", Some(24), "a whole number")?,
        prefixes: section.get("prefixes", Some(1), "a whole number of 1 or more")?,
        prefix_bytes: section.get("prefix_bytes", Some(0), "a number of bytes")?,
        burst_every: (burst_every > 0).then(|| Duration::from_millis(burst_every)),
        burst: section.duration_ms("burst_ms", Some(1000))?,
        burst_factor: section.positive("burst_factor", Some(1.0))?,
    };
    if load.prefixes == 0 {
        return Err(section.invalid_value("prefixes", "0", "a whole number of 1 or more"));
    }
    Ok(load)
}

/// One section of a file, both of which errors name.
struct Section<'a> {
    file: &'a str,
    name: &'a str,
    properties: &'a Properties,
}

impl<'a> Section<'a> {
    fn new(
        file: &'a str,
        name: &'a str,
        properties: &'a Properties,
        keys: &[&str],
    ) -> Result<Self, LoadPlanError> {
        // A misspelt key would silently leave the default in force.
        if let Some((key, _)) = properties.iter().find(|(key, _)| !keys.contains(key)) {
            let (file, section) = (file.to_owned(), name.to_owned());
            return Err(LoadPlanError::Unknown(file, section, key.to_owned()));
        }
        Ok(Self {
            file,
            name,
            properties,
        })
    }

    fn get<T: FromStr>(
        &self,
        key: &'static str,
        default: Option<T>,
        accepted: &'static str,
    ) -> Result<T, LoadPlanError> {
        let Some(text) = self.properties.get(key) else {
            let (file, section) = (self.file.to_owned(), self.name.to_owned());
            return default.ok_or(LoadPlanError::Missing(file, section, key));
        };
        text.parse()
            .ok()
            .ok_or_else(|| self.invalid_value(key, text, accepted))
    }

    fn positive(&self, key: &'static str, default: Option<f64>) -> Result<f64, LoadPlanError> {
        let accepted = "a number above 0";
        let number: f64 = self.get(key, default, accepted)?;
        if number.is_finite() && number > 0.0 {
            Ok(number)
        } else {
            Err(self.invalid_value(key, number.to_string(), accepted))
        }
    }

    fn duration_ms(
        &self,
        key: &'static str,
        default_ms: Option<u64>,
    ) -> Result<Duration, LoadPlanError> {
        let accepted = "milliseconds, 1 or more";
        match self.get(key, default_ms, accepted)? {
            0 => Err(self.invalid_value(key, "0", accepted)),
            ms => Ok(Duration::from_millis(ms)),
        }
    }

    fn invalid_value(
        &self,
        key: &str,
        value: impl Into<String>,
        accepted: &'static str,
    ) -> LoadPlanError {
        let (file, section) = (self.file.to_owned(), self.name.to_owned());
        LoadPlanError::Value(file, section, key.to_owned(), value.into(), accepted)
    }
}
