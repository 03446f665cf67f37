//! What the fair share has decided about one request.

use super::organisation_metrics::OrganisationOutcome;

/// State of one request at the fair share of its service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallAdmission {
    /// The request is admitted; further attempts do not ask again.
    pub(crate) admitted: bool,
    /// The outcome is counted; a resumed stream counts once.
    pub(crate) counted: bool,
    /// How the metrics count the request if it is refused.
    pub(crate) refused_as: OrganisationOutcome,
}

impl Default for CallAdmission {
    fn default() -> Self {
        Self {
            admitted: false,
            counted: false,
            refused_as: OrganisationOutcome::OtherRefusal,
        }
    }
}
