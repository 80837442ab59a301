//! The operators' settings object to a plain map in the project's own words. What is not named here is
//! skipped.

use ochreshed::{ParameterValue, Parameters};
use serde_json::Value as Json;

enum Unit {
    Number,
    Span,
    Text,
    Word,
    Flag,
}
use Unit::*;

const TOP: &[(&str, &str, Unit)] = &[
    ("/NInstances", "instances", Number),
    ("/Me", "me", Number),
    ("/Tier", "tier", Number),
    ("/Locality", "site", Text),
    ("/ExcessUtility", "excess_utility", Number),
    ("/UtilityBy", "utility_by", Word),
    ("/Discovery", "list_mode", Text),
    ("/FamilyInfo/PassesDeadline", "time_left_passed", Flag),
    ("/Limits/MaxDispatches", "max_dispatches", Number),
    ("/Limits/Cancelling", "may_recall", Flag),
    ("/Limits/Probes", "may_probe", Flag),
    ("/Limits/RetryAfter", "come_back_passed", Flag),
    ("/Limits/MaxRetryAfter", "max_come_back", Span),
    ("/Limits/MaxOpen", "max_open", Number),
    ("/Limits/ConnIdle", "connection_idle", Span),
    ("/Limits/ConnectTimeout", "connect_timeout", Span),
    ("/Guarantees/AnswerSlack", "answer_slack", Span),
    ("/Guarantees/AskWithin", "ask_within", Span),
    ("/Guarantees/Cold", "cold", Span),
    ("/Guarantees/ColdShare", "cold_share", Number),
    ("/Guarantees/DrainGrace", "drain_grace", Span),
    ("/Guarantees/Fall", "fall", Span),
    ("/Guarantees/FallMultiple", "fall_multiple", Number),
    ("/Prices/LateFail", "price_late", Number),
    ("/Prices/Probe", "price_probe", Number),
    ("/Prices/CrossZone", "price_crossing", Number),
    ("/Goal/SlowEnd", "goal_tail", Number),
    ("/Goal/MissAllowed", "goal_tail_allowed", Number),
    ("/Goal/Nines", "goal_nines", Number),
];

const RULE_SET: &[(&str, &str, Unit)] = &[
    ("/Name", "name", Text),
    ("/ResponseTarget", "response_target", Span),
    ("/ClientTimeout", "client_timeout", Span),
    ("/Effect", "effect", Word),
    ("/DedupScope", "group", Word),
    ("/Window", "window", Span),
    ("/Utility", "utility", Number),
    ("/TardyUtility", "late_utility", Number),
];

const CUSTOMER: &[(&str, &str, Unit)] =
    &[("/Name", "name", Text), ("/QuotaPerS", "share_per_s", Number), ("/Share", "share", Number)];

pub fn parse_parameters(text: &str) -> Result<Parameters, String> {
    let json: Json = serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?;
    read_parameters(&json)
}

pub fn read_parameters(json: &Json) -> Result<Parameters, String> {
    if !json.is_object() {
        return Err("settings: not an object".into());
    }
    let mut facts = pick(json, TOP)?;
    let tiers = json.pointer("/Tiers").and_then(Json::as_array).map_or(1, |tiers| tiers.len());
    facts.insert("tiers".into(), ParameterValue::Number(tiers as f64));
    facts.insert("rule_sets".into(), list(json, "/RuleSets", RULE_SET)?);
    facts.insert("customers".into(), list(json, "/Tenants", CUSTOMER)?);
    let fields = json.pointer("/Report/Fields").and_then(Json::as_array);
    let fields = fields.into_iter().flatten().enumerate().filter_map(|(at, f)| Some((at, f.as_str()?)));
    for (at, field) in fields {
        let name = match field {
            "concurrent" => "report_in_flight",
            "depth" => "report_queue",
            "load_share" => "report_busy",
            "mean_ms" => "report_time",
            "tps" => "report_done_per_s",
            "err_ps" => "report_errors_per_s",
            _ => continue,
        };
        facts.insert(name.into(), ParameterValue::Number(at as f64));
    }
    Ok(facts)
}

fn list(json: &Json, path: &str, table: &[(&str, &str, Unit)]) -> Result<ParameterValue, String> {
    let items = json.pointer(path).and_then(Json::as_array).into_iter().flatten();
    Ok(ParameterValue::List(items.map(|item| pick(item, table)).collect::<Result<_, _>>()?))
}

fn pick(json: &Json, table: &[(&str, &str, Unit)]) -> Result<Parameters, String> {
    let mut facts = Parameters::new();
    for (path, name, unit) in table {
        let Some(found) = json.pointer(path).filter(|v| !v.is_null()) else { continue };
        let value = match unit {
            Number => found.as_f64().map(ParameterValue::Number),
            Span => found.as_f64().map(|ms| ParameterValue::Duration((ms.max(0.0) * 1e6).round() as u64)),
            Text => found.as_str().map(|text| ParameterValue::Text(text.into())),
            Word => found.as_str().map(|text| ParameterValue::Text(word(text).into())),
            Flag => found.as_bool().map(ParameterValue::Flag),
        };
        facts.insert((*name).into(), value.ok_or_else(|| format!("settings: {path} can't be read"))?);
    }
    Ok(facts)
}

/// The wire's words for effects and for how utility counts, in ours.
fn word(text: &str) -> &str {
    match text {
        "repeatable" => "replayable",
        "by_key" => "uniqued",
        "once" => "non-replayable",
        "zone" => "site",
        "request" => "req",
        other => other,
    }
}
