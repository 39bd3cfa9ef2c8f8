//! Metrics by opentelemetry, exported as Prometheus text.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::settings;
use crate::traffic::Traffic;

/// State of one model or plain service at a router.
#[derive(Debug, Clone, Copy)]
pub struct Gauges<'a> {
    /// Its name.
    pub target: &'a str,
    /// Queued requests.
    pub waiting: u64,
    /// Running requests of this router.
    pub running: u64,
    /// Free slots in the scarcest range, as this router estimates them.
    pub free: u64,
    /// Agents ejected because they are slow or fail.
    pub ejected: u64,
    /// Retries that the retry budget still allows.
    pub budget: u64,
}

/// Gauges with the label `target`.
#[derive(Debug)]
struct QueueGauges {
    waiting: Gauge<u64>,
    running: Gauge<u64>,
    free: Gauge<u64>,
    ejected: Gauge<u64>,
    budget: Gauge<u64>,
}

/// The instruments of a daemon; docs/OPERATIONS.md describes them for operators.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Kept because the instruments stop exporting when it is dropped.
    _provider: SdkMeterProvider,
    /// Requests that have ended, by `kind` and `outcome`.
    requests: Counter<u64>,
    /// Requests that a router refused, by `cause`.
    refusals: Counter<u64>,
    queues: QueueGauges,
    /// Generated tokens.
    pub tokens: Counter<u64>,
    /// Seconds to the first token.
    pub first_token: Histogram<f64>,
    /// Seconds between tokens.
    pub between_tokens: Histogram<f64>,
    /// Tries of drafts and calls that failed, or whose head was lost.
    pub retries: Counter<u64>,
    /// Stages replaced during a draft.
    pub stages_replaced: Counter<u64>,
    /// Layer runs repeated because a stage's state was lost.
    pub layer_runs_repeated: Counter<u64>,
    /// Log records that could not be decoded.
    pub undecodable_records: Counter<u64>,
    /// Engine crashes detected.
    pub engine_crashes: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments of the process on `vm`. The version of the fleet settings is read when
    /// the metrics are exported.
    pub fn new(
        vm: &str,
        settings: settings::Watch,
        traffic: Traffic,
    ) -> Result<Metrics, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let reader =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let resource = Resource::builder().with_attribute(KeyValue::new("vm", vm.to_string()));
        let provider =
            SdkMeterProvider::builder().with_resource(resource.build()).with_reader(reader).build();
        let meter = provider.meter("hyssoppass");
        meter
            .u64_observable_gauge("hyssop_settings_version")
            .with_callback(move |gauge| gauge.observe(settings.borrow().version, &[]))
            .build();
        meter
            .u64_observable_counter("hyssop_link_bytes")
            .with_callback(move |counter| {
                let total = traffic.total();
                counter.observe(total.sent, &[KeyValue::new("direction", "sent")]);
                counter.observe(total.received, &[KeyValue::new("direction", "received")]);
            })
            .build();
        meter
            .u64_observable_counter("hyssop_http_bytes")
            .with_callback(|counter| {
                let (sent, received) = rest::traffic();
                counter.observe(sent, &[KeyValue::new("direction", "sent")]);
                counter.observe(received, &[KeyValue::new("direction", "received")]);
            })
            .build();
        Ok(Metrics {
            requests: meter.u64_counter("hyssop_requests").build(),
            refusals: meter.u64_counter("hyssop_refusals").build(),
            queues: QueueGauges {
                waiting: meter.u64_gauge("hyssop_queue_waiting").build(),
                running: meter.u64_gauge("hyssop_queue_running").build(),
                free: meter.u64_gauge("hyssop_slots_free").build(),
                ejected: meter.u64_gauge("hyssop_agents_ejected").build(),
                budget: meter.u64_gauge("hyssop_retry_budget").build(),
            },
            tokens: meter.u64_counter("hyssop_tokens").build(),
            first_token: meter.f64_histogram("hyssop_first_token_seconds").build(),
            between_tokens: meter.f64_histogram("hyssop_between_tokens_seconds").build(),
            retries: meter.u64_counter("hyssop_retries").build(),
            stages_replaced: meter.u64_counter("hyssop_stages_replaced").build(),
            layer_runs_repeated: meter.u64_counter("hyssop_layer_runs_repeated").build(),
            undecodable_records: meter.u64_counter("hyssop_log_records_undecodable").build(),
            engine_crashes: meter.u64_counter("hyssop_engine_crashes").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that a router refused.
    pub fn count_refusal(&self, cause: &str) {
        self.refusals.add(1, &[KeyValue::new("cause", cause.to_string())]);
    }

    /// Records the state of a model or plain service.
    pub fn record_gauges(&self, state: &Gauges<'_>) {
        let target = [KeyValue::new("target", state.target.to_string())];
        self.queues.waiting.record(state.waiting, &target);
        self.queues.running.record(state.running, &target);
        self.queues.free.record(state.free, &target);
        self.queues.ejected.record(state.ejected, &target);
        self.queues.budget.record(state.budget, &target);
    }

    /// Counts a request that has ended: `kind` is draft or call, `outcome` is answered or the outcome
    /// of its refusal.
    pub fn count_request(&self, kind: &'static str, outcome: &str) {
        let outcome = KeyValue::new("outcome", outcome.to_string());
        self.requests.add(1, &[KeyValue::new("kind", kind), outcome]);
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut raw = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut raw) {
            Ok(()) => String::from_utf8_lossy(&raw).into_owned(),
            Err(e) => format!("# metrics can't be shown: {e}\n"),
        }
    }
}
