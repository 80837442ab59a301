//! Formatting for terminals and query strings: durations, dates, and text without control characters.

use serde_json::Value;

/// The maximum number of characters of a name in a table cell.
const MAX_CELL_CHARS: usize = 60;
/// Durations from here on are shown in seconds.
const SECONDS_DISPLAY_THRESHOLD_MS: u64 = 10_000;
/// Shown for unknown values.
pub const UNKNOWN: &str = "-";

/// Percent-encodes text for a query string.
pub fn percent_encode(text: &str) -> String {
    let encode_byte = |byte: u8| match byte {
        b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' | b'-' | b'_' | b'.' | b'~' => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode_byte).collect()
}

/// Escapes and truncates a name for a table cell. Names come from upstreams and operators and may contain any
/// character.
pub fn printable_name(text: &str) -> String {
    let printable: String = text.escape_debug().take(MAX_CELL_CHARS + 1).collect();
    match printable.char_indices().nth(MAX_CELL_CHARS) {
        Some((end, _)) => format!("{}...", &printable[..end]),
        None => printable,
    }
}

/// Escapes the control characters of a line.
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

/// Formats a duration in milliseconds with its unit.
pub fn format_duration_ms(ms: &Value) -> String {
    match ms.as_u64() {
        None => UNKNOWN.into(),
        Some(ms) if ms < SECONDS_DISPLAY_THRESHOLD_MS => format!("{ms} ms"),
        Some(ms) => format!("{} s", ms / 1_000),
    }
}

/// Formats a Unix time in milliseconds as a date and time in UTC.
pub fn format_timestamp(ms: u64) -> String {
    let (seconds, days) = (ms / 1_000 % 86_400, ms / 86_400_000);
    // Days are counted from March 1 of year 0. Years start in March, so that the leap day is the last day of its year,
    // and are grouped into eras of 400 years, which all have the same length.
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
