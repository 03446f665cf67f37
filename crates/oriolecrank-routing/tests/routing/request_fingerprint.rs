//! Which requests count as the same.

use oriolecrank_routing::{
    CrashSuspect, OrganisationName, PartId, PromptPart, PromptShape, RequestContent,
    RequestFingerprint,
};

fn fingerprint(content: RequestContent<'_>) -> RequestFingerprint {
    RequestFingerprint::from(&content)
}

/// Guards against a request that is not recognised, and against two requests that are taken for the
/// same although they differ in what the upstream gets.
#[test]
fn requests_that_differ_in_any_content_have_different_fingerprints() {
    let (one, two) = (OrganisationName::from("one"), OrganisationName::from("two"));
    let part = |id| PromptPart {
        id: PartId(id),
        tokens: 10,
    };
    let prompt = |id| PromptShape {
        parts: vec![part(1), part(id)],
        ..PromptShape::default()
    };
    let prompts = [prompt(2), prompt(3)];
    let content = RequestContent {
        organisation: Some(&one),
        method: "POST",
        host: "h.example",
        target: "/log/1?day=2",
        prompt: None,
        body: b"body",
    };
    let variants = [
        content,
        RequestContent {
            organisation: Some(&two),
            ..content
        },
        RequestContent {
            organisation: None,
            ..content
        },
        RequestContent {
            method: "GET",
            ..content
        },
        RequestContent {
            host: "i.example",
            ..content
        },
        RequestContent {
            target: "/log/1?day=3",
            ..content
        },
        RequestContent {
            body: b"other",
            ..content
        },
        RequestContent {
            prompt: Some(&prompts[0]),
            ..content
        },
        RequestContent {
            prompt: Some(&prompts[1]),
            ..content
        },
    ];
    let mut seen: Vec<RequestFingerprint> = variants.into_iter().map(fingerprint).collect();
    assert_eq!(seen, variants.map(fingerprint));
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), variants.len());
}

/// Guards against a list of refused requests in which an operator cannot find the fingerprint that
/// the lines of the request have.
#[test]
fn a_suspect_is_logged_with_the_digits_of_its_fingerprint() {
    let fingerprint = fingerprint(RequestContent {
        organisation: None,
        method: "GET",
        host: "h.example",
        target: "/",
        prompt: None,
        body: b"",
    });
    let suspect = CrashSuspect::Request(fingerprint);
    assert_eq!(format!("{suspect:?}"), format!("Request({fingerprint})"));
    assert_eq!(fingerprint.to_string().len(), 16);
}
