//! Matches calls with the routes of a service.

use super::{Class, Service};

/// What follows the prefix, or `None` when the path is not under it.
pub(super) fn after<'a>(prefix: &str, path: &'a str) -> Option<&'a str> {
    let rest = path.strip_prefix(prefix)?;
    (rest.is_empty() || rest.starts_with(['/', '?'])).then_some(rest)
}

/// The rule is written at [`Service::class`].
pub(super) fn class(service: &Service, method: &str, path: &str) -> Class {
    let path = path.split('?').next().unwrap_or_default();
    let path = if path.is_empty() { "/" } else { path };
    let safe = matches!(method, "GET" | "HEAD");
    let mut routes = service.routes.iter().filter(|r| reaches(method, &r.method));
    match is_plain(path) {
        true => match routes.find(|r| fits(&r.path, path)) {
            Some(route) => route.class,
            None if safe => Class::ReadOnly,
            None => Class::NonIdempotent,
        },
        // A path such as `/fees//pay` fits no route here, yet the service may run its
        // `/fees/pay` for it. Taken for an unlisted look-up it would be sent again after a
        // timeout, and a clerk would find the fee paid twice.
        false if safe && routes.all(|r| r.class == Class::ReadOnly) => Class::ReadOnly,
        false => Class::NonIdempotent,
    }
}

/// True for a path that every server reads the same way.
pub(super) fn is_plain(path: &str) -> bool {
    match path.strip_prefix('/') {
        Some("") => true,
        Some(rest) => rest.split('/').all(is_segment),
        None => false,
    }
}

/// True when each segment of a route's path is plain or `*`.
pub(super) fn is_route(path: &str) -> bool {
    is_plain(&path.replace("/*", "/x"))
}

fn is_segment(segment: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-._~:@".contains(c);
    !matches!(segment, "" | "." | "..") && segment.chars().all(plain)
}

fn reaches(method: &str, route: &str) -> bool {
    method == route || (method == "HEAD" && route == "GET")
}

fn fits(route: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    let mut all = route.split('/').zip(segments.by_ref());
    let same = all.all(|(want, found)| want == "*" || want == found);
    same && route.split('/').count() == path.split('/').count()
}
