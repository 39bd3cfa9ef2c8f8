//! Loading of layers, and the delayed load reports of an engine.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloud::weight::Client;
use engine::{Load, Order};
use tokio::time::Instant;

use super::core::Core;
use crate::model::Range;
use crate::serve;

/// Interval between two samples of the load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of samples kept.
const MAX_SAMPLES: usize = 3000;

/// Delay before a failed fetch of a layer is retried.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An order whose layers are being loaded.
#[derive(Debug, Clone)]
pub(crate) struct Loading {
    pub order: Order,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// Number of the order; a newer order cancels it.
    pub number: u64,
}

/// Fetches the layers of an order one by one, then loads them into the engine.
pub(crate) async fn fetch(core: Arc<Mutex<Core>>, weights: Client, loading: Loading) {
    let Loading { order, layers, number } = loading;
    let mut seeds = Vec::new();
    while seeds.len() < (order.last - order.first + 1) as usize {
        if !serve::lock(&core).is_loading(number) {
            return;
        }
        let layer = order.first + seeds.len() as u32;
        match weights.fetch(&order.model, order.version, layer).await {
            Ok(layer) => seeds.push(layer.seed),
            Err(_) => tokio::time::sleep(FETCH_RETRY_DELAY).await,
        }
    }
    let Order { model, version, first, .. } = order;
    serve::lock(&core).finish_loading(number, Range { model, version, layers, first, seeds });
}

/// Samples the load periodically.
pub(crate) async fn sample(core: Arc<Mutex<Core>>) {
    loop {
        serve::lock(&core).sample_load(Instant::now());
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Recent samples of the load.
#[derive(Debug, Default)]
pub(crate) struct LoadSamples(VecDeque<(Instant, Load)>);

impl LoadSamples {
    /// Adds a sample and drops those that are too old to be reported.
    pub(crate) fn push(&mut self, now: Instant, load: Load, lag: Duration) {
        let too_old = |r: &(Instant, Load)| r.0 + lag < now;
        while self.0.get(1).is_some_and(too_old) || self.0.len() >= MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back((now, load));
    }

    /// Returns the newest sample that is at least `lag` old; before there is one, the load of an
    /// idle engine.
    pub(crate) fn delayed(&self, now: Instant, lag: Duration) -> Load {
        let found = self.0.iter().rev().find(|r| r.0 + lag <= now);
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        found.map_or(Load::default(), |r| Load { age_ms: age(r.0), ..r.1.clone() })
    }
}
