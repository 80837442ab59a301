//! Comparison of program output with committed fixtures.

use std::path::Path;

/// Compares the text with the fixture of that name. With `WRITE_FIXTURES=1` the fixture is written instead, and the
/// test still fails, so that it never passes against a fixture that it has just written.
pub fn assert_matches_fixture(name: &str, text: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    if std::env::var_os("WRITE_FIXTURES").is_some_and(|value| value == "1") {
        std::fs::write(&file, text).expect("write fixture");
        panic!("fixtures written");
    }
    let expected = std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
    if expected == text {
        return;
    }
    let mut lines = expected.lines().zip(text.lines()).enumerate();
    let (index, expected_line, actual_line) = match lines.find(|(_, (expected, actual))| expected != actual) {
        Some((index, (expected, actual))) => (index, expected, actual),
        None => {
            let index = expected.lines().count().min(text.lines().count());
            let end = "(end of text)";
            (index, expected.lines().nth(index).unwrap_or(end), text.lines().nth(index).unwrap_or(end))
        }
    };
    panic!(
        "{name}, line {}\n  expected: {expected_line}\n    actual: {actual_line}\ncomplete actual text:\n{text}",
        index + 1
    );
}
