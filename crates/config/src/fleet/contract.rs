//! Matches calls against the routes of a service.

use super::{Class, Service};

/// Returns the path after the prefix, or `None` if the path is not under it.
pub(super) fn strip_prefix<'a>(prefix: &str, path: &'a str) -> Option<&'a str> {
    let rest = path.strip_prefix(prefix)?;
    (rest.is_empty() || rest.starts_with(['/', '?'])).then_some(rest)
}

/// Returns the class of a call by the rules of [`Service::class`].
pub(super) fn class(service: &Service, method: &str, path: &str) -> Class {
    let path = path.split('?').next().unwrap_or_default();
    let path = if path.is_empty() { "/" } else { path };
    let is_read = matches!(method, "GET" | "HEAD");
    let mut routes = service.routes.iter().filter(|r| matches_method(method, &r.method));
    match is_plain(path) {
        true => match routes.find(|r| matches_path(&r.path, path)) {
            Some(route) => route.class,
            None if is_read => Class::ReadOnly,
            None => Class::NonIdempotent,
        },
        // A path such as `/fees//pay` matches no route here, but the service may run its
        // `/fees/pay` for it. If a GET of it were treated as an unlisted read-only call, it
        // would be retried after a time-out and the fee paid twice.
        false if is_read && routes.all(|r| r.class == Class::ReadOnly) => Class::ReadOnly,
        false => Class::NonIdempotent,
    }
}

/// Returns whether every server resolves a path in the same way.
pub(super) fn is_plain(path: &str) -> bool {
    match path.strip_prefix('/') {
        Some("") => true,
        Some(rest) => rest.split('/').all(is_segment),
        None => false,
    }
}

/// Returns whether each segment of a route's path is plain or `*`.
pub(super) fn is_route_path(path: &str) -> bool {
    is_plain(&path.replace("/*", "/x"))
}

fn is_segment(segment: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._~:@".contains(c);
    !matches!(segment, "" | "." | "..") && segment.chars().all(allowed)
}

fn matches_method(method: &str, route: &str) -> bool {
    method == route || (method == "HEAD" && route == "GET")
}

fn matches_path(route: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    let mut pairs = route.split('/').zip(segments.by_ref());
    let all_match = pairs.all(|(pattern, segment)| pattern == "*" || pattern == segment);
    all_match && route.split('/').count() == path.split('/').count()
}
