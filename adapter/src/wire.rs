//! Lines of the simulator's wire: splitting them, and milliseconds to nanoseconds and back.

use ochreshed::{DispatchOutcome, EndpointState, ListedEndpoint, Name, Nanos};

const SETTINGS: &str = "\tProfileData=";

/// A line's name and its fields, in the order they came.
pub struct Line<'a> {
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn read(line: &'a str) -> Result<Line<'a>, String> {
        // The settings run to the line's end, whatever they hold.
        let (line, settings) = match line.find(SETTINGS) {
            Some(at) => (&line[..at], Some(("ProfileData", &line[at + SETTINGS.len()..]))),
            None => (line, None),
        };
        let mut parts = line.split('\t');
        let name = parts.next().unwrap_or_default();
        if name.is_empty() {
            return Err("a line without a name".into());
        }
        let fields = parts.map(|part| part.split_once('=').ok_or(format!("'{part}' is not name=value")));
        let mut fields = fields.collect::<Result<Vec<_>, _>>()?;
        fields.extend(settings);
        Ok(Line { name, fields })
    }

    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    pub fn must(&self, field: &str) -> Result<&'a str, String> {
        self.get(field).ok_or_else(|| format!("{} lacks {field}", self.name))
    }

    pub fn int(&self, field: &str) -> Result<u64, String> {
        let text = self.must(field)?;
        text.parse().map_err(|_| format!("{field}={text} is not a whole number"))
    }

    pub fn flag(&self, field: &str) -> bool {
        self.get(field) == Some("1")
    }

    pub fn time(&self, field: &str) -> Result<Nanos, String> {
        nanos(self.must(field)?).ok_or_else(|| format!("{field} is not a time"))
    }

    /// The load report; a value that can't be read is a gap (NaN).
    pub fn report(&self) -> Vec<f64> {
        let text = self.get("Stats").unwrap_or_default();
        text.split(',').filter(|v| !v.is_empty()).map(|v| v.parse().unwrap_or(f64::NAN)).collect()
    }
}

/// Milliseconds with a fraction, as text, to nanoseconds without a detour over floating point.
pub fn nanos(text: &str) -> Option<Nanos> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    if !digits(whole) || !(part.is_empty() || digits(part)) {
        // Exponents and signs are rare; a negative time counts as none.
        let value: f64 = text.parse().ok().filter(|v: &f64| v.is_finite())?;
        return Some((value.max(0.0) * 1e6) as Nanos);
    }
    let part: Nanos = format!("{part:0<6.6}").parse().ok()?;
    whole.parse::<Nanos>().ok()?.checked_mul(1_000_000)?.checked_add(part)
}

pub fn millis(time: Nanos) -> String {
    format!("{}.{:06}", time / 1_000_000, time % 1_000_000)
}

pub fn how(code: &str) -> Result<DispatchOutcome, String> {
    Ok(match code {
        "Ok" => DispatchOutcome::Done,
        "Failed" => DispatchOutcome::Error,
        "QueueFull" => DispatchOutcome::Full,
        "TimedOut" => DispatchOutcome::TimedOut,
        "ConnectError" => DispatchOutcome::NoConnection,
        "ResetByPeer" => DispatchOutcome::Reset,
        "Canceled" => DispatchOutcome::Cancelled,
        "Ignored" => DispatchOutcome::NotSent,
        _ => return Err(format!("How={code} is no outcome")),
    })
}

/// One `upstream` line of a `pool`.
pub fn listed(line: &Line) -> Result<ListedEndpoint, String> {
    let state = match line.must("Condition")? {
        "up" => EndpointState::Up,
        "draining" => EndpointState::Draining,
        "removed" => EndpointState::Gone,
        other => return Err(format!("Condition={other} is no state")),
    };
    let weight =
        line.get("CapacityHint").and_then(|v| v.parse().ok()).filter(|w: &f64| w.is_finite() && *w > 0.0);
    Ok(ListedEndpoint {
        name: line.must("Upstream")?.into(),
        state,
        started_at: line.get("CameUp").and_then(nanos).filter(|t| *t > 0),
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
    fn each_outcome_is_read_from_its_word() {
        let words = [
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
        let outcomes: String = words.iter().map(|word| format!("{word}: {:?}\n", how(word))).collect();
        expect![[r#"
            Ok: Ok(Done)
            Failed: Ok(Error)
            QueueFull: Ok(Full)
            TimedOut: Ok(TimedOut)
            ConnectError: Ok(NoConnection)
            ResetByPeer: Ok(Reset)
            Canceled: Ok(Cancelled)
            Ignored: Ok(NotSent)
            Done: Err("How=Done is no outcome")
        "#]]
        .assert_eq(&outcomes);
    }

    #[test]
    fn each_field_of_an_upstream_line_is_read() {
        let entries = [
            "upstream\tCondition=up\tUpstream=a:80\tCapacityHint=2.5\tCameUp=1.5\tHall=perth\tStripe=4",
            "upstream\tCondition=draining\tUpstream=a:80\tCapacityHint=-1\tCameUp=0\tStripe=x",
            "upstream\tCondition=removed\tUpstream=a:80",
            "upstream\tCondition=odd\tUpstream=a:80",
            "upstream\tCondition=up",
        ];
        let entries: String = entries
            .iter()
            .map(|text| format!("{:?}\n", listed(&Line::read(text).expect("a line"))))
            .collect();
        expect![[r#"
            Ok(ListedEndpoint { name: "a:80", state: Up, started_at: Some(1500000), weight: 2.5, site: "perth", cell: 4 })
            Ok(ListedEndpoint { name: "a:80", state: Draining, started_at: None, weight: 1.0, site: "", cell: 0 })
            Ok(ListedEndpoint { name: "a:80", state: Gone, started_at: None, weight: 1.0, site: "", cell: 0 })
            Err("Condition=odd is no state")
            Err("upstream lacks Upstream")
        "#]].assert_eq(&entries);
    }

    #[test]
    fn times_and_load_reports_are_read_and_written() {
        let times = ["1", "1.5", "0.0000019", "-3", "1e3", "inf", "x", ""].map(nanos);
        let line = Line::read("response\tStats=1,x,2.5").expect("a line");
        expect![[r#"
            [Some(1000000), Some(1500000), Some(1), Some(0), Some(1000000000), None, None, None]
            1240.750001
            [1.0, NaN, 2.5]
        "#]]
        .assert_eq(&format!("{times:?}\n{}\n{:?}\n", millis(1_240_750_001), line.report()));
    }
}
