//! Lines of the simulator's wire: `name`, then `field=value` parts, all separated by tabs. Times are in milliseconds on the wire
//! and in nanoseconds in the policy.

use ochreshed::{DispatchOutcome, EndpointState, ListedEndpoint, Name, Nanos};

const SETTINGS_PREFIX: &str = "\tProfileData=";

/// A line's name and its fields, in their order on the line.
pub struct Line<'a> {
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn parse(line: &'a str) -> Result<Line<'a>, String> {
        // The settings extend to the end of the line and may contain tabs and equals signs.
        let (line, settings) = match line.find(SETTINGS_PREFIX) {
            Some(at) => (&line[..at], Some(("ProfileData", &line[at + SETTINGS_PREFIX.len()..]))),
            None => (line, None),
        };
        let mut parts = line.split('\t');
        let name = parts.next().unwrap_or_default();
        if name.is_empty() {
            return Err("line has no name".into());
        }
        let fields = parts.map(|part| part.split_once('=').ok_or(format!("'{part}' is not name=value")));
        let mut fields = fields.collect::<Result<Vec<_>, _>>()?;
        fields.extend(settings);
        Ok(Line { name, fields })
    }

    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    pub fn required(&self, field: &str) -> Result<&'a str, String> {
        self.get(field).ok_or_else(|| format!("{} lacks {field}", self.name))
    }

    pub fn integer(&self, field: &str) -> Result<u64, String> {
        let text = self.required(field)?;
        text.parse().map_err(|_| format!("{field}={text} is not a whole number"))
    }

    pub fn flag(&self, field: &str) -> bool {
        self.get(field) == Some("1")
    }

    pub fn time(&self, field: &str) -> Result<Nanos, String> {
        parse_millis(self.required(field)?).ok_or_else(|| format!("{field} is not a time"))
    }

    /// The load report; NaN for a value that can't be parsed.
    pub fn load_report(&self) -> Vec<f64> {
        let text = self.get("Stats").unwrap_or_default();
        text.split(',').filter(|v| !v.is_empty()).map(|v| v.parse().unwrap_or(f64::NAN)).collect()
    }
}

/// Parses milliseconds with an optional fraction to nanoseconds. Plain decimals are converted without floating point, so that
/// no digit is lost.
pub fn parse_millis(text: &str) -> Option<Nanos> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let is_digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    if !is_digits(whole) || !(fraction.is_empty() || is_digits(fraction)) {
        // Exponents and signs are rare; a negative time counts as zero.
        let value: f64 = text.parse().ok().filter(|v: &f64| v.is_finite())?;
        return Some((value.max(0.0) * 1e6) as Nanos);
    }
    let fraction: Nanos = format!("{fraction:0<6.6}").parse().ok()?;
    whole.parse::<Nanos>().ok()?.checked_mul(1_000_000)?.checked_add(fraction)
}

pub fn format_millis(time: Nanos) -> String {
    format!("{}.{:06}", time / 1_000_000, time % 1_000_000)
}

pub fn parse_outcome(code: &str) -> Result<DispatchOutcome, String> {
    Ok(match code {
        "Ok" => DispatchOutcome::Done,
        "Failed" => DispatchOutcome::Error,
        "QueueFull" => DispatchOutcome::Full,
        "TimedOut" => DispatchOutcome::TimedOut,
        "ConnectError" => DispatchOutcome::NoConnection,
        "ResetByPeer" => DispatchOutcome::Reset,
        "Canceled" => DispatchOutcome::Cancelled,
        "Ignored" => DispatchOutcome::NotSent,
        _ => return Err(format!("How={code} is not a dispatch outcome")),
    })
}

/// Parses an `upstream` line of a `pool`.
pub fn parse_endpoint(line: &Line) -> Result<ListedEndpoint, String> {
    let state = match line.required("Condition")? {
        "up" => EndpointState::Up,
        "draining" => EndpointState::Draining,
        "removed" => EndpointState::Gone,
        other => return Err(format!("Condition={other} is not an endpoint state")),
    };
    let weight = line.get("CapacityHint").and_then(|v| v.parse().ok());
    let weight = weight.filter(|w: &f64| w.is_finite() && *w > 0.0);
    Ok(ListedEndpoint {
        name: line.required("Upstream")?.into(),
        state,
        started_at: line.get("CameUp").and_then(parse_millis).filter(|t| *t > 0),
        weight: weight.unwrap_or(1.0),
        site: Name::from(line.get("Hall").unwrap_or_default()),
        cell: line.get("Stripe").and_then(|v| v.parse().ok()).unwrap_or(0),
    })
}

#[cfg(test)]
mod tests {
    use expect_test::expect;

    use super::*;

    #[test]
    fn each_outcome_is_parsed() {
        let codes = [
            "Ok",
            "Failed",
            "QueueFull",
            "TimedOut",
            "ConnectError",
            "ResetByPeer",
            "Canceled",
            "Ignored",
            "Done",
        ];
        let outcomes: String =
            codes.iter().map(|code| format!("{code}: {:?}\n", parse_outcome(code))).collect();
        expect![[r#"
            Ok: Ok(Done)
            Failed: Ok(Error)
            QueueFull: Ok(Full)
            TimedOut: Ok(TimedOut)
            ConnectError: Ok(NoConnection)
            ResetByPeer: Ok(Reset)
            Canceled: Ok(Cancelled)
            Ignored: Ok(NotSent)
            Done: Err("How=Done is not a dispatch outcome")
        "#]]
        .assert_eq(&outcomes);
    }

    #[test]
    fn each_field_of_an_upstream_line_is_parsed() {
        let entries = [
            "upstream\tCondition=up\tUpstream=a:80\tCapacityHint=2.5\tCameUp=1.5\tHall=perth\tStripe=4",
            "upstream\tCondition=draining\tUpstream=a:80\tCapacityHint=-1\tCameUp=0\tStripe=x",
            "upstream\tCondition=removed\tUpstream=a:80",
            "upstream\tCondition=odd\tUpstream=a:80",
            "upstream\tCondition=up",
        ];
        let entries: String = entries
            .iter()
            .map(|text| format!("{:?}\n", parse_endpoint(&Line::parse(text).expect("a line"))))
            .collect();
        expect![[r#"
            Ok(ListedEndpoint { name: "a:80", state: Up, started_at: Some(1500000), weight: 2.5, site: "perth", cell: 4 })
            Ok(ListedEndpoint { name: "a:80", state: Draining, started_at: None, weight: 1.0, site: "", cell: 0 })
            Ok(ListedEndpoint { name: "a:80", state: Gone, started_at: None, weight: 1.0, site: "", cell: 0 })
            Err("Condition=odd is not an endpoint state")
            Err("upstream lacks Upstream")
        "#]].assert_eq(&entries);
    }

    #[test]
    fn times_and_load_reports_are_parsed() {
        let times = ["1", "1.5", "0.0000019", "-3", "1e3", "inf", "x", ""].map(parse_millis);
        let line = Line::parse("response\tStats=1,x,2.5").expect("a line");
        expect![[r#"
            [Some(1000000), Some(1500000), Some(1), Some(0), Some(1000000000), None, None, None]
            1240.750001
            [1.0, NaN, 2.5]
        "#]]
        .assert_eq(&format!("{times:?}\n{}\n{:?}\n", format_millis(1_240_750_001), line.load_report()));
    }
}
