//! The weight store: serves the layers of a model at a limited rate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One layer's weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Layer {
    /// Model they belong to.
    pub model: String,
    /// Version of the weights.
    pub version: u32,
    /// Number of the layer.
    pub layer: u32,
    /// Stand-in for the content: an input to what the layer computes.
    pub seed: u64,
}

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct Client {
    http: rest::Client,
}

impl Client {
    /// Creates a client of the store at `base`; each call fails after `timeout`.
    ///
    /// ```
    /// cloud::weight::Client::new("http://127.0.0.1:9002", std::time::Duration::from_secs(2));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Reads the weights of one layer. Fails with status 429 above the store's rate.
    pub async fn fetch(&self, model: &str, version: u32, layer: u32) -> Result<Layer, rest::Error> {
        self.http.get(&format!("/v1/weights/{model}/{version}/{layer}")).await
    }
}
