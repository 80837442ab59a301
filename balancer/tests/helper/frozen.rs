//! A text that must stay as its committed fixture has it.

use std::path::Path;

/// Compares the text with the fixture of that name. With WRITE_FIXTURES=1 the fixture is written instead, and the test
/// fails all the same, so that it never passes on what it has just written.
pub fn frozen(name: &str, text: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    if std::env::var_os("WRITE_FIXTURES").is_some_and(|told| told == "1") {
        std::fs::write(&file, text).expect("a fixture");
        panic!("fixtures written");
    }
    let kept = std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
    if kept == text {
        return;
    }
    let mut lines = kept.lines().zip(text.lines()).enumerate();
    let (nth, before, now) = match lines.find(|(_, (before, now))| before != now) {
        Some((nth, (before, now))) => (nth, before, now),
        None => {
            let nth = kept.lines().count().min(text.lines().count());
            (nth, kept.lines().nth(nth).unwrap_or("(its end)"), text.lines().nth(nth).unwrap_or("(its end)"))
        }
    };
    panic!("{name}, line {}\n  kept: {before}\n   now: {now}\nthe whole of it now:\n{text}", nth + 1);
}
