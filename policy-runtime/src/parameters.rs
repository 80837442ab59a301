//! Converts the operators' JSON settings to the policy's parameters. Settings that are not listed here are ignored.

use ochreshed::{ParameterValue, Parameters};
use serde_json::Value as Json;

use ValueKind::{DurationMs, Flag, Number, Term, Text};

/// The JSON type of a setting and how it is converted.
enum ValueKind {
    Number,
    /// A number of milliseconds.
    DurationMs,
    Text,
    /// A text that names a choice, translated to the policy's name for it.
    Term,
    Flag,
}

struct Setting {
    json_pointer: &'static str,
    parameter: &'static str,
    kind: ValueKind,
}

const fn setting(json_pointer: &'static str, parameter: &'static str, kind: ValueKind) -> Setting {
    Setting { json_pointer, parameter, kind }
}

const INSTANCE_SETTINGS: &[Setting] = &[
    setting("/NInstances", "instances", Number),
    setting("/Me", "me", Number),
    setting("/Tier", "tier", Number),
    setting("/Locality", "site", Text),
    setting("/ExcessUtility", "excess_utility", Number),
    setting("/UtilityBy", "utility_by", Term),
    setting("/Discovery", "list_mode", Text),
    setting("/FamilyInfo/PassesDeadline", "time_left_passed", Flag),
    setting("/Limits/MaxDispatches", "max_dispatches", Number),
    setting("/Limits/Cancelling", "may_recall", Flag),
    setting("/Limits/Probes", "may_probe", Flag),
    setting("/Limits/RetryAfter", "come_back_passed", Flag),
    setting("/Limits/MaxRetryAfter", "max_come_back", DurationMs),
    setting("/Limits/MaxOpen", "max_open", Number),
    setting("/Limits/ConnIdle", "connection_idle", DurationMs),
    setting("/Limits/ConnectTimeout", "connect_timeout", DurationMs),
    setting("/Guarantees/AnswerSlack", "answer_slack", DurationMs),
    setting("/Guarantees/AskWithin", "ask_within", DurationMs),
    setting("/Guarantees/Cold", "cold", DurationMs),
    setting("/Guarantees/ColdShare", "cold_share", Number),
    setting("/Guarantees/DrainGrace", "drain_grace", DurationMs),
    setting("/Guarantees/Fall", "fall", DurationMs),
    setting("/Guarantees/FallMultiple", "fall_multiple", Number),
    setting("/Prices/LateFail", "price_late", Number),
    setting("/Prices/Probe", "price_probe", Number),
    setting("/Prices/CrossZone", "price_crossing", Number),
    setting("/Goal/SlowEnd", "goal_tail", Number),
    setting("/Goal/MissAllowed", "goal_tail_allowed", Number),
    setting("/Goal/Nines", "goal_nines", Number),
];

const RULE_SET_SETTINGS: &[Setting] = &[
    setting("/Name", "name", Text),
    setting("/ResponseTarget", "response_target", DurationMs),
    setting("/ClientTimeout", "client_timeout", DurationMs),
    setting("/Effect", "effect", Term),
    setting("/DedupScope", "group", Term),
    setting("/Window", "window", DurationMs),
    setting("/Utility", "utility", Number),
    setting("/TardyUtility", "late_utility", Number),
];

const CUSTOMER_SETTINGS: &[Setting] = &[
    setting("/Name", "name", Text),
    setting("/QuotaPerS", "share_per_s", Number),
    setting("/Share", "share", Number),
];

/// Parses JSON settings and reads the parameters from them.
pub fn parse_parameters(text: &str) -> Result<Parameters, String> {
    let json: Json = serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?;
    read_parameters(&json)
}

/// Reads the parameters from parsed JSON settings. Fails at the first setting of a wrong type.
pub fn read_parameters(json: &Json) -> Result<Parameters, String> {
    if !json.is_object() {
        return Err("settings: not an object".into());
    }
    let mut parameters = read_object(json, INSTANCE_SETTINGS)?;
    let tier_count = json.pointer("/Tiers").and_then(Json::as_array).map_or(1, |tiers| tiers.len());
    parameters.insert("tiers".into(), ParameterValue::Number(tier_count as f64));
    parameters.insert("rule_sets".into(), read_objects(json, "/RuleSets", RULE_SET_SETTINGS)?);
    parameters.insert("customers".into(), read_objects(json, "/Tenants", CUSTOMER_SETTINGS)?);
    let fields = json.pointer("/Report/Fields").and_then(Json::as_array);
    let fields = fields.into_iter().flatten().enumerate();
    for (index, field) in fields.filter_map(|(index, field)| Some((index, field.as_str()?))) {
        let parameter = match field {
            "concurrent" => "report_in_flight",
            "depth" => "report_queue",
            "load_share" => "report_busy",
            "mean_ms" => "report_time",
            "tps" => "report_done_per_s",
            "err_ps" => "report_errors_per_s",
            _ => continue,
        };
        parameters.insert(parameter.into(), ParameterValue::Number(index as f64));
    }
    Ok(parameters)
}

fn read_objects(json: &Json, json_pointer: &str, settings: &[Setting]) -> Result<ParameterValue, String> {
    let items = json.pointer(json_pointer).and_then(Json::as_array).into_iter().flatten();
    Ok(ParameterValue::List(items.map(|item| read_object(item, settings)).collect::<Result<_, _>>()?))
}

fn read_object(json: &Json, settings: &[Setting]) -> Result<Parameters, String> {
    let mut parameters = Parameters::new();
    for Setting { json_pointer, parameter, kind } in settings {
        let Some(found) = json.pointer(json_pointer).filter(|found| !found.is_null()) else { continue };
        let value = match kind {
            Number => found.as_f64().map(ParameterValue::Number),
            DurationMs => {
                found.as_f64().map(|ms| ParameterValue::Duration((ms.max(0.0) * 1e6).round() as u64))
            }
            Text => found.as_str().map(|text| ParameterValue::Text(text.into())),
            Term => found.as_str().map(|text| ParameterValue::Text(translate_term(text).into())),
            Flag => found.as_bool().map(ParameterValue::Flag),
        };
        let value = value.ok_or_else(|| format!("settings: {json_pointer} has the wrong type"))?;
        parameters.insert((*parameter).into(), value);
    }
    Ok(parameters)
}

/// The policy's name for an effect, a deduplication scope or a measure of utility in the settings.
fn translate_term(text: &str) -> &str {
    match text {
        "repeatable" => "replayable",
        "by_key" => "uniqued",
        "once" => "non-replayable",
        "zone" => "site",
        "request" => "req",
        other => other,
    }
}
