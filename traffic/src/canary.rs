//! What a trial of a member's document comes to. It owns the verdict, from how the member's own reqs fared where the
//! trial runs and where it doesn't. It knows no clock: whoever asks says whether the trial's time is over. It must never
//! count another member's reqs.

/// How reqs of one member ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcomes {
    pub succeeded: u64,
    pub failed: u64,
}

impl RequestOutcomes {
    fn all(self) -> f64 {
        self.succeeded as f64 + self.failed as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it yet, and its time is not over.
    Continue,
    Promote,
    RollBack,
}

/// Fewer failures on trial prove nothing.
const LEAST_FAILED: u64 = 3;
/// By so many standard errors the trial must fail more than the others do. One that is as good as these and looked at ten
/// times is withdrawn by chance about once in a hundred times (5 of 400, simulated).
const ERRORS: f64 = 3.0;
/// Where no req ran without the trial, more than this part of those on it must fail.
const MOST_FAILED: f64 = 0.5;

/// Withdrawn as soon as the member's reqs clearly fail more on trial than elsewhere; else settled once its time is over,
/// also where no req came.
pub fn verdict(on_trial: RequestOutcomes, elsewhere: RequestOutcomes, over: bool) -> Verdict {
    if worse(on_trial, elsewhere) {
        Verdict::RollBack
    } else if over {
        Verdict::Promote
    } else {
        Verdict::Continue
    }
}

fn worse(on_trial: RequestOutcomes, elsewhere: RequestOutcomes) -> bool {
    if on_trial.failed < LEAST_FAILED {
        return false;
    }
    let part = on_trial.failed as f64 / on_trial.all();
    if elsewhere.all() == 0.0 {
        return part > MOST_FAILED;
    }
    let other = elsewhere.failed as f64 / elsewhere.all();
    let both = (on_trial.failed as f64 + elsewhere.failed as f64) / (on_trial.all() + elsewhere.all());
    let error = (both * (1.0 - both) * (1.0 / on_trial.all() + 1.0 / elsewhere.all())).sqrt();
    part - other > ERRORS * error
}
