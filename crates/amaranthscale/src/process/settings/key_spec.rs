//! One key of the settings.

use std::fmt::Write as _;

use super::Accepts;

/// What holds for a key that is not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyDefault {
    /// The key must be given.
    Required,
    /// The key may be left out, and then nothing is set.
    Nothing,
    /// This value holds.
    Value(&'static str),
}

/// One key: its place, what it accepts and what it means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySpec {
    /// Section of the file.
    pub section: &'static str,
    /// Name of the key, with its unit as a suffix.
    pub name: &'static str,
    /// What holds if it is not given.
    pub default: KeyDefault,
    /// What it accepts.
    pub accepts: Accepts,
    /// What it means.
    pub meaning: &'static str,
}

/// Suffixes of keys, and the units that they stand for.
const UNITS: &[(&str, &str)] = &[
    ("_ms", "ms"),
    ("_bytes", "bytes"),
    ("_percent", "percent"),
    ("_per_second", "per second"),
];

impl KeySpec {
    /// A key that must be given.
    pub(super) const fn required(
        section: &'static str,
        name: &'static str,
        accepts: Accepts,
        meaning: &'static str,
    ) -> Self {
        Self {
            section,
            name,
            default: KeyDefault::Required,
            accepts,
            meaning,
        }
    }

    /// A key that may be left out.
    pub(super) const fn optional(
        section: &'static str,
        name: &'static str,
        default: &'static str,
        accepts: Accepts,
        meaning: &'static str,
    ) -> Self {
        Self {
            default: KeyDefault::Value(default),
            ..Self::required(section, name, accepts, meaning)
        }
    }

    /// The unit that the name's suffix states.
    #[must_use]
    pub fn unit(&self) -> &'static str {
        let stated = UNITS.iter().find(|(suffix, _)| self.name.ends_with(suffix));
        stated.map_or("", |(_, unit)| unit)
    }

    /// The default as a person reads it.
    #[must_use]
    pub const fn default_text(&self) -> &'static str {
        match self.default {
            KeyDefault::Required => "required",
            KeyDefault::Nothing => "none",
            KeyDefault::Value(value) => value,
        }
    }
}

/// Lists keys as a table in Markdown.
pub(super) fn print_keys(keys: &[KeySpec]) -> String {
    let mut page = String::from(
        "| section | key | default | unit | accepts | meaning |\n|---|---|---|---|---|---|\n",
    );
    for key in keys {
        let [section, name, unit] = [key.section, key.name, key.unit()];
        let (default, accepts, meaning) = (key.default_text(), key.accepts, key.meaning);
        let row = writeln!(
            page,
            "| {section} | {name} | {default} | {unit} | {accepts} | {meaning} |"
        );
        row.expect("a string takes all that is written to it");
    }
    page
}
