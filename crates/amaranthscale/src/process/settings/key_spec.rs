//! One key of the settings.

use std::fmt::Write as _;

use super::ValueKind;

/// The default of a key that is not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyDefault {
    /// The key must be given.
    Required,
    /// The key may be left out, and then has no value.
    Unset,
    /// This value applies.
    Value(&'static str),
}

/// One key: its section and name, its default, the values that it accepts and its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySpec {
    /// Section of the file.
    pub section: &'static str,
    /// Name of the key, with its unit as a suffix.
    pub name: &'static str,
    /// Default if it is not given.
    pub default: KeyDefault,
    /// Kind of the values that it accepts.
    pub value_kind: ValueKind,
    /// Meaning, as listed by `--print-settings`.
    pub meaning: &'static str,
}

/// Suffixes of keys and their units.
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
        value_kind: ValueKind,
        meaning: &'static str,
    ) -> Self {
        Self {
            section,
            name,
            default: KeyDefault::Required,
            value_kind,
            meaning,
        }
    }

    /// A key that may be left out.
    pub(super) const fn optional(
        section: &'static str,
        name: &'static str,
        default: &'static str,
        value_kind: ValueKind,
        meaning: &'static str,
    ) -> Self {
        Self {
            default: KeyDefault::Value(default),
            ..Self::required(section, name, value_kind, meaning)
        }
    }

    /// The unit that the name's suffix states.
    #[must_use]
    pub fn unit(&self) -> &'static str {
        let stated = UNITS.iter().find(|(suffix, _)| self.name.ends_with(suffix));
        stated.map_or("", |(_, unit)| unit)
    }

    /// The default as shown to users.
    #[must_use]
    pub const fn default_text(&self) -> &'static str {
        match self.default {
            KeyDefault::Required => "required",
            KeyDefault::Unset => "none",
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
        let (default, value_kind, meaning) = (key.default_text(), key.value_kind, key.meaning);
        let row = writeln!(
            page,
            "| {section} | {name} | {default} | {unit} | {value_kind} | {meaning} |"
        );
        row.expect("writing to a string never fails");
    }
    page
}
