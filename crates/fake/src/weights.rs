//! The weight store, which serves layers at a limited rate.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cloud::weight::Layer;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::bucket::Bucket;
use crate::model;
use crate::serve::{self, Call, Reply, Server};

/// Burst size: fetches that the rate allows in this time are accepted at once.
const BURST: Duration = Duration::from_millis(250);

/// Command-line options of the weight store.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Maximum number of layers served a second.
    #[arg(long, default_value_t = 50)]
    pub rate: u32,
}

/// Faults of the weight store; an omitted field keeps its value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Answers every fetch with 503.
    pub outage: Option<bool>,
    /// Maximum number of layers served a second.
    pub rate: Option<u32>,
}

/// Counters of the weight store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Number of layers served.
    pub fetched: u64,
    /// Number of fetches refused because of the rate limit.
    pub refused: u64,
}

struct Store {
    bucket: Bucket,
    outage: bool,
    stats: Stats,
}

/// Serves a weight store on `listener`.
pub fn start(listener: TcpListener, options: Options) -> std::io::Result<Server> {
    let bucket = Bucket::new(options.rate, BURST, Instant::now());
    let store = Arc::new(Mutex::new(Store { bucket, outage: false, stats: Stats::default() }));
    serve::start(listener, move |call| {
        let reply = route(&mut serve::lock(&store), &call);
        async move { reply.unwrap_or_else(|refusal| refusal) }
    })
}

fn route(store: &mut Store, call: &Call) -> Result<Reply, Reply> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["v1", "weights", model, version, layer]) => fetch(store, model, version, layer),
        ("GET", ["~fake", "books"]) => Ok(Reply::json(200, &store.stats)),
        ("POST", ["~fake", "control"]) => {
            let fault: Fault = call.json()?;
            store.outage = fault.outage.unwrap_or(store.outage);
            if let Some(rate) = fault.rate {
                store.bucket = Bucket::new(rate, BURST, Instant::now());
            }
            Ok(Reply::ok())
        }
        _ => Err(Reply::error(404, "no such path")),
    }
}

fn fetch(store: &mut Store, model: &str, version: &str, layer: &str) -> Result<Reply, Reply> {
    let number = |text: &str| text.parse().map_err(|_| Reply::error(400, "not a number"));
    let (version, layer) = (number(version)?, number(layer)?);
    match store.outage {
        true => Err(Reply::error(503, "outage")),
        false if !store.bucket.take(Instant::now()) => {
            store.stats.refused += 1;
            Err(Reply::error(429, "over the rate"))
        }
        false => {
            store.stats.fetched += 1;
            let seed = model::seed(model, version, layer);
            Ok(Reply::json(200, &Layer { model: model.to_string(), version, layer, seed }))
        }
    }
}
