//! Fingerprints that identify requests of the same content, whatever their ids.

use hyper::header::HeaderName;
use hyper::{Method, Uri};
use policy::crash::Fingerprint;
use xxhash_rust::xxh3::Xxh3;

use crate::request::Call;
use crate::wire::Names;

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
