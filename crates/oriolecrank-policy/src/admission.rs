//! Admission of a request at an entry.
//!
//! A request is refused early if it exceeds a limit of its organisation, if the entry itself is full
//! for its class, or if it cannot meet its deadline. Every refusal is made before anything is sent,
//! so the request has not run.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use snafu::{Snafu, ensure};

use crate::WorkClass;
use crate::limit_key::RequestSize;
use crate::rate_limiter::{LimitKind, LimitRefusal, LimitReservation, RateLimiter};

/// Rules of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Largest number of requests that run through the entry at once.
    pub max_running: usize,
    /// Part of `max_running` up to which each class is admitted, in the order of the classes, so
    /// that bulk work is refused before urgent work.
    pub class_parts: [f64; 3],
    /// Part of the expected service time that must fit before the deadline. The expectation is a
    /// mean over requests of different length, so a part only is required.
    pub service_part: f64,
    /// Expected delays up to this are latency rather than a queue.
    pub negligible_delay: Duration,
    /// Suggested delay when there is no upstream or the entry is full.
    pub retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_running: 4_096,
            class_parts: [1.0, 0.95, 0.8],
            service_part: 0.5,
            negligible_delay: Duration::from_millis(50),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Organisation of the key; `None` on open routes, to which no limits apply.
    pub organisation: Option<&'a OrganisationId>,
    /// Service.
    pub service: &'a ServiceId,
    /// Priority class.
    pub class: WorkClass,
    /// Tokens.
    pub size: RequestSize,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
    /// Shortest expected time until the request starts; `None` if there is no upstream.
    pub expected_delay: Option<Duration>,
    /// Expected time from start to end.
    pub expected_service: Duration,
}

/// A request that is not admitted. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum AdmissionRefusal {
    /// A limit of the organisation is reached.
    #[snafu(display("{refusal}"))]
    Limit {
        /// Limit and delay.
        refusal: LimitRefusal,
    },
    /// The deadline has passed.
    #[snafu(display("the deadline has passed"))]
    DeadlinePassed,
    /// The deadline cannot be met.
    #[snafu(display("the request cannot be served before its deadline"))]
    DeadlineTooSoon {
        /// When a request with as much time would meet its deadline.
        retry_after: Duration,
    },
    /// No upstream serves the request.
    #[snafu(display("no upstream serves the request"))]
    NoUpstream {
        /// Suggested delay.
        retry_after: Duration,
    },
    /// The entry runs as many requests as it may for the class.
    #[snafu(display("the entry is full"))]
    EntryFull {
        /// Suggested delay.
        retry_after: Duration,
    },
}

impl AdmissionRefusal {
    /// Always [`RunVerdict::NotRun`].
    pub fn verdict(&self) -> RunVerdict {
        RunVerdict::NotRun
    }

    /// Suggested delay before a retry; `None` if a retry makes no sense.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::DeadlinePassed => None,
            Self::Limit { refusal } => Some(refusal.retry_after),
            Self::DeadlineTooSoon { retry_after }
            | Self::NoUpstream { retry_after }
            | Self::EntryFull { retry_after } => Some(*retry_after),
        }
    }

    /// Stable error code.
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

    /// HTTP status of the answer.
    pub fn status(&self) -> http::StatusCode {
        match self {
            Self::Limit { .. } => http::StatusCode::TOO_MANY_REQUESTS,
            Self::DeadlinePassed => http::StatusCode::GATEWAY_TIMEOUT,
            _ => http::StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// An admitted request; must be returned by [`AdmissionControl::finish`].
#[derive(Debug, PartialEq)]
#[must_use = "the room stays taken until the admission is returned"]
pub struct AdmittedRequest {
    reservation: Option<LimitReservation>,
}

/// Admission at one entry.
#[derive(Debug)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    limiter: RateLimiter,
    running: usize,
}

impl AdmissionControl {
    /// Admission with the limits of `limiter`.
    pub fn new(settings: AdmissionSettings, limiter: RateLimiter) -> Self {
        Self {
            settings,
            limiter,
            running: 0,
        }
    }

    /// The limits, for new documents, shares and demand reports.
    pub fn limiter(&mut self) -> &mut RateLimiter {
        &mut self.limiter
    }

    /// Requests that run through the entry.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Admits or refuses a request.
    ///
    /// The limits come last, so that a request refused for another reason takes nothing from them.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest<'_>,
        now: TimePoint,
    ) -> Result<AdmittedRequest, AdmissionRefusal> {
        let retry_after = self.settings.retry_after;
        ensure!(now < request.deadline, DeadlinePassedSnafu);
        let part = self.settings.class_parts[request.class as usize];
        let places = (self.settings.max_running as f64 * part) as usize;
        ensure!(self.running < places, EntryFullSnafu { retry_after });
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

    /// Returns an admission; `served` are the true tokens, `None` if the request did not run.
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
        let service = request.expected_service.mul_f64(self.settings.service_part);
        let late = (now + delay + service).since(request.deadline);
        // Without a queue the request is tried; its true length is not known.
        let queued = delay > self.settings.negligible_delay;
        let retry_after = late.max(self.settings.negligible_delay);
        ensure!(
            late.is_zero() || !queued,
            DeadlineTooSoonSnafu { retry_after }
        );
        Ok(())
    }
}
