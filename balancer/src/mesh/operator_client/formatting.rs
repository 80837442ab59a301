//! Texts for terminals and queries: ages, times of day, and names without control characters.

use serde_json::Value;

/// The most characters of a name that a cell shows.
const MAX_CELL_CHARS: usize = 60;
/// Ages from here on are shown in seconds.
const MIN_AGE_IN_SECONDS_MS: u64 = 10_000;
/// Stands for what is not known.
pub const UNKNOWN: &str = "-";

/// Text for a query. A byte that could be taken for something else there becomes `%` and two digits.
pub fn percent_encode(text: &str) -> String {
    let encode_byte = |byte: u8| match byte {
        b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' | b'-' | b'_' | b'.' | b'~' => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode_byte).collect()
}

/// A name for a cell, cut where it is long. Names come from upstreams and operators and may hold anything.
pub fn printable_name(text: &str) -> String {
    let printable: String = text.escape_debug().take(MAX_CELL_CHARS + 1).collect();
    match printable.char_indices().nth(MAX_CELL_CHARS) {
        Some((end, _)) => format!("{}...", &printable[..end]),
        None => printable,
    }
}

/// A line that keeps everything but its control characters.
pub fn printable_line(line: &str) -> String {
    let mut printable = String::new();
    for character in line.chars() {
        if character.is_control() {
            printable.extend(character.escape_debug());
        } else {
            printable.push(character);
        }
    }
    printable
}

/// An age in milliseconds, with its unit.
pub fn format_age(ms: &Value) -> String {
    match ms.as_u64() {
        None => UNKNOWN.into(),
        Some(ms) if ms < MIN_AGE_IN_SECONDS_MS => format!("{ms} ms"),
        Some(ms) => format!("{} s", ms / 1_000),
    }
}

/// A date and time of day in UTC, from milliseconds since 1970.
pub fn format_time_of_day(ms: u64) -> String {
    let (seconds, days) = (ms / 1_000 % 86_400, ms / 86_400_000);
    // The calendar is reckoned from the first of March of the year 0, in years that end with February, so that the leap
    // day is the last of its year, and in eras of 400 years, which all have the same length.
    let days = days.saturating_add(719_468);
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC")
}
