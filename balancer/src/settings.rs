//! Checks the settings and the header names in the start facts.
//!
//! An invalid value is never corrected: the program reports the setting and does not start.

use hyper::header::HeaderName;
use serde_json::Value as Json;

/// The headers in which clients give optional facts about a request. There are none unless the start facts
/// name them.
#[derive(Clone, Default)]
pub struct Headers {
    /// The customer that sends the request.
    pub customer: Option<HeaderName>,
    /// The expected work, in milliseconds.
    pub cost: Option<HeaderName>,
}

/// Headers that have another meaning here.
const RESERVED_HEADERS: &[&str] = &[
    "x-call-id",
    "x-call-class",
    "x-budget",
    "x-again",
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "expect",
    "te",
    "upgrade",
];

enum Kind {
    /// A whole number of at least 1.
    Count,
    /// A number above 0, of at least 0, or from 0 to 1.
    PositiveNumber,
    NonNegativeNumber,
    Fraction,
    Flag,
    OneOf(&'static [&'static str]),
}
use Kind::*;

const TOP_LEVEL_SETTINGS: &[(&str, Kind)] = &[
    ("/NInstances", Count),
    ("/Me", NonNegativeNumber),
    ("/Tier", NonNegativeNumber),
    ("/ExcessUtility", NonNegativeNumber),
    ("/UtilityBy", OneOf(&["request", "work"])),
    ("/Discovery", OneOf(&["ask", "push"])),
    ("/Limits/MaxDispatches", Count),
    ("/Limits/StreamsPerConn", Count),
    ("/Limits/MaxRetryAfter", NonNegativeNumber),
    ("/Limits/ConnIdle", NonNegativeNumber),
    ("/Limits/ConnectTimeout", NonNegativeNumber),
    ("/Limits/Cancelling", Flag),
    ("/Limits/RetryAfter", Flag),
    ("/Limits/Probes", Flag),
    ("/Limits/Peers", Flag),
    ("/Limits/SecondCopies", Flag),
    ("/Guarantees/Cold", NonNegativeNumber),
    ("/Guarantees/ColdShare", Fraction),
    ("/Guarantees/DrainGrace", NonNegativeNumber),
    ("/Report/Via", OneOf(&["inline", "on_probe", "off"])),
];

const RULE_SET_SETTINGS: &[(&str, Kind)] = &[
    ("/ResponseTarget", PositiveNumber),
    ("/ClientTimeout", PositiveNumber),
    ("/Window", NonNegativeNumber),
    ("/Utility", NonNegativeNumber),
    ("/TardyUtility", Fraction),
    ("/Effect", OneOf(&["repeatable", "by_key", "once"])),
    ("/DedupScope", OneOf(&["all", "zone", "cell"])),
];

const CUSTOMER_SETTINGS: &[(&str, Kind)] = &[("/QuotaPerS", NonNegativeNumber), ("/Share", Fraction)];

/// Checks the settings that are present; absent ones are valid.
pub fn check(settings: &Json) -> Result<(), String> {
    check_values(settings, "settings", TOP_LEVEL_SETTINGS)?;
    for (list, kinds) in [("RuleSets", RULE_SET_SETTINGS), ("Tenants", CUSTOMER_SETTINGS)] {
        for (number, item) in settings[list].as_array().into_iter().flatten().enumerate() {
            check_values(item, &format!("settings: /{list}/{number}"), kinds)?;
        }
    }
    let limits = &settings["Limits"];
    if limits["SecondCopies"] == true && limits["MaxDispatches"] == 1 {
        return Err("settings: /Limits/SecondCopies needs /Limits/MaxDispatches of 2 or more".into());
    }
    Ok(())
}

/// Names the features that the settings allow but this program does not use.
pub fn unused(settings: &Json) -> Vec<&'static str> {
    let limits = &settings["Limits"];
    let allowed = ["SecondCopies", "Probes", "Peers"].into_iter().filter(|name| limits[*name] == true);
    let streams = limits["StreamsPerConn"].as_f64().is_some_and(|streams| streams > 1.0);
    allowed.chain(streams.then_some("StreamsPerConn")).collect()
}

/// Reads the header names from the start facts.
pub fn headers(names: &Json) -> Result<Headers, String> {
    let header = |what: &str| match &names[what] {
        Json::Null => Ok(None),
        name => {
            let name = name.as_str().and_then(|name| HeaderName::try_from(name).ok());
            let name = name.ok_or(format!("headers.{what} is no name of a header"))?;
            match RESERVED_HEADERS.contains(&name.as_str()) {
                true => Err(format!("headers.{what}: {name} means something else here")),
                false => Ok(Some(name)),
            }
        }
    };
    if !names.is_null() && !names.is_object() {
        return Err("headers is no object".into());
    }
    Ok(Headers { customer: header("customer")?, cost: header("cost_ms")? })
}

fn check_values(found: &Json, location: &str, kinds: &[(&str, Kind)]) -> Result<(), String> {
    for (path, kind) in kinds {
        let Some(value) = found.pointer(path).filter(|value| !value.is_null()) else { continue };
        let is_number = |condition: fn(f64) -> bool| value.as_f64().is_some_and(condition);
        let (is_valid, expected) = match kind {
            Count => (is_number(|n| n >= 1.0 && n.fract() == 0.0), "a whole number from 1 on".to_owned()),
            PositiveNumber => (is_number(|n| n > 0.0), "a number above 0".to_owned()),
            NonNegativeNumber => (is_number(|n| n >= 0.0), "a number from 0 on".to_owned()),
            Fraction => (is_number(|n| (0.0..=1.0).contains(&n)), "a number from 0 to 1".to_owned()),
            Flag => (value.is_boolean(), "true or false".to_owned()),
            OneOf(words) => (
                value.as_str().is_some_and(|word| words.contains(&word)),
                format!("one of {}", words.join(", ")),
            ),
        };
        if !is_valid {
            return Err(format!("{location}: {path} is {value}, not {expected}"));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings(text: &str) -> Json {
        serde_json::from_str(text).expect("JSON")
    }

    /// Guards against a deployment that starts with an invalid setting and serves on a guess.
    #[test]
    fn an_invalid_setting_is_named() {
        let error = |text: &str| check(&settings(text)).expect_err("refused");
        let errors = [
            error(r#"{"NInstances": 0}"#),
            error(r#"{"NInstances": 2.5}"#),
            error(r#"{"Limits": {"SecondCopies": "yes"}}"#),
            error(r#"{"Limits": {"SecondCopies": true, "MaxDispatches": 1}}"#),
            error(r#"{"UtilityBy": "customer"}"#),
            error(r#"{"Guarantees": {"ColdShare": 1.5}}"#),
            error(r#"{"RuleSets": [{"Utility": 1}, {"Utility": -1}]}"#),
            error(r#"{"RuleSets": [{"ResponseTarget": 0}]}"#),
            error(r#"{"Tenants": [{"QuotaPerS": "many"}]}"#),
        ];
        expect_test::expect![[r#"
            settings: /NInstances is 0, not a whole number from 1 on
            settings: /NInstances is 2.5, not a whole number from 1 on
            settings: /Limits/SecondCopies is "yes", not true or false
            settings: /Limits/SecondCopies needs /Limits/MaxDispatches of 2 or more
            settings: /UtilityBy is "customer", not one of request, work
            settings: /Guarantees/ColdShare is 1.5, not a number from 0 to 1
            settings: /RuleSets/1: /Utility is -1, not a number from 0 on
            settings: /RuleSets/0: /ResponseTarget is 0, not a number above 0
            settings: /Tenants/0: /QuotaPerS is "many", not a number from 0 on"#]]
        .assert_eq(&errors.join("\n"));
    }

    #[test]
    fn absent_settings_are_valid_and_unused() {
        assert!(check(&settings("{}")).is_ok() && unused(&settings("{}")).is_empty());
        let none = headers(&Json::Null).expect("none");
        assert!(none.customer.is_none() && none.cost.is_none());
        let all = r#"{"Limits": {"SecondCopies": true, "MaxDispatches": 4, "Probes": true, "StreamsPerConn": 100}}"#;
        assert!(check(&settings(all)).is_ok());
        assert_eq!(unused(&settings(all)), ["SecondCopies", "Probes", "StreamsPerConn"]);
    }

    #[test]
    fn reserved_and_invalid_headers_are_refused() {
        let error = |text: &str| headers(&settings(text)).err().expect("refused");
        assert_eq!(
            error(r#"{"customer": "X-Budget"}"#),
            "headers.customer: x-budget means something else here"
        );
        assert_eq!(error(r#"{"cost_ms": "a b"}"#), "headers.cost_ms is no name of a header");
        assert_eq!(error("[]"), "headers is no object");
    }
}
