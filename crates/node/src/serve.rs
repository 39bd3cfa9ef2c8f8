//! Accepting links: one task for each connection, one for each stream.

use std::sync::Arc;

use wire::frame::{Command, Frame, Settings};
use wire::link::{self, Stream};

use crate::Node;

/// Serves links until the endpoint closes. Questions that any daemon answers
/// (settings, explain) are answered here, the others go to `handle`.
pub async fn run<F, T>(node: Arc<Node>, handle: F)
where
    F: Fn(Command, Stream) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let endpoint = node.peers.endpoint().clone();
    while let Some(incoming) = endpoint.accept().await {
        let (node, handle) = (node.clone(), handle.clone());
        tokio::spawn(async move {
            // A peer without a certificate of the fleet fails here.
            match incoming.await {
                Ok(connection) => {
                    node.peers.traffic.add(connection.clone());
                    connected(node, connection, handle).await;
                }
                Err(e) => log::warn!("link: a connection was refused: {e}"),
            }
        });
    }
}

async fn connected<F, T>(node: Arc<Node>, connection: quinn::Connection, handle: F)
where
    F: Fn(Command, Stream) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    while let Some(stream) = link::accept(&connection).await {
        tokio::spawn(one(node.clone(), stream, handle.clone()));
    }
}

async fn one<F, T>(node: Arc<Node>, mut stream: Stream, handle: F)
where
    F: Fn(Command, Stream) -> T,
    T: Future<Output = ()>,
{
    let sent = match stream.expect::<Command>().await {
        Ok(Command::Settings) => {
            let force = node.settings.borrow().clone();
            let settings = Settings { version: force.version, text: force.text.to_string() };
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
            log::warn!("link: a stream was refused: {e}");
            return;
        }
    };
    match sent {
        Ok(()) => stream.finish(),
        Err(e) => log::debug!("link: {e}"),
    }
}
