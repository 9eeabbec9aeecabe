//! The story of one request, from log files.

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

use clap::ArgMatches;

use super::CtlError;
use super::arguments::required;
use crate::operator::explain::{Story, Telling};

/// Tells what happened to a request.
pub(super) fn explain(matches: &ArgMatches) -> Result<String, CtlError> {
    let call: String = required(matches, "call");
    let mut story = Story::new(call);
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    if files.len() == 0 {
        let path = PathBuf::from("standard input");
        take_lines(&mut story, stdin().lock(), &path)?;
    }
    for path in files {
        let file = File::open(path).map_err(|cause| CtlError::File(path.clone(), cause))?;
        take_lines(&mut story, BufReader::new(file), path)?;
    }
    let telling = story.tell();
    if matches.get_flag("json") {
        // Texts and numbers always have a JSON form.
        return Ok(serde_json::to_string_pretty(&telling).unwrap_or_default() + "\n");
    }
    Ok(shown(&telling))
}

/// Lines are read as bytes: a damaged one must not end the reading.
fn take_lines(story: &mut Story, mut input: impl BufRead, path: &Path) -> Result<(), CtlError> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let count = input
            .read_until(b'\n', &mut line)
            .map_err(|cause| CtlError::File(path.to_path_buf(), cause))?;
        if count == 0 {
            return Ok(());
        }
        story.take(&String::from_utf8_lossy(&line));
    }
}

fn shown(telling: &Telling) -> String {
    let mut lines = vec![format!("request {}", telling.call)];
    if telling.sentences.is_empty() {
        lines.push("  no line names it".to_owned());
    }
    lines.extend(
        telling
            .sentences
            .iter()
            .map(|sentence| format!("  {sentence}")),
    );
    lines.push(format!("cause: {}", telling.cause));
    if telling.passed_over > 0 {
        lines.push(format!(
            "{} lines were not log lines of ours",
            telling.passed_over
        ));
    }
    lines.join("\n") + "\n"
}
