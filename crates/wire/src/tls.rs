//! Mutual TLS with the fleet's own certificate authority.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use rustls::server::WebPkiClientVerifier;

/// Time without traffic after which a connection is closed. Longer than a short freeze of a VM
/// and shorter than a caller waits.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of packets that keep an idle connection open and detect an unreachable peer.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(750);

/// Maximum number of bytes of buffered pings.
const PING_BUFFER_BYTES: usize = 64;

/// Why the certificates can't be used.
#[derive(Debug, Display, Error)]
#[display("certificate step '{step}', file {file}: {reason}")]
pub struct Error {
    /// Step that failed.
    pub step: &'static str,
    /// File of that step.
    pub file: String,
    /// Error text of the library.
    pub reason: String,
}

/// TLS configuration of a process, for both directions.
#[derive(Debug, Clone)]
pub struct Config {
    /// For connections that the process accepts.
    pub server: quinn::ServerConfig,
    /// For connections that the process opens.
    pub client: quinn::ClientConfig,
}

/// Reads the authority's certificate and this VM's certificate and key (PEM files).
///
/// ```
/// use std::path::Path;
/// let none = Path::new("no-such-file.pem");
/// assert!(wire::tls::load(none, none, none).is_err());
/// ```
pub fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Config, Error> {
    let roots = Arc::new(roots(authority)?);
    let chain = certificates(certificate)?;
    let key_der = PrivateKeyDer::from_pem_file(key).map_err(|e| error("read key", key, e))?;

    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|e| error("build verifier", authority, e))?;
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| error("choose protocol", certificate, e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key_der.clone_key())
        .map_err(|e| error("load certificate", certificate, e))?;
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| error("choose protocol", certificate, e))?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key_der)
        .map_err(|e| error("load certificate", certificate, e))?;

    let server = QuicServerConfig::try_from(server).map_err(|e| error("quic", certificate, e))?;
    let client = QuicClientConfig::try_from(client).map_err(|e| error("quic", certificate, e))?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    server.transport_config(transport());
    client.transport_config(transport());
    Ok(Config { server, client })
}

fn transport() -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport
        .max_idle_timeout(Some(IDLE_TIMEOUT.try_into().expect("a few seconds fit")))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(4096u32.into())
        // One-byte datagrams serve as pings and are never read.
        .datagram_receive_buffer_size(Some(PING_BUFFER_BYTES));
    Arc::new(transport)
}

fn roots(authority: &Path) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for cert in certificates(authority)? {
        roots.add(cert).map_err(|e| error("trust authority", authority, e))?;
    }
    Ok(roots)
}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    CertificateDer::pem_file_iter(file)
        .and_then(|certs| certs.collect())
        .map_err(|e| error("read certificate", file, e))
}

fn error(step: &'static str, file: &Path, reason: impl ToString) -> Error {
    Error { step, file: file.display().to_string(), reason: reason.to_string() }
}
