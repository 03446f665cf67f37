//! Settings of fair shares.

use snafu::Snafu;

/// Settings of fair shares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairShareSettings {
    /// Expected wait at the engines from which on shares bind, as a fraction of the time in which a
    /// kind of request is to be answered. The rest of that time goes to the reading of the prompt
    /// and to the network.
    pub overload_share: f64,
    /// Weight of a priority relative to that of the next less urgent one. No weight is 0, so that
    /// less urgent requests still get some of the capacity.
    pub urgency_ratio: f64,
    /// Fraction of the capacity that is promised to refused callers that come back.
    pub return_share: f64,
}

impl Default for FairShareSettings {
    fn default() -> Self {
        Self {
            overload_share: 0.8,
            urgency_ratio: 2.0,
            return_share: 0.5,
        }
    }
}

/// A setting is out of its range.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{key} is {value}; it must be {range}"))]
pub struct SettingFault {
    /// Name of the setting.
    pub key: &'static str,
    /// Its value.
    pub value: f64,
    /// Allowed values.
    pub range: &'static str,
}

impl FairShareSettings {
    /// Checks the ranges of all settings.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of its range.
    pub fn check(&self) -> Result<(), SettingFault> {
        let (share, ratio) = ("over 0 and at most 1", "from 1 to 16");
        let ranges = [
            ("overload_share", self.overload_share, 0.0, 1.0, share),
            ("return_share", self.return_share, 0.0, 1.0, share),
            ("urgency_ratio", self.urgency_ratio, 0.999, 16.0, ratio),
        ];
        for (key, value, above, most, range) in ranges {
            if !(value > above && value <= most) {
                return Err(SettingFault { key, value, range });
            }
        }
        Ok(())
    }

    /// Weight of a flow with this priority.
    pub(crate) fn weight(&self, priority: u8) -> f64 {
        self.urgency_ratio
            .powi(-i32::from(priority.min(LEAST_PRIORITY)))
    }
}

/// Priorities above count like this one, so that weights do not vanish.
const LEAST_PRIORITY: u8 = 7;
