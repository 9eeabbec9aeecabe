//! What a load consists of, as an INI file states it.

use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, Properties};

use super::{CallKind, LoadPlanError, OrganisationLoad};

/// Section of what holds for the whole load.
const LOAD: &str = "load";
/// What the name of an organisation's section starts with.
const ORGANISATION: &str = "organisation ";
/// Keys of the whole load.
const LOAD_KEYS: &[&str] = &["duration_ms", "seed"];
/// Keys of one organisation.
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

/// What a load consists of.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Who asks for what.
    pub organisations: Vec<OrganisationLoad>,
}

impl LoadPlan {
    /// Reads a plan; the file's name stands in errors.
    pub fn parse(file: impl AsRef<str>, text: impl AsRef<str>) -> Result<Self, LoadPlanError> {
        let file = file.as_ref();
        let ini = Ini::load_from_str(text.as_ref())
            .map_err(|error| LoadPlanError::Malformed(file.to_owned(), error.to_string()))?;
        let empty = Properties::new();
        let properties = ini.section(Some(LOAD)).unwrap_or(&empty);
        let load = Section::new(file, LOAD, properties, LOAD_KEYS)?;
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
    let Some(name) = name.filter(|name| *name != LOAD) else {
        return Ok(None);
    };
    let Some(organisation) = name.strip_prefix(ORGANISATION) else {
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
        return Err(section.bad("prefixes", "0", "a whole number of 1 or more"));
    }
    Ok(load)
}

/// One section, whose errors name it.
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
        // A misspelt key would leave its default in force unseen.
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
            .ok_or_else(|| self.bad(key, text, accepted))
    }

    fn positive(&self, key: &'static str, default: Option<f64>) -> Result<f64, LoadPlanError> {
        let accepted = "a number above 0";
        let number: f64 = self.get(key, default, accepted)?;
        if number.is_finite() && number > 0.0 {
            Ok(number)
        } else {
            Err(self.bad(key, number.to_string(), accepted))
        }
    }

    fn duration_ms(
        &self,
        key: &'static str,
        default_ms: Option<u64>,
    ) -> Result<Duration, LoadPlanError> {
        let accepted = "milliseconds, 1 or more";
        match self.get(key, default_ms, accepted)? {
            0 => Err(self.bad(key, "0", accepted)),
            ms => Ok(Duration::from_millis(ms)),
        }
    }

    fn bad(&self, key: &str, value: impl Into<String>, accepted: &'static str) -> LoadPlanError {
        let (file, section) = (self.file.to_owned(), self.name.to_owned());
        LoadPlanError::Value(file, section, key.to_owned(), value.into(), accepted)
    }
}
