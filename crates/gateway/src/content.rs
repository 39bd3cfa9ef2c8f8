//! Fingerprints that identify requests of the same content, whatever their ids.

use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Uri};
use policy::crash::{Fingerprint, Part};
use xxhash_rust::xxh3::Xxh3;

use crate::crash::format_fingerprint;
use crate::request::Call;
use crate::wire::{Codec, Names};

/// Returns the hash of a request's workspace, host, method, path, query and body. Since the workspace is included, no
/// caller can send a request with the fingerprint of another workspace's request.
///
/// ```
/// use gateway::content::fingerprint;
/// use hyper::{Method, Uri};
/// let uri = Uri::from_static("/draft/1");
/// let of = |workspace, body| fingerprint(Some(workspace), "h.example", &Method::POST, &uri, body);
/// assert_eq!(of("w", b"text"), of("w", b"text"));
/// assert_ne!(of("w", b"text"), of("x", b"text"));
/// assert_ne!(of("w", b"text"), of("w", b"other text"));
/// ```
pub fn fingerprint(
    workspace: Option<&str>,
    host: &str,
    method: &Method,
    uri: &Uri,
    body: &[u8],
) -> Fingerprint {
    hash(&[
        workspace.unwrap_or_default().as_bytes(),
        host.as_bytes(),
        method.as_str().as_bytes(),
        uri.path_and_query().map_or("", |p| p.as_str()).as_bytes(),
        body,
    ])
}

/// Parts of a prompt that are told apart. Longer prompts are known by their first ones.
const MAX_PARTS: usize = 64;

/// Characters of a part's id that are logged.
const MAX_LOGGED_ID: usize = 20;

/// Returns the ids of the parts of a prompt that other requests may share, in order.
fn shared_ids<'a>(codec: &Codec, headers: &'a HeaderMap) -> impl Iterator<Item = &'a str> {
    let field = headers.get(&codec.names.parts).and_then(|value| value.to_str().ok());
    field.map_or(Vec::new(), codec.shared_parts).into_iter().take(MAX_PARTS)
}

/// Returns the parts of a prompt that other requests may share, in order. Since callers choose the ids, a part belongs
/// to its workspace.
pub fn shared_parts(codec: &Codec, workspace: Option<&str>, headers: &HeaderMap) -> Vec<Part> {
    let workspace = workspace.unwrap_or_default().as_bytes();
    let part = |id: &str| Part {
        fingerprint: hash(&[b"part", workspace, id.as_bytes()]),
        id: hash(&[b"id", id.as_bytes()]),
    };
    shared_ids(codec, headers).map(part).collect()
}

/// Formats the parts of a request's prompt that others may share as `ID=FINGERPRINT`, separated by commas.
pub fn describe_parts(codec: &Codec, call: &Call) -> String {
    let text = |(id, part): (&str, &Part)| {
        let id: String = id.chars().take(MAX_LOGGED_ID).collect();
        format!("{id}={}", format_fingerprint(part.fingerprint))
    };
    match call.parts.is_empty() {
        true => "none".to_owned(),
        false => {
            let parts = shared_ids(codec, &call.headers).zip(&call.parts);
            parts.map(text).collect::<Vec<_>>().join(",")
        }
    }
}

/// Returns the hash of the header fields that describe a request to a model.
pub fn description(names: &Names, call: &Call) -> Fingerprint {
    let fields = names.protected.iter().chain([&names.tokens]);
    let value = |name: &HeaderName| call.headers.get(name).map_or(&b""[..], |v| v.as_bytes());
    hash(&fields.map(value).collect::<Vec<_>>())
}

fn hash(parts: &[&[u8]]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in parts {
        // The length distinguishes parts that are split differently but have the same bytes.
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
