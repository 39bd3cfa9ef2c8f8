//! The weight store: layers of a model, handed out at a limited rate.

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
    /// Stand-in for the content: mixed into what the layer computes.
    pub seed: u64,
}

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct Client {
    http: rest::Client,
}

impl Client {
    /// A client for the store at `base`, giving up on each call after `timeout`.
    ///
    /// ```
    /// cloud::weight::Client::new("http://127.0.0.1:9002", std::time::Duration::from_secs(2));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Weights of one layer. 429 when over the store's rate.
    pub async fn fetch(&self, model: &str, version: u32, layer: u32) -> Result<Layer, rest::Error> {
        self.http.get(&format!("/v1/weights/{model}/{version}/{layer}")).await
    }
}
