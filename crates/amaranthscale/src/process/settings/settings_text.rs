//! The values of one settings file, each with its line.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;

use ini::{Ini, ParseOption};

use super::{KeyDefault, KeySpec, SettingsError};

/// Shown in place of a value that may be a secret.
const HIDDEN: &str = "(hidden)";

/// The checked values of one settings file.
#[derive(Debug)]
pub(super) struct SettingsText<'a> {
    file: &'a str,
    keys: &'static [KeySpec],
    sections: BTreeMap<String, usize>,
    values: BTreeMap<(&'static str, &'static str), (String, usize)>,
}

impl<'a> SettingsText<'a> {
    /// Parses a text and checks it against a table of keys.
    ///
    /// The INI parser gets one line at a time: it does not report the lines of keys, and an error
    /// has to name the line. Keys and values thus never span lines.
    pub(super) fn parse(
        file: &'a str,
        text: &str,
        keys: &'static [KeySpec],
    ) -> Result<Self, SettingsError> {
        let mut read = Self {
            file,
            keys,
            sections: BTreeMap::new(),
            values: BTreeMap::new(),
        };
        let mut section = None;
        for (index, line) in text.lines().enumerate() {
            read.add_line(&mut section, line.trim(), index + 1)?;
        }
        read.check_complete()?;
        Ok(read)
    }

    /// A value that is given or has a default.
    ///
    /// # Panics
    ///
    /// Only if the table of keys lacks the key or accepts what its type cannot hold, a bug.
    pub(super) fn get<T: FromStr>(&self, section: &str, name: &str) -> T {
        let value = self.get_optional(section, name);
        value.unwrap_or_else(|| panic!("[{section}] {name} is required or has a default"))
    }

    /// A value that may be absent.
    ///
    /// # Panics
    ///
    /// Only if the table of keys lacks the key or accepts what its type cannot hold, a bug.
    pub(super) fn get_optional<T: FromStr>(&self, section: &str, name: &str) -> Option<T> {
        let mut keys = self.keys.iter();
        let key = keys.find(|key| key.section == section && key.name == name);
        let key = key.unwrap_or_else(|| panic!("[{section}] {name} is not in the table"));
        let text = self.value_text(key)?;
        let value = text.parse().ok();
        assert!(value.is_some(), "[{section}] {name} takes {text:?}");
        value
    }

    /// Checks that a number is no higher than another that limits it.
    pub(super) fn check_at_most(
        &self,
        section: &'static str,
        name: &'static str,
        limit_name: &'static str,
    ) -> Result<(), SettingsError> {
        let value: u64 = self.get(section, name);
        let limit: u64 = self.get(section, limit_name);
        if value <= limit {
            return Ok(());
        }
        let line_of = |name| self.values.get(&(section, name)).map(|(_, line)| *line);
        // If the value is a default, the line of the limit is the one to correct.
        let line = line_of(name).or_else(|| line_of(limit_name));
        let line = line.unwrap_or_default();
        let file = self.file.to_owned();
        let accepted = format!("at most {limit_name}, which is {limit}");
        Err(SettingsError::Contradiction(
            file, line, section, name, value, accepted,
        ))
    }

    fn add_line(
        &mut self,
        section: &mut Option<String>,
        text: &str,
        line: usize,
    ) -> Result<(), SettingsError> {
        let shown = self.shown(section.as_deref(), text);
        let syntax = || SettingsError::Syntax(self.file.to_owned(), line, shown);
        let parsed = parse_line(text).ok_or_else(syntax)?;
        for (name, properties) in &parsed {
            if let Some(name) = name {
                self.add_section(name, line)?;
                *section = Some(name.to_owned());
            }
            for (key, value) in properties {
                self.add_key(section.as_deref(), key, value, line)?;
            }
        }
        Ok(())
    }

    fn add_section(&mut self, section: &str, line: usize) -> Result<(), SettingsError> {
        let file = || self.file.to_owned();
        let name = section.to_owned();
        let accepted: BTreeSet<_> = self.keys.iter().map(|key| key.section).collect();
        if !accepted.contains(section) {
            let accepted = accepted.iter().map(|name| format!("[{name}]"));
            let accepted = join_alternatives(accepted);
            return Err(SettingsError::UnknownSection(file(), line, name, accepted));
        }
        match self.sections.insert(name.clone(), line) {
            Some(first) => Err(SettingsError::DuplicateSection(file(), line, name, first)),
            None => Ok(()),
        }
    }

    fn add_key(
        &mut self,
        section: Option<&str>,
        name: &str,
        value: &str,
        line: usize,
    ) -> Result<(), SettingsError> {
        let file = self.file.to_owned();
        let no_section = || SettingsError::NoSection(file.clone(), line, name.to_owned());
        let section = section.ok_or_else(no_section)?;
        let section_keys = || self.keys.iter().filter(|key| key.section == section);
        let Some(key) = section_keys().find(|key| key.name == name) else {
            let accepted = join_alternatives(section_keys().map(|key| key.name.to_owned()));
            let (section, name) = (section.to_owned(), name.to_owned());
            return Err(SettingsError::UnknownKey(
                file, line, section, name, accepted,
            ));
        };
        if !key.value_kind.accepts(value) {
            let shown = if key.value_kind.is_secret() {
                HIDDEN
            } else {
                value
            };
            return Err(SettingsError::BadValue(
                file,
                line,
                key.section,
                key.name,
                format!("{shown:?}"),
                key.value_kind.to_string(),
            ));
        }
        let id = (key.section, key.name);
        match self.values.insert(id, (value.to_owned(), line)) {
            Some((_, first)) => {
                let (section, name) = (section.to_owned(), name.to_owned());
                Err(SettingsError::DuplicateKey(
                    file, line, section, name, first,
                ))
            }
            None => Ok(()),
        }
    }

    fn check_complete(&self) -> Result<(), SettingsError> {
        let is_missing = |key: &&KeySpec| {
            key.default == KeyDefault::Required
                && !self.values.contains_key(&(key.section, key.name))
        };
        match self.keys.iter().find(is_missing) {
            Some(key) => Err(SettingsError::MissingKey(
                self.file.to_owned(),
                key.section,
                key.name,
                key.value_kind.to_string(),
            )),
            None => Ok(()),
        }
    }

    fn value_text(&self, key: &KeySpec) -> Option<&str> {
        let given = self.values.get(&(key.section, key.name));
        match (given, key.default) {
            (Some((text, _)), _) => Some(text),
            (None, KeyDefault::Value(text)) => Some(text),
            (None, KeyDefault::Required | KeyDefault::Unset) => None,
        }
    }

    /// A line as shown in an error; it is hidden in a section with a secret.
    fn shown(&self, section: Option<&str>, text: &str) -> String {
        let mut secrets = self.keys.iter().filter(|key| key.value_kind.is_secret());
        if secrets.any(|key| section == Some(key.section)) {
            HIDDEN.to_owned()
        } else {
            text.to_owned()
        }
    }
}

/// Parses one line; values are read literally, without quotes or escapes.
fn parse_line(text: &str) -> Option<Ini> {
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, option).ok()
}

/// Joins names into a list of alternatives.
fn join_alternatives(names: impl Iterator<Item = String>) -> String {
    let names: Vec<_> = names.collect();
    match names.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("{} or {last}", rest.join(", ")),
        None => String::new(),
    }
}
