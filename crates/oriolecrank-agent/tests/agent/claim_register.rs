//! Bounded register of the claims of an agent.

use oriolecrank_agent::{ClaimAdmission, ClaimRegister};
use oriolecrank_policy::AttemptId;

fn attempt(name: &str) -> AttemptId {
    AttemptId {
        request_id: name.to_owned().into(),
        attempt: 1,
    }
}

/// Guards against running a claimed call twice.
#[test]
fn a_claim_is_admitted_once() {
    let mut register = ClaimRegister::default();
    assert_eq!(register.admit(5, &attempt("a")), ClaimAdmission::FirstSeen);
    assert_eq!(
        register.admit(5, &attempt("b")),
        ClaimAdmission::AlreadyStarted(attempt("a"))
    );
}

/// Guards against running a call after the agent has reported to the control group that it refuses
/// the claim.
#[test]
fn a_refused_claim_is_never_admitted() {
    let mut register = ClaimRegister::default();
    register.refuse(5);
    assert_eq!(register.admit(5, &attempt("a")), ClaimAdmission::Refused);
}

/// Guards against running a call again after its claim was evicted from the register.
#[test]
fn claims_up_to_an_evicted_one_are_not_admitted() {
    let mut register = ClaimRegister::default();
    for claim_id in 1..=50_010 {
        register.admit(claim_id, &attempt("a"));
    }
    assert_eq!(register.admit(3, &attempt("b")), ClaimAdmission::Evicted);
    assert_eq!(
        register.admit(50_011, &attempt("b")),
        ClaimAdmission::FirstSeen
    );
}
