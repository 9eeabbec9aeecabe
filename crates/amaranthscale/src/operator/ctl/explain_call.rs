//! The command `explain`.

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

use clap::ArgMatches;

use super::CtlError;
use super::arguments::required;
use crate::operator::explain::{Explanation, RequestTrace};

/// Reads log files and returns the explanation of a request.
pub(super) fn explain(matches: &ArgMatches) -> Result<String, CtlError> {
    let call: String = required(matches, "call");
    let mut trace = RequestTrace::new(call);
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    if files.len() == 0 {
        let path = PathBuf::from("standard input");
        add_lines(&mut trace, stdin().lock(), &path)?;
    }
    for path in files {
        let file = File::open(path).map_err(|cause| CtlError::File(path.clone(), cause))?;
        add_lines(&mut trace, BufReader::new(file), path)?;
    }
    let explanation = trace.explain();
    if matches.get_flag("json") {
        // Serialising texts and numbers cannot fail.
        return Ok(serde_json::to_string_pretty(&explanation).unwrap_or_default() + "\n");
    }
    Ok(explanation_text(&explanation))
}

/// Adds all lines of an input, read as bytes because a damaged line must not end the reading.
fn add_lines(
    trace: &mut RequestTrace,
    mut input: impl BufRead,
    path: &Path,
) -> Result<(), CtlError> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let count = input
            .read_until(b'\n', &mut line)
            .map_err(|cause| CtlError::File(path.to_path_buf(), cause))?;
        if count == 0 {
            return Ok(());
        }
        trace.add_line(&String::from_utf8_lossy(&line));
    }
}

fn explanation_text(explanation: &Explanation) -> String {
    let mut lines = vec![format!("request {}", explanation.call)];
    if explanation.sentences.is_empty() {
        lines.push("  no line names it".to_owned());
    }
    lines.extend(
        explanation
            .sentences
            .iter()
            .map(|sentence| format!("  {sentence}")),
    );
    lines.push(format!("cause: {}", explanation.cause));
    if explanation.passed_over > 0 {
        lines.push(format!(
            "{} lines were not log lines of ours",
            explanation.passed_over
        ));
    }
    lines.join("\n") + "\n"
}
