//! Servers that fail at once: ejection by outcomes, probing and gradual return.
//!
//! Load pattern: one of three servers of a plain service answers 500 after 2 ms while its health check is good. Its
//! short times make it look fast, so that it gets most of the traffic, and the writes that fail there can't be
//! repeated. Each of twelve to twenty-seven routers sees about one request a second of the service.
//!
//! Each outcome is a log-likelihood ratio between "the server fails nearly all requests" and "it fails as often as the
//! route usually does". The ratio of one route may be 0.14 on every server and that of another 0.004, so a failure
//! weighs 1.9 in the first and 5.4 in the second. Evidence is kept for each start of a server and each route, and
//! successes of a route only contradict failures of the same route. Routers exchange their own evidence, never the
//! sum, so that none is counted twice.
//!
//! Evidence of other routers loses weight with the number of requests that the server is expected to get from all
//! routers: if it failed, further failures would have been reported by then. Evidence of one other router alone ejects
//! for [`UNCONFIRMED_HOLD`] only, since the link of that router may be at fault.

use std::time::Duration;

use crate::crash::Start;

/// Evidence, as a log-likelihood ratio, from which on a server is ejected. Two failures suffice at a usual ratio of up
/// to 0.012, five in a row are needed at 0.14; one failure alone never suffices.
pub const EJECTION_EVIDENCE: f64 = 8.5;

/// Own evidence from which on the other routers are told: one failure of a route that seldom fails.
pub const NOTICE_EVIDENCE: f64 = 3.5;

/// Evidence with which probing begins. Two successes end it; one failure of a route that seldom fails ejects again.
const PROBING_EVIDENCE: f64 = 0.5 * EJECTION_EVIDENCE;

/// Limit on the evidence of a router whose last report this router's own requests contradicted. Together with
/// one failure of a route that seldom fails, or with [`PROBING_EVIDENCE`], it does not eject.
const DOUBTED_EVIDENCE: f64 = 0.25 * EJECTION_EVIDENCE;

/// Time for which a contradicted router is doubted.
const DOUBT_TIME: Duration = Duration::from_secs(10);

/// Length of a first ejection. It doubles with each ejection that follows within 30 s of the last one.
pub const MIN_HOLD: Duration = Duration::from_secs(3);

/// Longest ejection, without the random part.
pub const MAX_HOLD: Duration = Duration::from_secs(12);

/// Length of an ejection on the evidence of one other router alone.
pub const UNCONFIRMED_HOLD: Duration = Duration::from_millis(800);

/// Time after which earlier ejections no longer count.
const MEMORY: Duration = Duration::from_secs(30);

/// Random part of an ejection, as a ratio: the routers probe one after the other, and the first one that fails tells
/// the others.
const SPREAD: f64 = 0.5;

/// Time of probing after which a request that may not be repeated may serve as a probe, because the service may have
/// no requests of another kind.
const WRITE_PATIENCE: Duration = Duration::from_secs(4);

/// The same after an ejection on the evidence of one other router alone.
const UNCONFIRMED_WRITE_PATIENCE: Duration = Duration::from_millis(500);

/// Shortest time between two probes of one router.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which a server regains its share of requests that may be repeated, and after that of the others.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Time after a telling failure in which requests that may not be repeated go to other servers, so that the next
/// evidence comes from those that may. Three of these reach a server in that time at ten a second.
const CAUTION_TIME: Duration = Duration::from_millis(700);

/// Time without a failure after which own evidence is dropped.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(6);

/// Time for which nothing is ejected after more servers failed than may be ejected.
const COMMON_CAUSE_TIME: Duration = Duration::from_secs(3);

/// Largest ratio of a service's servers that is ejected. If more fail, the cause is elsewhere.
const MAX_EJECTED_RATIO: f64 = 0.4;

/// Failure ratio of a failing server. Lower than 1, so that one success does not clear it.
const FAILING_RATIO: f64 = 0.9;

/// Assumed usual failure ratio of a route, and how many requests it is worth: after some ten requests of its own a
/// router goes by what it saw. At 0.04, 27 routers that have just started eject servers for 0.033 of two minutes on a
/// route that fails 0.14 of the time everywhere; at 0.1, up to 23 requests instead of 15 reach a server that fails at once.
const PRIOR_RATIO: f64 = 0.07;
const PRIOR_REQUESTS: f64 = 6.0;

/// Bounds of the usual ratio. At the lower one, a single failure does not eject.
const MIN_RATIO: f64 = 0.001;
const MAX_RATIO: f64 = 0.5;

/// Limit on the requests that the usual ratio of a route goes by.
const MAX_REQUESTS: f64 = 300.0;

/// Evidence that reports of other routers lose with each request that the server is expected to get. Half of what a
/// success would take away, since reports arrive with a delay.
const DECAY_PER_REQUEST: f64 = 1.15;

/// Bounds of the evidence that reports lose in a second.
const MIN_DECAY: f64 = 1.0;
const MAX_DECAY: f64 = 20.0;

/// Window in which requests are counted to estimate their rate.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Reports that a router may send at once, and the time, for each router, in which it may send one more. If all servers
/// fail, all routers together then send some twenty a second, whose traffic fits beside the other control traffic.
const REPORT_BURST: f64 = 3.0;
const REPORT_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(50);

/// Limit on the own evidence of a route, which bounds how many successes refute it.
const MAX_EVIDENCE: f64 = 2.0 * EJECTION_EVIDENCE;

/// Limits on the routes of a service, and on the reports of other routers about a server, that are kept.
const MAX_ROUTES: usize = 64;
const MAX_REPORTS: usize = 64;

/// What is known apart from the outcomes.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Time since the start of this router.
    pub now: Duration,
    /// Number of routers that send requests to the service.
    pub routers: u32,
    /// Number of servers of the service.
    pub servers: usize,
    /// Random number between 0 and 1.
    pub random: f64,
}

/// A change of what is believed of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It is ejected.
    Ejected {
        /// For how long.
        hold: Duration,
        /// Whether own requests or several routers say that it fails.
        confirmed: bool,
    },
    /// Its probes succeeded; it regains its share.
    Returns,
    /// So many servers fail that none of them is ejected.
    CommonCause,
}

/// What follows from an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Effect {
    /// Change of the belief.
    pub change: Option<Change>,
    /// Own evidence that the other routers are told.
    pub notify: Option<f64>,
}

/// Own evidence of another router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report<'a> {
    /// The router.
    pub router: &'a str,
    /// Its evidence against the server.
    pub evidence: f64,
}

/// How a server is used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Treatment {
    /// Like any other server.
    Normal,
    /// Not at all while there are other servers.
    Avoid,
    /// The next request is a probe.
    Probe,
    /// For this ratio of the requests that it would get.
    Share(f64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Sound,
    Ejected { until: Duration, confirmed: bool },
    Returning { since: Duration },
}

/// Evidence on one route of a server.
#[derive(Debug, Clone)]
struct Evidence {
    route: String,
    score: f64,
    last_failure: Duration,
    /// Failures that the usual ratio does not contain yet.
    pending: f64,
}

/// Evidence of another router.
#[derive(Debug, Clone)]
struct Told {
    router: String,
    evidence: f64,
    at: Duration,
}

/// One start of a server.
#[derive(Debug, Clone)]
struct Server {
    start: Start,
    phase: Phase,
    own: Vec<Evidence>,
    told: Vec<Told>,
    /// Number of confirmed ejections, and when the last one ended.
    ejections: u32,
    last_end: Duration,
    last_probe: Option<Duration>,
    /// Evidence left of the ejection while it is probed.
    probing: f64,
}

impl Told {
    fn is_recent(&self, now: Duration) -> bool {
        now < self.at + EVIDENCE_RETENTION
    }
}

/// Usual failure ratio of a route.
#[derive(Debug, Clone)]
struct Usual {
    route: String,
    ratio: f64,
    requests: f64,
}

impl Usual {
    fn add(&mut self, failures: f64, successes: f64) {
        let added = failures + successes;
        let total = self.requests + added;
        self.ratio = (self.ratio * self.requests + failures) / total;
        self.requests = total.min(MAX_REQUESTS);
    }
}

/// Outcomes of one service's requests at one router.
#[derive(Debug, Clone, Default)]
pub struct Service {
    usual: Vec<Usual>,
    servers: Vec<Server>,
    window_start: Duration,
    in_window: u32,
    /// Requests of this router per second; none until the first window has passed.
    rate: Option<f64>,
    suspended_until: Duration,
    /// Reports that this router has sent of those that it may send at once, and when that was computed.
    reports_sent: (f64, Duration),
    /// Routers whose reports were refuted, and until when they are doubted.
    doubted: Vec<(String, Duration)>,
}

impl Service {
    /// Records the outcome of a request that was sent to a server.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::crash::Start;
    /// use policy::failure::{Context, Service, Treatment};
    /// let mut service = Service::default();
    /// let server = Start { id: "a".to_owned(), born: 1 };
    /// let at = |ms| Context { now: Duration::from_millis(ms), routers: 1, servers: 3, random: 0.0 };
    /// (0..3).for_each(|n| drop(service.record(&server, "write", true, at(n * 100))));
    /// assert_eq!(service.treatment(&server, false, Duration::from_millis(300)), Treatment::Avoid);
    /// // A new start has no history.
    /// let again = Start { born: 2, ..server };
    /// assert_eq!(service.treatment(&again, false, Duration::from_millis(300)), Treatment::Normal);
    /// ```
    pub fn record(&mut self, start: &Start, route: &str, failed: bool, context: Context) -> Effect {
        let now = context.now;
        self.count(now);
        let ratio = self.usual(route);
        let weight = if failed {
            (FAILING_RATIO / ratio).ln()
        } else {
            ((1.0 - FAILING_RATIO) / (1.0 - ratio)).ln()
        };
        let at = self.server_at(start);
        let server = &mut self.servers[at];
        let is_out = !matches!(server.phase, Phase::Sound);
        let evidence = server.evidence(route, now);
        evidence.score = (evidence.score + weight).clamp(0.0, MAX_EVIDENCE);
        let settled = if failed {
            evidence.last_failure = now;
            evidence.pending = (evidence.pending + 1.0).min(MAX_REQUESTS);
            None
        } else {
            // Failures belong to the usual ratio only where the server answers well in between.
            Some((std::mem::take(&mut evidence.pending), 1.0))
        };
        let own = evidence.score;
        if !failed {
            let refuted = server.contradict(-weight, now);
            refuted.into_iter().for_each(|router| self.doubt(router, now));
        }
        if let Some((failures, successes)) = settled.filter(|_| !is_out)
            && let Some(usual) = self.usual.iter_mut().find(|u| u.route == route)
        {
            usual.add(failures, successes);
        }
        let mut effect = Effect { change: self.advance(at, failed, weight, context), notify: None };
        if failed && own >= NOTICE_EVIDENCE && self.may_report(context) {
            effect.notify = Some(own);
        }
        effect
    }

    /// Applies the evidence of another router against a server.
    pub fn receive(
        &mut self,
        start: &Start,
        report: Report<'_>,
        context: Context,
    ) -> Option<Change> {
        // The text of another process is not trusted to hold a number in range.
        let evidence = Some(report.evidence).filter(|e| e.is_finite() && *e > 0.0)?;
        let evidence = evidence.min(MAX_EVIDENCE);
        let at = self.server_at(start);
        let now = context.now;
        self.doubted.retain(|(_, until)| now < *until);
        let blames =
            |s: &&Server| s.told.iter().any(|t| t.router == report.router && t.is_recent(now));
        let others = self.servers.iter().filter(|s| s.start != *start).filter(blames).count();
        // A router to which several servers seem to fail may be at fault itself.
        if others + 1 > max_ejected(context.servers) {
            self.doubt(report.router.to_owned(), now);
        }
        let is_doubted = self.doubted.iter().any(|(router, _)| router == report.router);
        let evidence = if is_doubted { evidence.min(DOUBTED_EVIDENCE) } else { evidence };
        let told = &mut self.servers[at].told;
        match told.iter_mut().find(|told| told.router == report.router) {
            Some(known) => (known.evidence, known.at) = (evidence, now),
            None => {
                if told.len() >= MAX_REPORTS {
                    let oldest = (0..told.len()).min_by_key(|i| told[*i].at)?;
                    told.swap_remove(oldest);
                }
                told.push(Told { router: report.router.to_owned(), evidence, at: now });
            }
        }
        self.advance(at, true, 0.0, context)
    }

    /// Returns how a server is used for a request; `repeatable` says that it may run more than once.
    pub fn treatment(&self, start: &Start, repeatable: bool, now: Duration) -> Treatment {
        let Some(server) = self.servers.iter().find(|s| s.start == *start) else {
            return Treatment::Normal;
        };
        match server.phase {
            Phase::Sound if !repeatable && server.is_questioned(now) => Treatment::Avoid,
            Phase::Sound => Treatment::Normal,
            Phase::Ejected { until, .. } if now < until => Treatment::Avoid,
            Phase::Ejected { until, confirmed } => {
                let patience = if confirmed { WRITE_PATIENCE } else { UNCONFIRMED_WRITE_PATIENCE };
                let rests = server.last_probe.is_some_and(|last| now < last + PROBE_INTERVAL);
                match rests || !(repeatable || now >= until + patience) {
                    true => Treatment::Avoid,
                    false => Treatment::Probe,
                }
            }
            Phase::Returning { since } => {
                let since = if repeatable { since } else { since + RETURN_TIME };
                let share = now.saturating_sub(since).div_duration_f64(RETURN_TIME);
                if share >= 1.0 { Treatment::Normal } else { Treatment::Share(share) }
            }
        }
    }

    /// Records that a probe is sent to a server.
    pub fn probe(&mut self, start: &Start, now: Duration) {
        if let Some(server) = self.servers.iter_mut().find(|s| s.start == *start) {
            server.last_probe = Some(now);
        }
    }

    /// Drops what is known of starts of servers to which `listed` does not apply.
    pub fn retain(&mut self, listed: impl Fn(&Start) -> bool) {
        self.servers.retain(|server| listed(&server.start));
    }

    /// Returns the number of servers of which something is known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether all servers are used like any other one.
    pub fn is_undisturbed(&self) -> bool {
        self.servers.iter().all(|s| s.phase == Phase::Sound)
    }

    /// Returns the usual failure ratio of a route.
    pub fn usual(&mut self, route: &str) -> f64 {
        let known = self.usual.iter().find(|u| u.route == route);
        let ratio = known.map_or(PRIOR_RATIO, |u| u.ratio);
        if known.is_none() && self.usual.len() < MAX_ROUTES {
            let (route, requests) = (route.to_owned(), PRIOR_REQUESTS);
            self.usual.push(Usual { route, ratio, requests });
        }
        ratio.clamp(MIN_RATIO, MAX_RATIO)
    }

    /// Returns the starts of servers that are ejected or are being probed.
    pub fn ejected(&self) -> impl Iterator<Item = &Start> {
        let out = self.servers.iter().filter(|s| matches!(s.phase, Phase::Ejected { .. }));
        out.map(|server| &server.start)
    }

    fn server_at(&mut self, start: &Start) -> usize {
        let at = self.servers.iter().position(|s| s.start.id == start.id);
        let fresh = Server::new(start.clone());
        match at {
            Some(at) if self.servers[at].start == *start => at,
            Some(at) => {
                self.servers[at] = fresh;
                at
            }
            None => {
                self.servers.push(fresh);
                self.servers.len() - 1
            }
        }
    }

    /// Takes one of the reports that this router may send; none is left to send while all servers fail.
    fn may_report(&mut self, context: Context) -> bool {
        let Context { now, routers, .. } = context;
        let interval = REPORT_INTERVAL_PER_ROUTER * routers.max(1);
        let (sent, at) = self.reports_sent;
        let sent = (sent - now.saturating_sub(at).div_duration_f64(interval)).max(0.0);
        let may = now >= self.suspended_until && sent + 1.0 <= REPORT_BURST;
        self.reports_sent = (if may { sent + 1.0 } else { sent }, now);
        may
    }

    fn doubt(&mut self, router: String, now: Duration) {
        self.doubted.retain(|(known, until)| now < *until && *known != router);
        if self.doubted.len() < MAX_REPORTS {
            self.doubted.push((router, now + DOUBT_TIME));
        }
    }

    fn count(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.window_start);
        if passed >= RATE_WINDOW {
            self.rate = Some(f64::from(self.in_window) / passed.as_secs_f64());
            (self.window_start, self.in_window) = (now, 0);
        }
        self.in_window += 1;
    }

    /// Returns the evidence that reports about a server lose in a second.
    fn decay(&self, context: Context) -> f64 {
        let to_server = f64::from(context.routers) / context.servers.max(1) as f64;
        // Without a rate yet, half a request per second and router is assumed.
        let rate = self.rate.unwrap_or(0.5) * to_server;
        (DECAY_PER_REQUEST * rate).clamp(MIN_DECAY, MAX_DECAY)
    }

    /// Moves a server on after an outcome of weight `weight`, or after a report of another router.
    fn advance(
        &mut self,
        at: usize,
        failed: bool,
        weight: f64,
        context: Context,
    ) -> Option<Change> {
        let (now, decay) = (context.now, self.decay(context));
        let server = &mut self.servers[at];
        match server.phase {
            Phase::Ejected { until, .. } if now < until => return None,
            Phase::Ejected { confirmed, .. } => {
                server.probing += weight;
                if server.probing <= 0.0 {
                    server.own.clear();
                    server.last_end = now;
                    // The share of a server that this router never saw fail is not reduced further.
                    server.phase =
                        if confirmed { Phase::Returning { since: now } } else { Phase::Sound };
                    return Some(Change::Returns);
                }
            }
            Phase::Returning { since } if now >= since + 2 * RETURN_TIME => {
                server.phase = Phase::Sound;
                server.probing = 0.0;
            }
            Phase::Returning { .. } if failed => server.probing = PROBING_EVIDENCE,
            Phase::Returning { .. } | Phase::Sound => {}
        }
        if !failed {
            return None;
        }
        let (slow, fast, told) = server.sums(now, decay);
        let (told_sum, routers) = told;
        let before = match server.phase {
            Phase::Ejected { .. } => PROBING_EVIDENCE,
            Phase::Returning { .. } => server.probing,
            Phase::Sound => 0.0,
        };
        // While it is probed, `probing` already contains this router's own outcomes.
        let own_alone = if matches!(server.phase, Phase::Ejected { .. }) {
            server.probing
        } else {
            before + slow
        };
        if own_alone.max(before + fast + told_sum) < EJECTION_EVIDENCE {
            return None;
        }
        if now < self.suspended_until {
            return None;
        }
        // A failed probe of one router ends the probing of all, if they had ejected the server on good evidence.
        let was_confirmed = matches!(server.phase, Phase::Ejected { confirmed: true, .. });
        let confirmed =
            was_confirmed || fast > 0.0 || own_alone >= EJECTION_EVIDENCE || routers > 1;
        let is_out = matches!(server.phase, Phase::Ejected { .. });
        let out = self.servers.iter().filter(|s| matches!(s.phase, Phase::Ejected { .. })).count();
        if out + usize::from(!is_out) > max_ejected(context.servers) {
            self.suspended_until = now + COMMON_CAUSE_TIME;
            self.servers.iter_mut().for_each(Server::clear);
            return Some(Change::CommonCause);
        }
        Some(self.servers[at].eject(confirmed, context))
    }
}

/// Returns how many of a service's servers may be ejected at once.
pub fn max_ejected(servers: usize) -> usize {
    match servers {
        0 | 1 => 0,
        n => ((n as f64 * MAX_EJECTED_RATIO) as usize).max(1),
    }
}

impl Server {
    fn new(start: Start) -> Server {
        Server {
            start,
            phase: Phase::Sound,
            own: Vec::new(),
            told: Vec::new(),
            ejections: 0,
            last_end: Duration::ZERO,
            last_probe: None,
            probing: 0.0,
        }
    }

    fn clear(&mut self) {
        self.phase = Phase::Sound;
        self.own.clear();
        self.told.clear();
        self.probing = 0.0;
    }

    fn evidence(&mut self, route: &str, now: Duration) -> &mut Evidence {
        let at = self.own.iter().position(|e| e.route == route).unwrap_or_else(|| {
            if self.own.len() >= MAX_ROUTES {
                self.own.clear();
            }
            let (route, last_failure) = (route.to_owned(), now);
            self.own.push(Evidence { route, score: 0.0, last_failure, pending: 0.0 });
            self.own.len() - 1
        });
        let evidence = &mut self.own[at];
        if now >= evidence.last_failure + EVIDENCE_RETENTION {
            evidence.score = 0.0;
        }
        evidence
    }

    /// Takes what an own success weighs from the recent reports of other routers; returns these routers.
    fn contradict(&mut self, weight: f64, now: Duration) -> Vec<String> {
        let recent = self.told.iter_mut().filter(|told| told.is_recent(now));
        let refuted = recent.map(|told| {
            told.evidence = (told.evidence - weight).max(0.0);
            told.router.clone()
        });
        refuted.collect()
    }

    /// Returns the own evidence, the own evidence as far as it is recent, and that of other routers with their number.
    fn sums(&self, now: Duration, decay: f64) -> (f64, f64, (f64, usize)) {
        let left = |evidence: f64, at: Duration| {
            // Meanwhile the server gets few requests, so that their absence tells nothing.
            let since = now.saturating_sub(at + CAUTION_TIME);
            (evidence - decay * since.as_secs_f64()).max(0.0)
        };
        let recent = self.own.iter().filter(|e| now < e.last_failure + EVIDENCE_RETENTION);
        let slow = recent.clone().map(|e| e.score).sum();
        let fast = recent.map(|e| left(e.score, e.last_failure)).sum();
        let told = self.told.iter().map(|told| left(told.evidence, told.at));
        let told: Vec<f64> = told.filter(|left| *left > 0.0).collect();
        (slow, fast, (told.iter().sum(), told.len()))
    }

    /// Whether a failure that tells much has just been seen by any router.
    fn is_questioned(&self, now: Duration) -> bool {
        let recent =
            |evidence: f64, at: Duration| evidence >= NOTICE_EVIDENCE && now < at + CAUTION_TIME;
        self.own.iter().any(|e| recent(e.score, e.last_failure))
            || self.told.iter().any(|told| recent(told.evidence, told.at))
    }

    fn eject(&mut self, confirmed: bool, context: Context) -> Change {
        let now = context.now;
        let hold = if confirmed {
            let again = self.ejections > 0 && now < self.last_end + MEMORY;
            self.ejections = if again { self.ejections + 1 } else { 1 };
            let doubled = MIN_HOLD * (1 << (self.ejections - 1).min(8));
            doubled.min(MAX_HOLD).mul_f64(1.0 + SPREAD * context.random)
        } else {
            UNCONFIRMED_HOLD
        };
        let until = now + hold;
        self.last_end = until;
        self.phase = Phase::Ejected { until, confirmed };
        self.own.clear();
        self.told.iter_mut().for_each(|told| told.evidence = 0.0);
        self.probing = PROBING_EVIDENCE;
        Change::Ejected { hold, confirmed }
    }
}
