//! Metrics: OpenTelemetry counters and histograms, exported as Prometheus text.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use policy::availability::{Obstacle, Use};
use policy::failure::Change;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::admission::{self, metrics::Instruments};
use crate::answer::Reason;
use crate::crash;
use crate::failing;
use crate::limited;
use crate::peer::Peer;
use crate::retries;
use crate::shared_read;
use crate::state::State;
use crate::store::Log;

/// The instruments of a gateway, which docs/OPERATIONS.md explains to operators.
#[derive(Debug)]
pub struct Metrics {
    /// Those of requests to models, by rank.
    pub admission: Instruments,
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    events: Counter<u64>,
    late_events: Counter<u64>,
    tasks_ended: Counter<u64>,
    answer_time: Histogram<f64>,
    first_event: Histogram<f64>,
    record_delay: Histogram<f64>,
}

/// Upper bounds of the buckets of delays of records, in seconds: finer than the time within which changes have to be in
/// force, so that a near miss shows.
const DELAY_BUCKETS: [f64; 12] = [0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 3.0, 5.0];

impl Metrics {
    /// Creates the instruments, all at zero.
    pub fn new() -> Result<Metrics, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| e.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("gateway");
        let seconds = |name: &'static str, what: &'static str| {
            meter.f64_histogram(name).with_unit("s").with_description(what).build()
        };
        Ok(Metrics {
            admission: Instruments::new(&meter),
            answers: meter
                .u64_counter("hyssop_answers")
                .with_description("Answers by status")
                .build(),
            refusals: meter
                .u64_counter("hyssop_refusals")
                .with_description("Own answers by reason")
                .build(),
            events: meter
                .u64_counter("hyssop_happenings")
                .with_description("What happened, by kind")
                .build(),
            late_events: meter
                .u64_counter("hyssop_late_events")
                .with_description("Events after too long a pause, by what held them up")
                .build(),
            tasks_ended: meter
                .u64_counter("hyssop_tasks_ended")
                .with_description("Ends of tasks that have to run as long as the process")
                .build(),
            answer_time: seconds("hyssop_answer_time", "Time to the head of an answer"),
            first_event: seconds(
                "hyssop_first_event",
                "Time from sending to a stream's first event",
            ),
            record_delay: meter
                .f64_histogram("hyssop_record_delay")
                .with_unit("s")
                .with_description("Longest time since records were written when they were applied")
                .with_boundaries(DELAY_BUCKETS.to_vec())
                .build(),
            registry,
            _provider: provider,
        })
    }

    fn event(&self, kind: &'static str) {
        self.events.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an answer to a caller, and records its time.
    pub fn answered(&self, status: StatusCode, took: Duration) {
        self.answers.add(1, &[KeyValue::new("status", i64::from(status.as_u16()))]);
        self.answer_time.record(took.as_secs_f64(), &[]);
    }

    /// Counts a request that was refused before it was sent anywhere.
    pub fn refused(&self, reason: Reason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.to_string())]);
    }

    /// Records the time to the first event of a stream.
    pub fn first_event(&self, took: Duration) {
        self.first_event.record(took.as_secs_f64(), &[]);
    }

    /// Records the longest time for which records of a log may have been in the store when this router applied them.
    pub fn record_delay(&self, log: Log, delay: Duration) {
        self.record_delay.record(delay.as_secs_f64(), &[KeyValue::new("log", log.to_string())]);
    }

    /// Counts a stream that was delivered completely.
    pub fn stream_complete(&self, _took: Duration) {
        self.event("stream_complete");
    }

    /// Counts an event that came after more than its route's longest pause.
    pub fn late_event(&self, why: &'static str) {
        self.late_events.add(1, &[KeyValue::new("why", why)]);
    }

    /// Counts a stream that was cut off.
    pub fn stream_cut(&self) {
        self.event("stream_cut");
    }

    /// Counts the end of a task that has to run as long as the process.
    pub fn task_ended(&self, name: &'static str) {
        self.tasks_ended.add(1, &[KeyValue::new("task", name)]);
    }

    /// Counts a caller that closed its connection.
    pub fn caller_left(&self) {
        self.event("caller_left");
    }

    /// Counts a connection that was closed before its request was read.
    pub fn turned_away(&self) {
        self.event("turned_away");
    }

    /// Counts an answer that did not come in time.
    pub fn answer_late(&self) {
        self.event("late");
    }

    /// Counts a retry that was not sent because the budget is used up.
    pub fn budget_empty(&self) {
        self.event("retry_budget_empty");
    }

    /// Counts a broken connection over which a request ran, by whether its server has `ended`.
    pub fn run_broken(&self, ended: bool) {
        self.event(if ended { "run_on_ended_server" } else { "run_broken" });
    }

    /// Counts a suspicion of a server.
    pub fn suspected(&self) {
        self.event("server_suspected");
    }

    /// Counts a report that shows that a server has become slow, or has recovered.
    pub fn slowdown_found(&self, slow: bool) {
        self.event(if slow { "server_slow" } else { "server_recovered" });
    }

    /// Counts a probe of a server that may have become slow or recovered.
    pub fn slowness_probed(&self) {
        self.event("slowness_probe");
    }

    /// Counts a stream that was moved off slow servers.
    pub fn stream_moved(&self) {
        self.event("stream_moved");
    }

    /// Counts a call to the store that failed.
    pub fn store_failed(&self) {
        self.event("store_call_failed");
    }

    /// Counts a source that gave no usable answer.
    pub fn source_lost(&self) {
        self.event("source_lost");
    }

    /// Counts a received entry of a server that is older than the known one.
    pub fn old_entry(&self) {
        self.event("old_entry");
    }

    /// Counts a record of the store that can't be used.
    pub fn invalid_record(&self, log: Log) {
        self.event(match log {
            Log::Settings => "invalid_settings",
            Log::Servers => "invalid_entry",
            Log::Orders | Log::Notices => "invalid_notice",
        });
    }

    /// Counts a difference between the list of servers here and that of the source router.
    pub fn list_differs(&self) {
        self.event("list_differs");
    }

    /// Counts a change of the limit that a server sets.
    pub fn limit_named(&self) {
        self.event("limit_named");
    }

    /// Counts an answer in which a server asks for a backoff.
    pub fn backoff_asked(&self) {
        self.event("backoff_asked");
    }

    /// Counts a request that was not sent to a server that was chosen for it, as the server asked for a backoff meanwhile.
    pub fn withheld(&self) {
        self.event("request_withheld");
    }

    /// Counts a change of the belief that a server fails.
    pub fn failing_changed(&self, change: Option<Change>) {
        match change {
            None => {}
            Some(Change::Ejected { confirmed: true, .. }) => self.event("server_ejected"),
            Some(Change::Ejected { confirmed: false, .. }) => {
                self.event("server_ejected_by_report");
            }
            Some(Change::Returns) => self.event("server_returns"),
            Some(Change::CommonCause) => self.event("most_servers_fail"),
        }
    }

    /// Counts an order to a server to hold layers.
    pub fn ordered(&self) {
        self.event("order");
    }

    /// Returns all metrics as Prometheus text.
    pub fn page(&self, state: &State) -> String {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("gateway: metrics can't be encoded: {e}");
        }
        let version = state.settings().map_or(0, |s| s.version);
        let mut text = String::from_utf8_lossy(&text).into_owned();
        text.push_str(&format!(
            "hyssop_settings_version {version}\nhyssop_servers {}\nhyssop_serving {}\nhyssop_callers {}\nhyssop_routers {}\n",
            state.peers().len(), state.serving.get(), state.callers.get(), state.routers()
        ));
        let is_reader = u8::from(shared_read::is_reader(state));
        text.push_str(&format!("hyssop_reads_for_others {is_reader}\n"));
        text.push_str(&limited::page(state));
        text.push_str(&admission::page(state));
        text.push_str(&availability_page(state));
        text.push_str(&failing::page(state));
        text.push_str(&retries::page(state));
        text.push_str(&crash::page(state));
        let restores = state.store.restores();
        let rejected = state.store.rejected_eras();
        text.push_str(&format!(
            "hyssop_store_restores_total {restores}\nhyssop_store_odd_eras_total {rejected}\n"
        ));
        for (kind, calls) in state.store.call_counts() {
            text.push_str(&format!("hyssop_store_calls_total{{kind=\"{kind}\"}} {calls}\n"));
        }
        for ((kind, why), calls) in state.store.fault_counts() {
            text.push_str(&format!(
                "hyssop_store_calls_failed_total{{kind=\"{kind}\",why=\"{why}\"}} {calls}\n"
            ));
        }
        let is_leader = u8::from(state.is_leader.get());
        let idle = state.tenure.borrow().idle(state.now()).as_secs_f64();
        text.push_str(&format!(
            "hyssop_gives_orders {is_leader}\nhyssop_seat_idle_seconds {idle:.1}\n"
        ));
        text
    }
}

/// Returns the metrics text: remaining backoffs of servers, and servers that said they are leaving.
fn availability_page(state: &State) -> String {
    let now = state.now();
    let line = |peer: Rc<Peer>| {
        let id = &peer.server().id;
        match peer.obstacle(Use::Direct, now)? {
            Obstacle::Leaving => Some(format!("hyssop_server_leaving{{server=\"{id}\"}} 1\n")),
            Obstacle::Backoff | Obstacle::Return => {
                let left = peer.backoff_end(now).map_or(0.0, |end| (end - now).as_secs_f64());
                Some(format!("hyssop_server_backoff_seconds{{server=\"{id}\"}} {left:.1}\n"))
            }
        }
    };
    state.peers().into_iter().filter_map(line).collect()
}
