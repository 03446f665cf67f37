//! Contract and differential tests of admission and limits.

mod common;

use std::time::Duration;

use oriolecrank_policy::admission::{
    AdmissionControl, AdmissionRefusal, AdmissionRequest, AdmissionSettings,
};
use oriolecrank_policy::limit_key::{
    EntryCount, LimitKey, LimitShare, OrganisationLimit, RequestSize,
};
use oriolecrank_policy::rate_limiter::{
    LimitKind, LimitRefusal, LimitReservation, LimiterSettings, RateLimiter,
};
use oriolecrank_policy::{TokenCount, WorkClass};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use proptest::prelude::*;

const LIFETIME: Duration = Duration::from_secs(5);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn organisation() -> OrganisationId {
    "a".to_owned().into()
}

fn service() -> ServiceId {
    "assistant".to_owned().into()
}

fn key() -> LimitKey {
    LimitKey {
        organisation: organisation(),
        service: None,
    }
}

fn size(prompt: u64, output: u64) -> RequestSize {
    RequestSize {
        prompt: TokenCount::new(prompt),
        output: TokenCount::new(output),
    }
}

/// A limiter with `limit`, of which this entry, one of two, has `share`.
fn limiter(limit: OrganisationLimit, share: LimitShare) -> RateLimiter {
    let mut limiter = RateLimiter::new(LimiterSettings::default());
    limiter.set_limits([(key(), limit)]);
    limiter.apply_shares(
        [(key(), share)],
        Some(EntryCount::new(2)),
        LIFETIME,
        at(0),
        at(0),
    );
    limiter
}

fn reserve(
    limiter: &mut RateLimiter,
    size: RequestSize,
    millis: u64,
) -> Result<LimitReservation, LimitRefusal> {
    limiter.reserve(&organisation(), &service(), size, at(millis))
}

/// Guards against more concurrent requests than allowed, and against finished requests that still
/// count, also after the limits are replaced.
#[test]
fn concurrency_is_limited_and_released() {
    let limit = OrganisationLimit {
        concurrent: Some(1),
        ..OrganisationLimit::default()
    };
    let share = LimitShare {
        concurrent: 1,
        ..LimitShare::default()
    };
    let mut limiter = limiter(limit, share);
    let first = reserve(&mut limiter, size(1, 1), 0).unwrap();
    let refusal = reserve(&mut limiter, size(1, 1), 0).unwrap_err();
    assert_eq!(refusal.kind, LimitKind::Concurrency);
    assert!(refusal.retry_after >= Duration::from_millis(100));
    limiter.finish(first, Some(size(1, 1)), at(10));
    let second = reserve(&mut limiter, size(1, 1), 10).unwrap();
    limiter.set_limits([(key(), limit)]);
    assert!(reserve(&mut limiter, size(1, 1), 20).is_err());
    limiter.finish(second, None, at(20));
    assert!(reserve(&mut limiter, size(1, 1), 20).is_ok());
    assert_eq!(limiter.take_demand(at(20))[0].running, 1);
}

/// Guards against an entry that uses its share after the leader may have granted it to another:
/// after 5 s only the reserve is left, and after 60 s nothing.
#[test]
fn expired_shares_leave_the_reserve_and_then_nothing() {
    let limit = OrganisationLimit {
        concurrent: Some(16),
        requests_per_s: Some(80),
        ..OrganisationLimit::default()
    };
    let share = LimitShare {
        concurrent: 12,
        requests_per_s: 60.0,
        tokens_per_s: f64::INFINITY,
    };
    let limiter = limiter(limit, share);
    let allowed = |millis| {
        let allowed = limiter.allowed(&key(), at(millis));
        (allowed.concurrent, allowed.requests_per_s)
    };
    assert_eq!(allowed(4_999), (14, 70.0));
    assert_eq!(allowed(5_000), (2, 10.0));
    assert_eq!(allowed(59_999), (2, 10.0));
    assert_eq!(allowed(60_000), (0, 0.0));
}

/// Guards against charging for the largest possible answer instead of the actual one, and against
/// not charging for answers that are longer than expected.
#[test]
fn reservations_are_corrected_by_the_tokens_used() {
    let limit = OrganisationLimit {
        tokens_per_s: Some(1_000),
        ..OrganisationLimit::default()
    };
    let share = LimitShare {
        tokens_per_s: 875.0,
        ..LimitShare::default()
    };
    let mut limiter = limiter(limit, share);
    let first = reserve(&mut limiter, size(100, 4_000), 0).unwrap();
    let refusal = reserve(&mut limiter, size(100, 0), 0).unwrap_err();
    // The bucket had 2,000 tokens, of which 4,100 are charged; 100 are needed, at 1,000 per second.
    assert_eq!(
        (refusal.kind, refusal.retry_after),
        (LimitKind::Tokens, Duration::from_millis(2_200))
    );
    limiter.finish(first, Some(size(100, 100)), at(0));
    let second = reserve(&mut limiter, size(1_800, 0), 0).unwrap();
    limiter.finish(second, Some(size(1_800, 500)), at(0));
    let refusal = reserve(&mut limiter, size(1, 0), 0).unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_millis(501));
    assert!(reserve(&mut limiter, size(1, 0), 501).is_ok());
}

/// Guards against requests of one service that count against the limit of another, and against a
/// limit over all services that ignores some of them.
#[test]
fn service_and_organisation_limits_both_apply() {
    let limit = |concurrent| OrganisationLimit {
        concurrent: Some(concurrent),
        ..OrganisationLimit::default()
    };
    let share = |concurrent| LimitShare {
        concurrent,
        ..LimitShare::default()
    };
    let desk: ServiceId = "desk".to_owned().into();
    let desk_key = LimitKey {
        organisation: organisation(),
        service: Some(desk.clone()),
    };
    let mut limiter = RateLimiter::new(LimiterSettings::default());
    limiter.set_limits([(key(), limit(3)), (desk_key.clone(), limit(1))]);
    let shares = [(key(), share(3)), (desk_key, share(1))];
    limiter.apply_shares(shares, Some(EntryCount::new(1)), LIFETIME, at(0), at(0));
    let mut outcomes = Vec::new();
    for service in [&desk, &desk, &service(), &service(), &service()] {
        outcomes.push(
            limiter
                .reserve(&organisation(), service, size(0, 0), at(0))
                .is_ok(),
        );
    }
    assert_eq!(outcomes, [true, false, true, true, false]);
    let other: OrganisationId = "b".to_owned().into();
    assert!(limiter.reserve(&other, &desk, size(0, 0), at(0)).is_ok());
}

/// Guards against requests that are admitted although they cannot be served in time, and against
/// refusals with a wrong retry delay.
#[test]
fn requests_that_cannot_be_served_in_time_are_refused() {
    use AdmissionRefusal as R;
    let ms = Duration::from_millis;
    let second = Duration::from_secs(1);
    let cases = [
        (1_000, Some(ms(0)), ms(0), Some(R::DeadlinePassed)),
        (
            2_000,
            None,
            ms(0),
            Some(R::NoUpstream {
                retry_after: second,
            }),
        ),
        (
            2_000,
            Some(ms(600)),
            ms(1_000),
            Some(R::DeadlineTooSoon {
                retry_after: ms(100),
            }),
        ),
        (2_000, Some(ms(500)), ms(1_000), None),
        (2_000, Some(ms(1)), ms(9_000), None),
    ];
    for (deadline, expected_delay, expected_service, refusal) in cases {
        let limiter = RateLimiter::new(LimiterSettings::default());
        let mut control = AdmissionControl::new(AdmissionSettings::default(), limiter);
        let request = AdmissionRequest {
            organisation: Some(&organisation()),
            service: &service(),
            class: WorkClass::Standard,
            size: size(1, 1),
            deadline: at(deadline),
            expected_delay,
            expected_service,
        };
        let admitted = control.admit(&request, at(1_000));
        assert_eq!(
            admitted.as_ref().err(),
            refusal.as_ref(),
            "{deadline} {expected_delay:?}"
        );
        assert_eq!(control.running(), usize::from(admitted.is_ok()));
    }
}

/// Guards against bulk requests that fill the entry so that urgent ones are refused.
#[test]
fn a_full_entry_refuses_bulk_first() {
    let settings = AdmissionSettings {
        max_running: 10,
        ..AdmissionSettings::default()
    };
    let mut control = AdmissionControl::new(settings, RateLimiter::new(LimiterSettings::default()));
    let mut admitted = |class, count: usize| {
        let request = AdmissionRequest {
            organisation: None,
            service: &service(),
            class,
            size: size(1, 1),
            deadline: at(1_000),
            expected_delay: Some(Duration::ZERO),
            expected_service: Duration::ZERO,
        };
        (0..count)
            .filter(|_| control.admit(&request, at(0)).is_ok())
            .count()
    };
    assert_eq!(admitted(WorkClass::Bulk, 20), 8);
    assert_eq!(admitted(WorkClass::Standard, 20), 1);
    assert_eq!(admitted(WorkClass::Urgent, 20), 1);
}

proptest! {
    #![proptest_config(common::fixed_seed(300))]

    /// Guards against admitting more requests or tokens in any interval than rate and burst allow,
    /// and against refusals below the limit: each decision must equal that of a bucket whose level
    /// is recalculated from all earlier charges.
    #[test]
    fn limiter_equals_naive_history(
        steps in prop::collection::vec((0u64..800, 1u64..1_500, 0u64..1_500, any::<bool>()), 1..80),
    ) {
        let limit = OrganisationLimit { requests_per_s: Some(4), tokens_per_s: Some(1_000), concurrent: Some(6) };
        let share = LimitShare { requests_per_s: 3.5, tokens_per_s: 875.0, concurrent: 6 };
        let mut limiter = limiter(limit, share);
        let mut running = Vec::new();
        // Time, requests and tokens of each charge.
        let mut charges: Vec<(u64, f64, f64)> = Vec::new();
        let level = |rate: f64, charges: &[(u64, f64, f64)], amount: fn(&(u64, f64, f64)) -> f64, now: u64| {
            let (mut level, mut last) = (rate * 2.0, 0);
            for charge in charges {
                level = (level + rate * (charge.0 - last) as f64 / 1e3).min(rate * 2.0)
                    - amount(charge);
                last = charge.0;
            }
            (level + rate * (now - last) as f64 / 1e3).min(rate * 2.0)
        };
        let mut now = 0;
        for (wait, tokens, served, finish) in steps {
            now += wait;
            limiter.apply_shares([(key(), share)], Some(EntryCount::new(2)), LIFETIME, at(now), at(now));
            if finish && !running.is_empty() {
                let (reservation, tokens): (LimitReservation, u64) = running.remove(0);
                limiter.finish(reservation, Some(size(served, 0)), at(now));
                charges.push((now, 0.0, served as f64 - tokens as f64));
                continue;
            }
            let request_level = level(4.0, &charges, |charge| charge.1, now);
            let token_level = level(1_000.0, &charges, |charge| charge.2, now);
            let expected = running.len() < 6
                && request_level > 1.0 - 1e-9
                && token_level > tokens as f64 - 1e-9;
            let reserved = reserve(&mut limiter, size(tokens, 0), now);
            prop_assert_eq!(reserved.is_ok(), expected, "{} {}", request_level, token_level);
            if let Ok(reservation) = reserved {
                running.push((reservation, tokens));
                charges.push((now, 1.0, tokens as f64));
            }
        }
    }
}
