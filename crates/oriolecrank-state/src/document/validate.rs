//! Validation of a whole document.
//!
//! All errors are reported at once, each with the path of its value, so that an operator can
//! correct them in one pass.

use std::collections::{BTreeMap, BTreeSet};

use oriolecrank_schema::codec;
use oriolecrank_schema::control::FieldError;
use oriolecrank_schema::document::{
    BudgetConfig, ConfigDocument, KeyConfig, LimitConfig, OrganisationConfig, RegionConfig,
    RouteConfig, ServiceConfig, ServiceKind,
};

/// Maximum length of the name of an organisation, key, service, region, failure domain or model, in
/// bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of the path prefix of a route, in bytes.
pub const MAX_PATH_BYTES: usize = 256;

/// Maximum number of organisations. The system is designed for 340.
pub const MAX_ORGANISATIONS: usize = 4_096;

/// Maximum number of services.
pub const MAX_SERVICES: usize = 256;

/// Maximum number of keys of one organisation.
pub const MAX_KEYS: usize = 64;

/// Maximum number of routes of one service.
pub const MAX_ROUTES: usize = 256;

/// Maximum size of an encoded document, in bytes; bounds log entries and the state of every
/// subscriber.
pub const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// Maximum deadline of a call, in milliseconds (1 h).
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum length of the usage window, in seconds (1 h).
pub const MAX_USAGE_WINDOW_S: u64 = 3_600;

/// Maximum number of errors reported for one document; an additional entry says how many were
/// omitted.
pub const MAX_REPORTED_ERRORS: usize = 100;

/// Number of hexadecimal digits of a SHA-256 digest.
const DIGEST_HEX_DIGITS: usize = 64;

/// Checks a whole document.
///
/// # Errors
///
/// Returns all errors in the order of the checks, at most [`MAX_REPORTED_ERRORS`] and one more
/// entry with the number of omitted errors.
pub fn validate_document(document: &ConfigDocument) -> Result<(), Vec<FieldError>> {
    let mut list = ErrorList::default();
    check_sizes(document, &mut list);
    check_regions(&document.regions, &mut list);
    check_services(document, &mut list);
    check_organisations(document, &mut list);
    check_window(document.usage_window_s, &mut list);
    check_budgets(document, &mut list);
    list.finish()
}

/// Errors found so far, in the order of the checks.
#[derive(Debug, Default)]
struct ErrorList {
    errors: Vec<FieldError>,
    /// Number of errors beyond [`MAX_REPORTED_ERRORS`].
    omitted: usize,
}

impl ErrorList {
    fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        if self.errors.len() >= MAX_REPORTED_ERRORS {
            self.omitted += 1;
            return;
        }
        self.errors.push(FieldError {
            path: path.into(),
            reason: reason.into(),
        });
    }

    fn finish(mut self) -> Result<(), Vec<FieldError>> {
        if self.errors.is_empty() {
            return Ok(());
        }
        if self.omitted > 0 {
            self.errors.push(FieldError {
                path: String::new(),
                reason: format!("{} more errors are not listed", self.omitted),
            });
        }
        Err(self.errors)
    }
}

/// Names seen so far, to report duplicates.
#[derive(Debug, Default)]
struct NameRegister<'a> {
    /// Path at which each name first appears.
    first_paths: BTreeMap<&'a str, String>,
}

impl<'a> NameRegister<'a> {
    /// Adds a name; reports an error if its form is not valid or it is a duplicate.
    fn add(&mut self, name: &'a str, path: &str, list: &mut ErrorList) {
        check_name(name, path, list);
        self.add_any_form(name, path, list);
    }

    /// Adds a name of any form; reports an error if it is a duplicate.
    fn add_any_form(&mut self, name: &'a str, path: &str, list: &mut ErrorList) {
        if let Some(first) = self.first_paths.get(name) {
            list.add(path, format!("{name:?} is already used at {first}"));
            return;
        }
        self.first_paths.insert(name, path.to_owned());
    }
}

fn check_sizes(document: &ConfigDocument, list: &mut ErrorList) {
    check_count(
        "organisations",
        document.organisations.len(),
        MAX_ORGANISATIONS,
        list,
    );
    check_count("services", document.services.len(), MAX_SERVICES, list);
    let size = codec::encode(document).len();
    if size > MAX_DOCUMENT_BYTES {
        list.add(
            "",
            format!("the document has {size} bytes, more than {MAX_DOCUMENT_BYTES}"),
        );
    }
}

fn check_count(path: &str, count: usize, limit: usize, list: &mut ErrorList) {
    if count > limit {
        list.add(path, format!("has {count} entries, more than {limit}"));
    }
}

fn check_name(name: &str, path: &str, list: &mut ErrorList) {
    if name.is_empty() {
        return list.add(path, "is empty");
    }
    if name.len() > MAX_NAME_BYTES {
        return list.add(path, format!("is longer than {MAX_NAME_BYTES} bytes"));
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !name.bytes().all(allowed) || name.starts_with('.') {
        list.add(
            path,
            format!("{name:?} may contain only letters, digits, '-', '_' and inner '.'"),
        );
    }
}

fn check_regions(regions: &[RegionConfig], list: &mut ErrorList) {
    if regions.is_empty() {
        list.add("regions", "at least one region is needed");
    }
    let mut names = NameRegister::default();
    let mut domains = NameRegister::default();
    for (index, region) in regions.iter().enumerate() {
        let path = format!("regions[{index}]");
        names.add(&region.name.0, &format!("{path}.name"), list);
        if region.failure_domains.is_empty() {
            list.add(
                format!("{path}.failure_domains"),
                "at least one failure domain is needed",
            );
        }
        for (index, domain) in region.failure_domains.iter().enumerate() {
            domains.add(&domain.0, &format!("{path}.failure_domains[{index}]"), list);
        }
    }
}

fn check_services(document: &ConfigDocument, list: &mut ErrorList) {
    let mut names = NameRegister::default();
    for (index, service) in document.services.iter().enumerate() {
        let path = format!("services[{index}]");
        names.add(&service.name.0, &format!("{path}.name"), list);
        check_deadline(service.deadline_ms, &format!("{path}.deadline_ms"), list);
        match service.kind {
            ServiceKind::Engine => check_engine(service, &path, list),
            ServiceKind::Plain => check_plain(service, &path, list),
        }
    }
}

fn check_engine(service: &ServiceConfig, path: &str, list: &mut ErrorList) {
    if service.models.is_empty() {
        list.add(
            format!("{path}.models"),
            "an engine service needs at least one model",
        );
    }
    let mut models = NameRegister::default();
    for (index, model) in service.models.iter().enumerate() {
        let path = format!("{path}.models[{index}]");
        check_model(model, &path, list);
        models.add_any_form(model, &path, list);
    }
    for (index, route) in service.routes.iter().enumerate() {
        let path = format!("{path}.routes[{index}]");
        if route.open {
            list.add(
                format!("{path}.open"),
                "an engine service cannot have open routes",
            );
        } else {
            list.add(path, "only plain services have routes");
        }
    }
}

/// Checks a model name; unlike other names it may contain `/` and `:`, as in `family/model:tag`.
fn check_model(model: &str, path: &str, list: &mut ErrorList) {
    if model.is_empty() {
        return list.add(path, "is empty");
    }
    if model.len() > MAX_NAME_BYTES {
        return list.add(path, format!("is longer than {MAX_NAME_BYTES} bytes"));
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./:".contains(&byte);
    if !model.bytes().all(allowed) {
        list.add(
            path,
            format!("{model:?} may contain only letters, digits, '-', '_', '.', '/' and ':'"),
        );
    }
}

fn check_plain(service: &ServiceConfig, path: &str, list: &mut ErrorList) {
    if !service.models.is_empty() {
        list.add(
            format!("{path}.models"),
            "a plain service cannot have models",
        );
    }
    check_count(
        &format!("{path}.routes"),
        service.routes.len(),
        MAX_ROUTES,
        list,
    );
    let mut methods = BTreeMap::<&str, RouteMethods<'_>>::new();
    for (index, route) in service.routes.iter().enumerate() {
        let path = format!("{path}.routes[{index}]");
        check_route(route, &path, list);
        methods
            .entry(&route.path)
            .or_default()
            .add(route, &path, list);
    }
}

/// Methods that are already assigned to a route of one path prefix.
#[derive(Debug, Default)]
struct RouteMethods<'a> {
    /// Whether there is a route without a list of methods, which accepts all methods.
    has_catch_all: bool,
    /// Methods that the routes list by name.
    named: BTreeSet<&'a str>,
}

impl<'a> RouteMethods<'a> {
    fn add(&mut self, route: &'a RouteConfig, path: &str, list: &mut ErrorList) {
        if route.methods.is_empty() {
            if self.has_catch_all {
                list.add(path, "another route has the same path and methods");
            }
            self.has_catch_all = true;
            return;
        }
        for (index, method) in route.methods.iter().enumerate() {
            if !self.named.insert(method) {
                list.add(
                    format!("{path}.methods[{index}]"),
                    format!("{method:?} is already listed for {:?}", route.path),
                );
            }
        }
    }
}

fn check_route(route: &RouteConfig, path: &str, list: &mut ErrorList) {
    if let Some(reason) = path_error(&route.path) {
        list.add(format!("{path}.path"), reason);
    }
    for (index, method) in route.methods.iter().enumerate() {
        let valid = !method.is_empty()
            && method.len() <= MAX_NAME_BYTES
            && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !valid {
            list.add(
                format!("{path}.methods[{index}]"),
                format!("{method:?} is not an HTTP method in capital letters"),
            );
        }
    }
    if route.coalesce && !route.idempotent {
        list.add(
            format!("{path}.coalesce"),
            "only idempotent routes can be coalesced",
        );
    }
    if let Some(deadline_ms) = route.deadline_ms {
        check_deadline(deadline_ms, &format!("{path}.deadline_ms"), list);
    }
}

/// Reason why a text is not a valid path prefix, or `None` if it is valid.
///
/// Dot segments, empty segments and percent encoding are not allowed, because a service could
/// resolve them to a path outside the prefix.
fn path_error(path: &str) -> Option<String> {
    if !path.starts_with('/') {
        return Some("must begin with '/'".to_owned());
    }
    if path.len() > MAX_PATH_BYTES {
        return Some(format!("is longer than {MAX_PATH_BYTES} bytes"));
    }
    if path == "/" {
        return None;
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/-_.~@:+,;=!$'()*".contains(&byte);
    if !path.bytes().all(allowed) {
        return Some(format!("{path:?} has a character that is not allowed"));
    }
    let segments = &mut path[1..].split('/');
    if segments.any(|segment| matches!(segment, "" | "." | "..")) {
        return Some(format!("{path:?} has an empty, '.' or '..' segment"));
    }
    None
}

fn check_deadline(deadline_ms: u64, path: &str, list: &mut ErrorList) {
    if deadline_ms == 0 {
        list.add(path, "must be larger than 0");
    }
    if deadline_ms > MAX_DEADLINE_MS {
        list.add(path, format!("must be at most {MAX_DEADLINE_MS}"));
    }
}

fn check_organisations(document: &ConfigDocument, list: &mut ErrorList) {
    let services: BTreeSet<&str> = document
        .services
        .iter()
        .map(|service| service.name.0.as_str())
        .collect();
    let mut names = NameRegister::default();
    let mut digests = NameRegister::default();
    for (index, organisation) in document.organisations.iter().enumerate() {
        let path = format!("organisations[{index}]");
        names.add(&organisation.name.0, &format!("{path}.name"), list);
        if organisation.weight == 0 {
            list.add(format!("{path}.weight"), "must be at least 1");
        }
        check_keys(&organisation.keys, &path, &mut digests, list);
        check_permissions(organisation, &path, &services, list);
        check_limits(organisation, &path, &services, list);
    }
}

fn check_keys<'a>(
    keys: &'a [KeyConfig],
    path: &str,
    digests: &mut NameRegister<'a>,
    list: &mut ErrorList,
) {
    check_count(&format!("{path}.keys"), keys.len(), MAX_KEYS, list);
    let mut names = NameRegister::default();
    for (index, key) in keys.iter().enumerate() {
        let path = format!("{path}.keys[{index}]");
        names.add(&key.name, &format!("{path}.name"), list);
        let path = format!("{path}.digest");
        let is_hex_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if key.digest.0.len() != DIGEST_HEX_DIGITS || !key.digest.0.bytes().all(is_hex_digit) {
            list.add(
                path,
                format!("must be {DIGEST_HEX_DIGITS} lower-case hexadecimal digits"),
            );
            continue;
        }
        digests.add_any_form(&key.digest.0, &path, list);
    }
}

fn check_permissions(
    organisation: &OrganisationConfig,
    path: &str,
    services: &BTreeSet<&str>,
    list: &mut ErrorList,
) {
    let mut names = NameRegister::default();
    for (index, service) in organisation.services.iter().enumerate() {
        let path = format!("{path}.services[{index}]");
        check_reference(&service.0, &path, services, list);
        names.add_any_form(&service.0, &path, list);
    }
}

fn check_reference(name: &str, path: &str, services: &BTreeSet<&str>, list: &mut ErrorList) {
    if !services.contains(name) {
        list.add(path, format!("{name:?} is not a service of the document"));
    }
}

fn check_limits(
    organisation: &OrganisationConfig,
    path: &str,
    services: &BTreeSet<&str>,
    list: &mut ErrorList,
) {
    let mut first_paths = BTreeMap::<Option<&str>, String>::new();
    for (index, limit) in organisation.limits.iter().enumerate() {
        let path = format!("{path}.limits[{index}]");
        check_limit_values(limit, &path, list);
        let service = limit.service.as_ref();
        if let Some(service) = service {
            let path = format!("{path}.service");
            check_reference(&service.0, &path, services, list);
            if !organisation.services.is_empty() && !organisation.services.contains(service) {
                list.add(
                    path,
                    format!("the organisation may not call {:?}", service.0),
                );
            }
        }
        let name = service.map(|service| service.0.as_str());
        if let Some(first) = first_paths.get(&name) {
            list.add(&path, format!("the same service is limited at {first}"));
            continue;
        }
        first_paths.insert(name, path);
    }
}

fn check_limit_values(limit: &LimitConfig, path: &str, list: &mut ErrorList) {
    let values = [
        ("requests_per_s", limit.requests_per_s),
        ("tokens_per_s", limit.tokens_per_s),
        ("concurrent", limit.concurrent),
    ];
    if values.iter().all(|(_, value)| value.is_none()) {
        list.add(path, "limits nothing");
    }
    for (name, value) in values {
        if value == Some(0) {
            list.add(format!("{path}.{name}"), "must be larger than 0");
        }
    }
}

fn check_window(usage_window_s: u64, list: &mut ErrorList) {
    if usage_window_s == 0 || usage_window_s > MAX_USAGE_WINDOW_S {
        list.add(
            "usage_window_s",
            format!("must be between 1 and {MAX_USAGE_WINDOW_S}"),
        );
    }
}

fn check_budgets(document: &ConfigDocument, list: &mut ErrorList) {
    let total = check_budget(document.budget.as_ref(), "budget", list);
    for (index, service) in document.services.iter().enumerate() {
        let path = format!("services[{index}].budget");
        let Some(budget) = check_budget(service.budget.as_ref(), &path, list) else {
            continue;
        };
        if total.is_some_and(|total| budget > total) {
            list.add(
                format!("{path}.max_upstreams"),
                "is larger than the budget of all services",
            );
        }
    }
}

/// Checks one budget and returns its limit, if there is one.
fn check_budget(budget: Option<&BudgetConfig>, path: &str, list: &mut ErrorList) -> Option<u32> {
    let limit = budget?.max_upstreams?;
    if limit == 0 {
        list.add(format!("{path}.max_upstreams"), "must be larger than 0");
    }
    Some(limit)
}
