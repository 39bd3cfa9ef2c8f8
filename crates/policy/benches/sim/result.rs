//! Figures of a simulation: what callers got.

use std::time::Duration;

use super::load::{Request, SHORT, WINDOW, WORKSPACES};

/// The end of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Open,
    Refused(Duration),
    Late,
    Good,
}

/// What callers got of one load under one policy, over the requests that arrived in [`WINDOW`].
#[derive(Debug, Clone)]
pub struct Result {
    pub variant: &'static str,
    pub load: &'static str,
    pub retries: u32,
    pub lost: u32,
    /// Time from the loss of a stage until the draft ran again, in seconds: p50, p95; and those that did.
    pub recovery: [f64; 2],
    pub recovered: f64,
    lost_at: Vec<Option<Duration>>,
    recoveries: Vec<f64>,
    pub ejections: u32,
    /// Useful tokens relative to the smaller of the bound and what was offered.
    pub share: f64,
    /// Jain index of the workspaces' results relative to their max-min fair shares.
    pub jain: f64,
    /// Requests answered before their deadline, of all.
    pub hits: f64,
    /// The same of the workspaces other than 0.
    pub others: f64,
    /// Useful tokens of each workspace, over what it offered.
    pub served: Vec<f64>,
    /// Waits of the short requests that were started, in seconds: p50, p95, p99.
    pub waits: [f64; 3],
    /// Requests refused at their arrival, of all.
    pub refused: f64,
    /// Requests refused after they had waited, of all.
    pub held: f64,
    /// Retries for each request of the whole run.
    pub retried: f64,
    /// Requests that were accepted and then missed their deadline, of all.
    pub late: f64,
    /// Ratio of the slots taken, in the window, for each range.
    pub busy: [f64; 3],
    /// Ratio of the sessions that found their prefix cached.
    pub cached: f64,
    samples: [(u32, u32); 3],
    lookups: (u32, u32),
    fates: Vec<Fate>,
    began: Vec<Option<Duration>>,
    tokens: Vec<f64>,
    bounds: Vec<(f64, f64)>,
}

impl Result {
    pub fn new(variant: &'static str, load: &'static str, requests: usize, bound: f64) -> Result {
        Result {
            variant,
            load,
            retries: 0,
            lost: 0,
            recovery: [0.0; 2],
            recovered: 0.0,
            lost_at: vec![None; requests],
            recoveries: Vec::new(),
            ejections: 0,
            share: 0.0,
            jain: 0.0,
            hits: 0.0,
            others: 0.0,
            served: Vec::new(),
            waits: [0.0; 3],
            refused: 0.0,
            held: 0.0,
            retried: 0.0,
            late: 0.0,
            busy: [0.0; 3],
            cached: 0.0,
            samples: [(0, 0); 3],
            lookups: (0, 0),
            fates: vec![Fate::Open; requests],
            began: vec![None; requests],
            tokens: vec![0.0; WORKSPACES],
            bounds: vec![(0.0, bound)],
        }
    }

    pub fn refuse(&mut self, i: usize, arrival: Duration, now: Duration) {
        self.fates[i] = Fate::Refused(now - arrival);
    }

    pub fn sampled(&mut self, now: Duration, range: usize, busy: u32, slots: u32) {
        if (WINDOW.0..WINDOW.1).contains(&now.as_secs_f64()) {
            self.samples[range].0 += busy;
            self.samples[range].1 += slots;
        }
    }

    pub fn looked_up(&mut self, hit: bool) {
        self.lookups.0 += u32::from(hit);
        self.lookups.1 += 1;
    }

    pub fn lost(&mut self, i: usize, now: Duration) {
        self.lost += 1;
        self.lost_at[i] = Some(now);
    }

    pub fn began(&mut self, i: usize, now: Duration) {
        if let Some(lost) = self.lost_at[i].take() {
            self.recoveries.push((now - lost).as_secs_f64());
        }
        self.began[i].get_or_insert(now);
    }

    pub fn ended(
        &mut self,
        i: usize,
        requests: &[Request],
        began: Duration,
        now: Duration,
        good: bool,
    ) {
        self.fates[i] = if good { Fate::Good } else { Fate::Late };
        let (a, b) = (began.as_secs_f64(), now.as_secs_f64());
        let inside = (b.min(WINDOW.1) - a.max(WINDOW.0)).max(0.0) / (b - a).max(1e-9);
        if good {
            self.tokens[requests[i].workspace] +=
                f64::from(requests[i].output + super::load::OWN) * inside;
        }
    }

    pub fn bound_changed(&mut self, at: f64, bound: f64) {
        self.bounds.push((at, bound));
    }

    /// Calculates the figures.
    pub fn finish(&mut self, requests: &[Request]) {
        let inside = |r: &Request| (WINDOW.0..WINDOW.1).contains(&r.arrival.as_secs_f64());
        let all: Vec<usize> = (0..requests.len()).filter(|&i| inside(&requests[i])).collect();
        let n = all.len().max(1) as f64;
        let count = |by: &dyn Fn(&Fate) -> bool| {
            all.iter().filter(|&&i| by(&self.fates[i])).count() as f64 / n
        };
        self.hits = count(&|f| *f == Fate::Good);
        self.refused = count(&|f| matches!(f, Fate::Refused(t) if t.is_zero()));
        self.held = count(&|f| matches!(f, Fate::Refused(t) if !t.is_zero()));
        let others: Vec<usize> =
            all.iter().copied().filter(|&i| requests[i].workspace > 0).collect();
        let good = others.iter().filter(|&&i| self.fates[i] == Fate::Good).count();
        self.others = good as f64 / others.len().max(1) as f64;
        self.late = count(&|f| *f == Fate::Late);
        let mut waits = Vec::new();
        let mut offered = vec![0.0; WORKSPACES];
        for &i in &all {
            let r = &requests[i];
            offered[r.workspace] += f64::from(r.output + super::load::OWN);
            if let (true, Some(began)) = (r.most == SHORT, self.began[i]) {
                waits.push((began - r.arrival).as_secs_f64());
            }
        }
        self.waits = [0.5, 0.95, 0.99].map(|q| quantile(&mut waits, q));
        self.recovered = self.recoveries.len() as f64 / f64::from(self.lost.max(1));
        self.recovery = [0.5, 0.95].map(|q| quantile(&mut self.recoveries, q));
        self.busy = self.samples.map(|(busy, slots)| f64::from(busy) / f64::from(slots));
        self.cached = f64::from(self.lookups.0) / f64::from(self.lookups.1.max(1));
        self.retried = f64::from(self.retries) / requests.len() as f64;
        let total: f64 = self.tokens.iter().sum();
        self.share = total / self.capacity().min(offered.iter().sum());
        self.served = self.tokens.iter().zip(&offered).map(|(t, o)| t / o.max(1.0)).collect();
        let fair = max_min(&offered, total);
        self.jain = jain(self.tokens.iter().zip(&fair).map(|(t, f)| t / f.max(1.0)));
    }

    /// Useful tokens that the bound allows in the window.
    fn capacity(&self) -> f64 {
        let ends = self.bounds.iter().skip(1).map(|b| b.0).chain([f64::INFINITY]);
        let inside = |from: f64, to: f64| (to.min(WINDOW.1) - from.max(WINDOW.0)).max(0.0);
        self.bounds.iter().zip(ends).map(|(b, end)| b.1 * inside(b.0, end)).sum()
    }
}

fn quantile(list: &mut [f64], q: f64) -> f64 {
    list.sort_by(f64::total_cmp);
    let at = ((list.len() as f64 * q) as usize).min(list.len().saturating_sub(1));
    list.get(at).copied().unwrap_or(0.0)
}

/// Max-min fair shares of `total` for these demands.
fn max_min(demands: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let (mut left, mut shares) = (total, vec![0.0; demands.len()]);
    for (done, &i) in order.iter().enumerate() {
        shares[i] = demands[i].min(left / (demands.len() - done) as f64);
        left -= shares[i];
    }
    shares
}

fn jain(list: impl Iterator<Item = f64>) -> f64 {
    let (n, sum, squares) = list.fold((0.0, 0.0, 0.0), |(n, s, q), x| (n + 1.0, s + x, q + x * x));
    if squares > 0.0 { sum * sum / (n * squares) } else { 0.0 }
}
