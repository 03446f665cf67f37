//! Claims that an agent has seen.

use oriolecrank_agent::{ClaimRegister, ClaimSight};
use oriolecrank_policy::AttemptId;

fn attempt(name: &str) -> AttemptId {
    AttemptId {
        request_id: name.to_owned().into(),
        attempt: 1,
    }
}

/// Guards against a second run of a claimed call.
#[test]
fn a_claim_is_admitted_once() {
    let mut register = ClaimRegister::default();
    assert_eq!(register.admit(5, &attempt("a")), ClaimSight::FirstSeen);
    assert_eq!(
        register.admit(5, &attempt("b")),
        ClaimSight::Known(attempt("a"))
    );
}

/// Guards against a run after the agent has told the control group that it refuses the claim.
#[test]
fn a_refused_claim_is_never_admitted() {
    let mut register = ClaimRegister::default();
    register.refuse(5);
    assert_eq!(register.admit(5, &attempt("a")), ClaimSight::Refused);
}

/// Guards against a second run of a claim that fell out of the bounded register.
#[test]
fn a_dropped_claim_counts_as_forgotten() {
    let mut register = ClaimRegister::default();
    for claim_id in 1..=50_010 {
        register.admit(claim_id, &attempt("a"));
    }
    assert_eq!(register.admit(3, &attempt("b")), ClaimSight::Forgotten);
    assert_eq!(register.admit(50_011, &attempt("b")), ClaimSight::FirstSeen);
}
