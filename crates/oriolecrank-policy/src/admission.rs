//! Admission of a request at an entry.
//!
//! A request is refused if it exceeds a limit of its organisation, if the entry already runs as
//! many requests as it accepts for the class, or if it cannot meet its deadline. Admission precedes
//! sending anything to an upstream, so a refused request has not run.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use snafu::{Snafu, ensure};

use crate::WorkClass;
use crate::limit_key::RequestSize;
use crate::rate_limiter::{LimitKind, LimitRefusal, LimitReservation, RateLimiter};

/// Settings of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Largest number of requests that the entry runs at the same time.
    pub max_running: usize,
    /// Fraction of `max_running` up to which each class is admitted, indexed by [`WorkClass`], so
    /// that bulk requests are refused before urgent ones.
    pub class_fractions: [f64; 3],
    /// Fraction of the expected service time that must fit before the deadline. Below 1 because the
    /// expected time is a mean over requests of different lengths.
    pub service_time_fraction: f64,
    /// Expected delays up to this value count as network latency rather than queueing. Such a
    /// request is not refused for its deadline.
    pub negligible_delay: Duration,
    /// Retry delay suggested to the caller when there is no upstream or the entry is full.
    pub retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_running: 4_096,
            class_fractions: [1.0, 0.95, 0.8],
            service_time_fraction: 0.5,
            negligible_delay: Duration::from_millis(50),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Properties of a request that admission depends on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Organisation that the API key belongs to; `None` on open routes, which have no limits.
    pub organisation: Option<&'a OrganisationId>,
    /// Requested service; limits can apply to one service only.
    pub service: &'a ServiceId,
    /// Priority class; decides how much of the entry's capacity the request may use.
    pub class: WorkClass,
    /// Prompt tokens and largest number of output tokens.
    pub size: RequestSize,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
    /// Expected time until an upstream starts the request, the shortest over all candidates; `None`
    /// if there is no upstream.
    pub expected_delay: Option<Duration>,
    /// Expected time from the start of the request at the upstream to the end of the answer.
    pub expected_service: Duration,
}

/// Why a request is not admitted. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum AdmissionRefusal {
    /// The request exceeds a limit of its organisation.
    #[snafu(display("{refusal}"))]
    Limit {
        /// Exceeded limit and suggested retry delay.
        refusal: LimitRefusal,
    },
    /// The deadline passed before admission.
    #[snafu(display("the deadline passed before the request was admitted"))]
    DeadlinePassed,
    /// The request would wait in a queue and end after its deadline.
    #[snafu(display("the request is not expected to be complete before its deadline"))]
    DeadlineTooSoon {
        /// Delay after which a retry with the same time to its deadline is expected to meet it.
        retry_after: Duration,
    },
    /// No upstream can serve the request.
    #[snafu(display("no upstream is available for the requested service and model"))]
    NoUpstream {
        /// Suggested retry delay, from [`AdmissionSettings::retry_after`].
        retry_after: Duration,
    },
    /// The entry already runs as many requests as it accepts for the class.
    #[snafu(display(
        "the entry already runs as many requests of this priority class as it accepts"
    ))]
    EntryFull {
        /// Suggested retry delay, from [`AdmissionSettings::retry_after`].
        retry_after: Duration,
    },
}

impl AdmissionRefusal {
    /// Always [`RunVerdict::NotRun`], because refusals precede sending.
    pub fn verdict(&self) -> RunVerdict {
        RunVerdict::NotRun
    }

    /// Suggested delay before a retry; `None` if a retry cannot succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::DeadlinePassed => None,
            Self::Limit { refusal } => Some(refusal.retry_after),
            Self::DeadlineTooSoon { retry_after }
            | Self::NoUpstream { retry_after }
            | Self::EntryFull { retry_after } => Some(*retry_after),
        }
    }

    /// Stable error code for callers.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Limit { refusal } => match refusal.kind {
                LimitKind::Requests => "request_rate_limit",
                LimitKind::Tokens => "token_rate_limit",
                LimitKind::Concurrency => "concurrency_limit",
            },
            Self::DeadlinePassed => "deadline_passed",
            Self::DeadlineTooSoon { .. } => "deadline_too_soon",
            Self::NoUpstream { .. } => "no_upstream",
            Self::EntryFull { .. } => "entry_full",
        }
    }

    /// HTTP status of the error answer.
    pub fn status(&self) -> http::StatusCode {
        match self {
            Self::Limit { .. } => http::StatusCode::TOO_MANY_REQUESTS,
            Self::DeadlinePassed => http::StatusCode::GATEWAY_TIMEOUT,
            _ => http::StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Capacity taken by an admitted request; released by [`AdmissionControl::finish`].
#[derive(Debug, PartialEq)]
#[must_use = "the capacity stays taken until the admission is finished"]
pub struct AdmittedRequest {
    reservation: Option<LimitReservation>,
}

/// Admission control of one entry.
#[derive(Debug)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    limiter: RateLimiter,
    running: usize,
}

impl AdmissionControl {
    /// Admission control without running requests, with the limits of `limiter`.
    pub fn new(settings: AdmissionSettings, limiter: RateLimiter) -> Self {
        Self {
            settings,
            limiter,
            running: 0,
        }
    }

    /// Limiter, for applying new documents and shares and for collecting demand reports.
    pub fn limiter(&mut self) -> &mut RateLimiter {
        &mut self.limiter
    }

    /// Number of admitted requests that have not finished.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Admits or refuses a request.
    ///
    /// The limits are checked last, so that a request refused for another reason does not count
    /// against them.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest<'_>,
        now: TimePoint,
    ) -> Result<AdmittedRequest, AdmissionRefusal> {
        let retry_after = self.settings.retry_after;
        ensure!(now < request.deadline, DeadlinePassedSnafu);
        let fraction = self.settings.class_fractions[request.class as usize];
        let max_for_class = (self.settings.max_running as f64 * fraction) as usize;
        ensure!(self.running < max_for_class, EntryFullSnafu { retry_after });
        let Some(delay) = request.expected_delay else {
            return NoUpstreamSnafu { retry_after }.fail();
        };
        self.check_deadline(request, delay, now)?;
        let reservation = match request.organisation {
            None => None,
            Some(organisation) => {
                let reserved =
                    self.limiter
                        .reserve(organisation, request.service, request.size, now);
                Some(reserved.map_err(|refusal| AdmissionRefusal::Limit { refusal })?)
            }
        };
        self.running += 1;
        Ok(AdmittedRequest { reservation })
    }

    /// Releases the capacity of an admitted request. `served` holds the tokens actually used,
    /// `None` if the request did not run.
    pub fn finish(
        &mut self,
        admitted: AdmittedRequest,
        served: Option<RequestSize>,
        now: TimePoint,
    ) {
        self.running -= 1;
        if let Some(reservation) = admitted.reservation {
            self.limiter.finish(reservation, served, now);
        }
    }

    fn check_deadline(
        &self,
        request: &AdmissionRequest<'_>,
        delay: Duration,
        now: TimePoint,
    ) -> Result<(), AdmissionRefusal> {
        let service = request
            .expected_service
            .mul_f64(self.settings.service_time_fraction);
        let lateness = (now + delay + service).since(request.deadline);
        // Without a queue the request is tried even if it may miss its deadline, because its actual
        // length is not known.
        let queued = delay > self.settings.negligible_delay;
        let retry_after = lateness.max(self.settings.negligible_delay);
        ensure!(
            lateness.is_zero() || !queued,
            DeadlineTooSoonSnafu { retry_after }
        );
        Ok(())
    }
}
