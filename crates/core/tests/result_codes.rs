//! Checks docs/RESULT-CODES.md against the result codes.

use std::collections::BTreeMap;

use amaranthscale_core::ResultCode;

const PAGE: &str = include_str!("../../../docs/RESULT-CODES.md");

/// The cells of each table row of the page, by number.
fn rows() -> BTreeMap<u16, Vec<String>> {
    let cells = |line: &str| -> Vec<String> {
        line.trim_matches('|')
            .split('|')
            .map(|cell| cell.trim().to_owned())
            .collect()
    };
    let lines = PAGE.lines().filter(|line| line.starts_with("| "));
    lines
        .map(cells)
        .filter_map(|cells| cells.first()?.parse().ok().map(|number| (number, cells)))
        .collect()
}

#[test]
fn the_page_lists_every_code_correctly() {
    let rows = rows();

    for code in ResultCode::ALL {
        let row = rows.get(&code.number()).expect("a row for each code");
        let is_retryable = if code.is_retryable() { "yes" } else { "no" };
        let expected = [
            code.name(),
            &code.http_status().to_string(),
            &code.ran().to_string(),
            is_retryable,
            code.text(),
        ];
        assert_eq!(row[1..6], expected, "row {code}");
        assert!(!row[6].is_empty(), "row {code} says what to do");
    }
    assert_eq!(
        rows.len(),
        ResultCode::ALL.len(),
        "the page lists nothing else"
    );
}

#[test]
fn a_number_is_parsed_as_its_code() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::try_from(code.number()), Ok(*code));
    }
    let unknown = ResultCode::try_from(9999).unwrap_err();
    assert_eq!(
        unknown.to_string(),
        "9999 is no result code: see docs/RESULT-CODES.md"
    );
}
