//! One structured log line.

use std::collections::BTreeMap;

use serde::Serialize;

/// Levels that a line may have; any text before the level is a prefix.
const LEVELS: [&str; 4] = ["ERROR", "WARN", "INFO", "DEBUG"];

/// A parsed log line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// Prefix before the level, such as a time and a host.
    pub before: String,
    /// Number at the start of the line, by which lines of several hosts are ordered.
    pub at: f64,
    /// Part of the program that wrote the line.
    pub part: String,
    /// Name of the event.
    pub event: String,
    /// Fields by name.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` if it is not a structured log line of this system.
    ///
    /// # Examples
    ///
    /// ```
    /// use amaranthscale::operator::explain::LogLine;
    ///
    /// let line = LogLine::parse("1700000000123 INFO request: refused call=ab12 code=2002").unwrap();
    /// assert_eq!((line.part.as_str(), line.event.as_str()), ("request", "refused"));
    /// assert_eq!(line.fields["code"], "2002");
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (before, rest) = split_at_level(text)?;
        let (part, rest) = rest.split_once(": ")?;
        if part.is_empty() || part.contains(' ') {
            return None;
        }
        let tokens = tokens(rest)?;
        let is_field = |token: &String| token.contains('=');
        let first_field = tokens.iter().position(is_field).unwrap_or(tokens.len());
        let pairs = tokens[first_field..].iter();
        let pairs = pairs.map(|token| token.split_once('='));
        let fields: Option<BTreeMap<_, _>> = pairs
            .map(|pair| pair.map(|(name, value)| (name.to_owned(), value.to_owned())))
            .collect();
        let at = before.split_whitespace().next();
        Some(Self {
            at: at.and_then(|at| at.parse().ok()).unwrap_or(0.0),
            before: before.trim().to_owned(),
            part: part.to_owned(),
            event: tokens[..first_field].join(" "),
            fields: fields?,
        })
    }

    /// Value of a field, or a dash if the line does not have it.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("-", String::as_str)
    }

    /// Value of a numeric field.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.parse().ok()
    }
}

fn split_at_level(text: &str) -> Option<(&str, &str)> {
    let found = LEVELS.iter().filter_map(|level| {
        let start = text.find(&format!("{level} "))?;
        let is_word = start == 0 || text[..start].ends_with(' ');
        is_word.then_some((start, level.len()))
    });
    let (start, length) = found.min()?;
    Some((&text[..start], text[start + length..].trim()))
}

/// Splits at spaces and removes quotes; `None` if a quote is not closed.
fn tokens(text: &str) -> Option<Vec<String>> {
    let mut tokens = Vec::new();
    let mut token = String::new();
    let mut is_quoted = false;
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' if is_quoted => token.extend(characters.next()),
            '"' => is_quoted = !is_quoted,
            ' ' if !is_quoted => {
                if !token.is_empty() {
                    tokens.push(std::mem::take(&mut token));
                }
            }
            other => token.push(other),
        }
    }
    if is_quoted {
        return None;
    }
    if !token.is_empty() {
        tokens.push(token);
    }
    Some(tokens)
}
