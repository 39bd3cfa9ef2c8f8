//! The simulated loads: which requests arrive when, and which faults occur in the fleet.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Workspaces of the fleet.
pub const WORKSPACES: usize = 10;

/// Time in seconds at which arrivals and faults end; the measured window is before it.
pub const END: f64 = 110.0;

/// Start and end of the measured window in seconds.
pub const WINDOW: (f64, f64) = (20.0, 90.0);

/// Prompt steps of a draft that all drafts of its prefix share.
pub const SHARED: u32 = 6;

/// Prompt steps of its own.
pub const OWN: u32 = 2;

/// One request of a load.
#[derive(Debug, Clone)]
pub struct Request {
    pub arrival: Duration,
    pub router: usize,
    pub workspace: usize,
    pub prefix: u64,
    /// Tokens asked for.
    pub most: u32,
    /// Tokens of the answer.
    pub output: u32,
    pub deadline: Duration,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Agent 0 runs this many times slower.
    Slow(f64),
    /// Every third VM is lost.
    Lose,
    /// They come back.
    Return,
}

/// A load.
#[derive(Debug, Clone)]
pub struct Load {
    pub name: &'static str,
    /// Offered work relative to the fleet's bound at a time in seconds.
    pub offered: fn(f64) -> f64,
    /// Ratio of the requests that workspace 0 sends; the others share the rest evenly.
    pub flood: f64,
    /// Ratio of the requests that carry prefix 0.
    pub hot: f64,
    /// Ratio of the requests that ask for [`LONG`] tokens.
    pub long: f64,
    /// Age of a report when it arrives.
    pub lag: Duration,
    pub faults: &'static [(f64, Fault)],
}

/// Tokens asked for by short, medium and long requests.
pub const SHORT: u32 = 64;
const MIDDLE: u32 = 256;
pub const LONG: u32 = 1024;

const PLAIN: Load = Load {
    name: "",
    offered: |_| 0.8,
    flood: 0.1,
    hot: 0.0,
    long: 0.03,
    lag: Duration::from_millis(50),
    faults: &[],
};

/// All loads.
pub fn all() -> Vec<Load> {
    let late = Duration::from_secs(2);
    let lose = &[(40.0, Fault::Lose)];
    let back = &[(30.0, Fault::Lose), (55.0, Fault::Return)];
    let burst = |t: f64| if (40.0..45.0).contains(&t) { 4.0 } else { 0.4 };
    vec![
        Load { name: "steady 0.8x", ..PLAIN },
        Load { name: "burst 10x", offered: burst, ..PLAIN },
        Load { name: "workspace 80%", offered: |_| 1.5, flood: 0.8, ..PLAIN },
        Load { name: "prefix 80%", offered: |_| 0.9, hot: 0.8, ..PLAIN },
        Load {
            name: "one 10x slower",
            offered: |_| 0.9,
            faults: &[(25.0, Fault::Slow(10.0))],
            ..PLAIN
        },
        Load { name: "long among short", offered: |_| 1.2, long: 0.2, ..PLAIN },
        Load { name: "saturation 1.5x", offered: |_| 1.5, ..PLAIN },
        Load { name: "saturation 3x", offered: |_| 3.0, ..PLAIN },
        Load { name: "third lost", offered: |_| 0.9, faults: lose, ..PLAIN },
        Load { name: "third returns", offered: |_| 0.9, faults: back, ..PLAIN },
        Load { name: "reports 2 s late", offered: |_| 0.9, lag: late, ..PLAIN },
        Load { name: "late and 1.5x", offered: |_| 1.5, lag: late, ..PLAIN },
    ]
}

/// The load of that name.
pub fn named(name: &str) -> Load {
    all().into_iter().find(|l| l.name == name).expect("a load of that name")
}

impl Load {
    /// Its requests in order of arrival, for a fleet that can generate `bound` tokens a second.
    pub fn requests(&self, bound: f64, routers: usize, seed: u64) -> Vec<Request> {
        let mut rng = Pcg64::seed_from_u64(seed);
        let middle = 0.3;
        let short = 1.0 - self.long - middle;
        let mean = 0.7
            * (short * f64::from(SHORT) + middle * f64::from(MIDDLE) + self.long * f64::from(LONG));
        let (mut t, mut list) = (0.0, Vec::new());
        while t < END {
            let rate = bound * (self.offered)(t) / mean;
            t += -(1.0 - rng.random::<f64>()).ln() / rate;
            let workspace = match rng.random::<f64>() < self.flood {
                true => 0,
                false => rng.random_range(1..WORKSPACES),
            };
            let most = match rng.random::<f64>() {
                x if x < short => SHORT,
                x if x < short + middle => MIDDLE,
                _ => LONG,
            };
            let prefix = match rng.random::<f64>() < self.hot {
                true => 0,
                false => (workspace * 4 + rng.random_range(0..4)) as u64 + 1,
            };
            let arrival = Duration::from_secs_f64(t);
            let time = if most == LONG { 120.0 } else { 30.0 };
            list.push(Request {
                arrival,
                router: rng.random_range(0..routers),
                workspace,
                prefix,
                most,
                output: (f64::from(most) * rng.random_range(0.4..1.0)).ceil() as u32,
                deadline: arrival + Duration::from_secs_f64(time),
            });
        }
        list
    }
}
