//! `/livez`, `/readyz` and `/metrics`.

use std::sync::Arc;

use salvo::prelude::*;

use crate::Node;

/// Returns whether the daemon accepts new work, or why not.
pub type Ready = Arc<dyn Fn() -> Result<(), String> + Send + Sync>;

/// Handler of the health pages.
#[derive(Clone)]
struct Page {
    node: Arc<Node>,
    ready: Ready,
}

#[handler]
impl Page {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match req.uri().path() {
            "/livez" => res.render("live\n"),
            "/metrics" => res.render(self.node.metrics.text()),
            _ => match (self.ready)() {
                Ok(()) => res.render("ready\n"),
                Err(why) => {
                    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                    res.render(format!("not ready: {why}\n"));
                }
            },
        }
    }
}

/// Routes of the health pages, to be added to a daemon's HTTP router.
pub fn routes(node: Arc<Node>, ready: Ready) -> Vec<Router> {
    let page = Page { node, ready };
    ["livez", "readyz", "metrics"]
        .into_iter()
        .map(|path| Router::with_path(path).get(page.clone()))
        .collect()
}
