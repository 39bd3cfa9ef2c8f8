//! Notices that one router sends to the others, by gossip and through the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use layers::Span;
use policy::census::{Demand, Report};
use policy::crash::Start;
use serde::{Deserialize, Serialize};

use crate::admission;
use crate::crash;
use crate::departure;
use crate::failing;
use crate::limited;
use crate::peer::Peer;
use crate::probe;
use crate::retries;
use crate::slowness;
use crate::state::State;
use crate::store::Log;
use crate::task::isolate;

/// A notice to the other routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// A server does not answer.
    Silent {
        /// The server.
        server: String,
    },
    /// A server declined a request: it is leaving, or releases layers.
    Declines {
        /// The server.
        server: String,
    },
    /// A server is leaving, although the list of servers does not say so yet.
    Leaving {
        /// The server.
        server: String,
        /// When it had started, in milliseconds of Unix time.
        born: u64,
        /// For how long it is believed to be leaving, in milliseconds.
        hold_ms: u64,
        /// Whether it has said so itself. It then holds as long as the server runs.
        #[serde(default)]
        stated: bool,
    },
    /// A server broke a run although it is alive.
    Broke {
        /// The server.
        server: String,
    },
    /// A server answers requests of a router with errors.
    Failing {
        /// The router.
        router: String,
        /// The server.
        server: String,
        /// When it had started, in milliseconds of Unix time.
        born: u64,
        /// The router's own evidence, in hundredths of a natural logarithm of the likelihood ratio.
        evidence_percent: u64,
    },
    /// A server is slower than others of its kind.
    Slow {
        /// The server.
        server: String,
        /// Factor on the time of its steps, in percent.
        percent: u32,
    },
    /// How full the memory for requests is on servers, and which servers are slow.
    Filled {
        /// Servers and the fraction of their memory that is taken, in percent.
        servers: Vec<(String, u8)>,
        /// All servers that are slow, and the factor on the time of their steps, in percent.
        #[serde(default)]
        slow: Vec<(String, u32)>,
    },
    /// A server sets another limit for all routers together, or none any more.
    Limit {
        /// The server.
        server: String,
        /// Thousandths of a request per second.
        per_s_milli: Option<u64>,
    },
    /// A router uses much of its share of the retry budget.
    Heavy {
        /// When, by its wall clock, in milliseconds of Unix time.
        at_ms: u64,
    },
    /// A server has ended.
    Ended {
        /// The server.
        server: String,
        /// When it had started, in milliseconds of Unix time.
        born: u64,
        /// Milliseconds since it ended.
        ago_ms: u64,
        /// Contents of requests that ran there, and the number of events received of each.
        runs: Vec<(String, u64)>,
        /// Suspected parts of the prompts of these requests, and hashes of their ids.
        #[serde(default)]
        parts: Vec<Vec<String>>,
    },
    /// Requests whose former servers ended made progress on others.
    Cleared {
        /// Contents of the requests, and parts of their prompts.
        contents: Vec<String>,
        /// Whether the requests were refused.
        refused: bool,
    },
    /// Requests are refused because servers ended while they ran them.
    Refused {
        /// Content of the requests, or a part of their prompts.
        content: String,
        /// Hash of the part's id, if it is a part.
        #[serde(default)]
        part: Option<String>,
        /// Other contents and parts that all lost requests had. Requests that lack one of them are not refused.
        #[serde(default)]
        companions: Vec<String>,
        /// Until when, by the wall clock in milliseconds of Unix time.
        until_ms: u64,
        /// Number of servers that ended.
        servers: u32,
    },
    /// What demand for a model a router sees, in tokens a second. Its field names are short, as each router receives up
    /// to 30 of these notices a second.
    Demand {
        /// The router.
        #[serde(rename = "r")]
        router: String,
        /// Its data centre.
        #[serde(rename = "d")]
        data_centre: String,
        /// The model's service.
        #[serde(rename = "s")]
        service: String,
        /// Rank, what arrived and what was refused.
        #[serde(rename = "k")]
        ranks: Vec<(u8, u64, u64)>,
        /// The workspaces with the highest demand.
        #[serde(rename = "w")]
        workspaces: Vec<(String, u64)>,
    },
    /// A server holds layers now.
    Holds {
        /// The server.
        server: String,
        /// First layer.
        from: u32,
        /// One past the last layer.
        to: u32,
    },
}

impl Notice {
    /// Creates the notice of the demand that a router sees.
    pub fn demand(router: String, service: String, report: &Report) -> Notice {
        let rank = |d: &Demand| (d.rank, d.arrived.round() as u64, d.refused.round() as u64);
        let workspace = |(name, tokens): &(String, f64)| (name.clone(), tokens.round() as u64);
        Notice::Demand {
            router,
            data_centre: report.data_centre.clone(),
            service,
            ranks: report.ranks.iter().map(rank).collect(),
            workspaces: report.workspaces.iter().map(workspace).collect(),
        }
    }

    /// Encodes the notice as a record.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("plain fields"))
    }

    /// Whether the notice is also written to the store, for routers that start when no other one is left.
    pub fn is_durable(&self) -> bool {
        matches!(
            self,
            Notice::Heavy { .. } | Notice::Refused { .. } | Notice::Cleared { refused: true, .. }
        )
    }

    /// Whether the notice is out of date within seconds, so that the store isn't worth a call for it.
    pub fn is_transient(&self) -> bool {
        matches!(self, Notice::Demand { .. })
    }

    /// Decodes a record; returns none if it is of another kind or version.
    pub fn decode(record: &[u8]) -> Option<Notice> {
        serde_json::from_slice(record).ok()
    }
}

/// Time for which a notice need not be announced again.
const DUPLICATE_WINDOW: Duration = Duration::from_millis(1500);

/// Whether another router has just announced the same.
pub fn was_announced(state: &State, notice: &Notice) -> bool {
    match notice {
        Notice::Silent { server } => state.peer(server).is_some_and(|p| {
            p.reported_silent.get().is_some_and(|at| state.now() < at + DUPLICATE_WINDOW)
        }),
        _ => false,
    }
}

/// Replays the notices from before the start of this process, the oldest first. The load of servers is announced again
/// each second, and the last notice about it and about limits holds; a server that said it is leaving still is; one that
/// was silent or held layers may have changed since.
pub fn replay(state: &Rc<State>, earlier: &[Notice]) {
    for notice in earlier {
        match notice {
            Notice::Filled { .. } => {
                // Each notice names all servers that were slow at its time.
                state.peers().iter().for_each(|peer| peer.slowdown.set(1.0));
                receive(state, notice);
            }
            Notice::Limit { .. }
            | Notice::Refused { .. }
            | Notice::Cleared { .. }
            | Notice::Leaving { stated: true, .. } => {
                receive(state, notice);
            }
            Notice::Heavy { at_ms } => retries::replay_heavy_use(state, *at_ms),
            _ => {}
        }
    }
}

/// Applies a notice of another router. One that can't be applied costs no other one.
pub fn receive(state: &Rc<State>, notice: &Notice) {
    if let Err(why) = isolate(|| apply(state, notice)) {
        state.metrics.invalid_record(Log::Notices);
        log::error!("gateway: notice not applied why=panic: {why:?}");
    }
}

fn apply(state: &Rc<State>, notice: &Notice) {
    let now = state.now();
    match notice {
        Notice::Silent { server } => {
            if let Some(peer) = state.peer(server) {
                peer.reported_silent.set(Some(now));
            }
            if let Some(peer) = state.peer(server).filter(|p| is_report_accepted(p, now)) {
                peer.record_failure(now);
                if state.is_leader.get() {
                    probe::verify(state, &peer);
                }
                state.server_suspected.notify_waiters();
                log::info!("gateway: server={server} suspect=true why=reported by another router");
            }
        }
        Notice::Declines { server } => {
            if let Some(peer) = state.peer(server) {
                peer.declines.borrow_mut().record_report(now);
            }
            return;
        }
        Notice::Leaving { server, born, hold_ms, stated } => {
            let hold = Duration::from_millis(*hold_ms);
            departure::receive(state, server, *born, hold, *stated);
        }
        Notice::Broke { server } => {
            if let Some(peer) = state.peer(server) {
                peer.record_break(now);
            }
            return;
        }
        Notice::Failing { router, server, born, evidence_percent } => {
            return failing::receive(state, router, server, *born, *evidence_percent);
        }
        Notice::Slow { server, percent } => {
            slowness::receive(state, server, *percent);
        }
        Notice::Filled { servers, slow } => {
            for (server, percent) in servers {
                if let Some(peer) = state.peer(server) {
                    peer.filled.set(Some((f64::from(*percent) / 100.0, now)));
                }
            }
            for (server, percent) in slow {
                slowness::receive(state, server, *percent);
            }
            return;
        }
        Notice::Limit { server, per_s_milli } => {
            if let Some(peer) = state.peer(server) {
                limited::receive(state, &peer, *per_s_milli);
            }
            return;
        }
        Notice::Demand { router, data_centre, service, ranks, workspaces } => {
            let rank = |&(rank, arrived, refused): &(u8, u64, u64)| Demand {
                rank,
                arrived: arrived as f64,
                refused: refused as f64,
            };
            let workspace = |(name, tokens): &(String, u64)| (name.clone(), *tokens as f64);
            let report = Report {
                data_centre: data_centre.clone(),
                ranks: ranks.iter().map(rank).collect(),
                workspaces: workspaces.iter().map(workspace).collect(),
            };
            return admission::receive(state, router, service, report);
        }
        Notice::Heavy { .. } => return retries::receive_heavy_use(state),
        Notice::Ended { server, born, ago_ms, runs, parts } => {
            let start = Start { id: server.clone(), born: *born };
            let ago = Duration::from_millis(*ago_ms);
            return crash::receive_losses(state, &start, ago, runs, parts);
        }
        Notice::Cleared { contents, .. } => return crash::receive_cleared(state, contents),
        Notice::Refused { content, part, companions, until_ms, servers } => {
            let suspect = (content.as_str(), part.as_deref());
            return crash::receive_refusal(state, suspect, companions, *until_ms, *servers);
        }
        Notice::Holds { server, from, to } => {
            if let Some(peer) = state.peer(server) {
                peer.record_span(Span::new(*from, *to), now);
            }
        }
    }
    state.changed.notify_waiters();
}

/// Whether to accept another router's report that a server is silent. A router with requests of its own on that server
/// ignores it: it would detect the failure as soon, and the other router may be the one that is cut off.
fn is_report_accepted(peer: &Peer, now: Duration) -> bool {
    !peer.suspicion.borrow().holds(now) && peer.running.get() == 0
}
