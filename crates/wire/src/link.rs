//! QUIC endpoints, connections and streams of frames.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use quinn::{Connection, RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};

use crate::{codec, tls};

/// Time-out of a new connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a connection or stream failed, with the step and the peer.
#[derive(Debug, Display, Error)]
#[display("link step '{step}' with {peer}: {reason}")]
pub struct Error {
    /// Step that failed.
    pub step: &'static str,
    /// Name or address of the peer.
    pub peer: String,
    /// Error text.
    pub reason: String,
}

/// A bidirectional stream of frames.
#[derive(Debug)]
pub struct Stream {
    /// Name or address of the peer.
    pub peer: String,
    tx: SendStream,
    rx: RecvStream,
}

/// Returns an endpoint that accepts and opens connections on one UDP port.
///
/// The bound port also limits a VM to one process: a second agent beside the same backend server
/// can't bind it and does not start.
pub fn bind(address: SocketAddr, pair: &tls::Config) -> Result<quinn::Endpoint, Error> {
    let mut endpoint = quinn::Endpoint::server(pair.server.clone(), address)
        .map_err(|e| error("bind", address, e))?;
    endpoint.set_default_client_config(pair.client.clone());
    Ok(endpoint)
}

/// Returns an endpoint that only opens connections, for command-line tools.
pub fn client(address: SocketAddr, pair: &tls::Config) -> Result<quinn::Endpoint, Error> {
    let mut endpoint = quinn::Endpoint::client(address).map_err(|e| error("bind", address, e))?;
    endpoint.set_default_client_config(pair.client.clone());
    Ok(endpoint)
}

/// Connects to the VM named `vm`, whose certificate must carry that name.
pub async fn connect(
    endpoint: &quinn::Endpoint,
    vm: &str,
    address: &str,
) -> Result<Connection, Error> {
    let addr: SocketAddr = address.parse().map_err(|e| error("parse address", address, e))?;
    let connecting = endpoint.connect(addr, vm).map_err(|e| error("connect", vm, e))?;
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(done) => done.map_err(|e| error("connect", vm, e)),
        Err(_) => Err(error("connect", vm, format!("no answer in {CONNECT_TIMEOUT:?}"))),
    }
}

/// Opens a stream on a connection and sends its first frame.
pub async fn open<T: Serialize>(
    connection: &Connection,
    peer: &str,
    first: &T,
) -> Result<Stream, Error> {
    let (tx, rx) = connection.open_bi().await.map_err(|e| error("open stream", peer, e))?;
    let mut stream = Stream { peer: peer.to_string(), tx, rx };
    stream.send(first).await?;
    Ok(stream)
}

/// Accepts the next stream that the peer opens. `None` when the connection has ended.
pub async fn accept(connection: &Connection) -> Option<Stream> {
    let (tx, rx) = connection.accept_bi().await.ok()?;
    Some(Stream { peer: connection.remote_address().to_string(), tx, rx })
}

impl Stream {
    /// Sends one frame.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), Error> {
        let raw = codec::encode(message).map_err(|e| error("encode", &self.peer, e))?;
        self.tx.write_all(&raw).await.map_err(|e| error("send", &self.peer, e))
    }

    /// Reads one frame. `None` when the peer has ended its side.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        let mut head = [0; 4];
        match self.rx.read_exact(&mut head).await {
            Ok(()) => {}
            Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
            Err(e) => return Err(error("read", &self.peer, e)),
        }
        let length = u32::from_be_bytes(head) as usize;
        if length > codec::MAX_FRAME_BYTES {
            return Err(error("read", &self.peer, codec::Error::Long { length }));
        }
        let mut raw = vec![0; length];
        self.rx.read_exact(&mut raw).await.map_err(|e| error("read", &self.peer, e))?;
        codec::decode(&raw).map(Some).map_err(|e| error("decode", &self.peer, e))
    }

    /// Reads one frame; the end of the stream is an error.
    pub async fn expect<T: DeserializeOwned>(&mut self) -> Result<T, Error> {
        match self.next().await? {
            Some(message) => Ok(message),
            None => Err(error("read", &self.peer, "the peer ended the stream")),
        }
    }

    /// Ends this side of the stream; frames already sent are still delivered.
    pub fn finish(&mut self) {
        // Fails only if the stream is already closed.
        let _ = self.tx.finish();
    }

    /// Completes when the peer no longer reads this side of the stream.
    pub async fn stopped(&mut self) {
        let _ = self.tx.stopped().await;
    }
}

fn error(step: &'static str, peer: impl ToString, reason: impl ToString) -> Error {
    Error { step, peer: peer.to_string(), reason: reason.to_string() }
}
