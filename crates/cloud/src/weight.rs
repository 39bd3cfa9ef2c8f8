//! The weight store, which serves the layers of models at a limited rate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Weights of a layer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Layer {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u32,
    /// Number of the layer.
    pub layer: u32,
    /// Stands for the weights: an input of what the layer computes.
    pub seed: u64,
}

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct Client {
    http: rest::Client,
}

impl Client {
    /// Creates a client for the store at `base` whose calls time out after `timeout`.
    ///
    /// ```
    /// cloud::weight::Client::new("http://127.0.0.1:9002", std::time::Duration::from_secs(2));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Fetches the weights of a layer. The store answers 429 over its rate limit.
    pub async fn fetch(&self, model: &str, version: u32, layer: u32) -> Result<Layer, rest::Error> {
        self.http.get(&format!("/v1/weights/{model}/{version}/{layer}")).await
    }
}
