//! Accepts links, with a task for each connection and for each stream.

use std::sync::Arc;

use wire::frame::{Command, Frame, Settings};
use wire::link::{self, Stream};

use crate::Node;

/// Serves links until the endpoint closes. Requests that all daemons answer (settings, explain) are
/// answered here; all others are passed to `handle`.
pub async fn run<F, T>(node: Arc<Node>, handle: F)
where
    F: Fn(Command, Stream) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let endpoint = node.peers.endpoint().clone();
    while let Some(incoming) = endpoint.accept().await {
        let (node, handle) = (node.clone(), handle.clone());
        tokio::spawn(async move {
            // Fails for a peer without a certificate of the fleet.
            match incoming.await {
                Ok(connection) => {
                    node.peers.traffic.add(connection.clone());
                    serve_connection(node, connection, handle).await;
                }
                Err(e) => log::warn!("link: refused a connection: {e}"),
            }
        });
    }
}

async fn serve_connection<F, T>(node: Arc<Node>, connection: quinn::Connection, handle: F)
where
    F: Fn(Command, Stream) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    while let Some(stream) = link::accept(&connection).await {
        tokio::spawn(serve_stream(node.clone(), stream, handle.clone()));
    }
}

async fn serve_stream<F, T>(node: Arc<Node>, mut stream: Stream, handle: F)
where
    F: Fn(Command, Stream) -> T,
    T: Future<Output = ()>,
{
    let sent = match stream.expect::<Command>().await {
        Ok(Command::Settings) => {
            let snapshot = node.settings.borrow().clone();
            let settings = Settings { version: snapshot.version, text: snapshot.text.to_string() };
            stream.send(&Frame::Settings(settings)).await
        }
        Ok(Command::Explain(request)) => {
            let lines = node.trace.find(&request);
            let text = serde_json::to_string(&lines).unwrap_or_default();
            stream.send(&Frame::Text(text)).await
        }
        Ok(ask) => {
            handle(ask, stream).await;
            return;
        }
        Err(e) => {
            log::warn!("link: refused a stream: {e}");
            return;
        }
    };
    match sent {
        Ok(()) => stream.finish(),
        Err(e) => log::debug!("link: {e}"),
    }
}
