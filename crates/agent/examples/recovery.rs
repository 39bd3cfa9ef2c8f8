//! Measures three ways of recovering a lost stage, with stand-in engines.
//!
//! `cargo run --release -p agent --example recovery` prints, for a short and a long prompt, the
//! time from the loss of the middle range to the next token, the number of repeated layer runs,
//! and the cost of each way while nothing fails.

use std::time::{Duration, Instant};

use engine::{Client, Session, Step};
use fake::engine::Options;
use fake::serve::{self, Server};

/// Layers of a range; there are three ranges.
const LAYERS: u32 = 4;

/// Number of positions between two exports of the state.
const EXPORT_EVERY: u32 = 16;

/// Tokens generated before the loss.
const GENERATED: u32 = 30;

/// Runs of each way, of which the median is printed.
const RUNS: usize = 15;

/// A draft in progress: sessions at three engines and the inputs of each.
struct Draft {
    engines: Vec<Client>,
    names: Vec<String>,
    kept: Vec<Vec<u64>>,
    next: u64,
}

fn engine(range: u32) -> (Server, Client) {
    let options = Options {
        model: "draft".into(),
        version: 1,
        layers: 3 * LAYERS,
        first: range * LAYERS,
        last: (range + 1) * LAYERS - 1,
        slots: 64,
        batch: 16,
        step_us: 2000,
        token_us: 50,
        checks_fence: true,
        load_lag_ms: 0,
        prefix_cache: 0,
        weights: None,
        knows: Vec::new(),
    };
    let listener = serve::bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let server = fake::engine::start(listener, options).expect("it starts");
    (server, Client::new(&format!("http://{address}"), Duration::from_secs(10)))
}

async fn open(client: &Client, name: &str) {
    let session = Session { session: name.into(), priority: 5, tag: String::new() };
    client.open(&session).await.expect("it opens");
}

impl Draft {
    async fn start(engines: &[Client], name: &str) -> Draft {
        let names: Vec<String> = (0..3).map(|i| format!("{name}.{i}")).collect();
        for (client, name) in engines.iter().zip(&names) {
            open(client, name).await;
        }
        Draft { engines: engines.to_vec(), names, kept: vec![Vec::new(); 3], next: 0 }
    }

    /// Runs the ranges from `first` on and records their inputs.
    async fn run(&mut self, first: usize, mut inputs: Vec<u64>) {
        for i in first..3 {
            let position = self.kept[i].len() as u32;
            let step = Step { position, inputs: inputs.clone() };
            let out = self.engines[i].step(&self.names[i], &step).await.expect("it runs");
            self.kept[i].extend(inputs);
            inputs = out.outputs;
            self.next = out.token.map_or(self.next, |t| t.id);
        }
    }
}

/// Returns a draft that has lost its middle range after some tokens, and the last export of the
/// range.
async fn lost(engines: &[Client], name: &str, prompt: u32) -> (Draft, engine::Kv, Duration) {
    let mut draft = Draft::start(engines, name).await;
    draft.run(0, (0..u64::from(prompt)).collect()).await;
    let mut kv = None;
    let mut exporting = Duration::ZERO;
    for i in 0..GENERATED {
        if i % EXPORT_EVERY == 0 {
            let begun = Instant::now();
            kv = Some(engines[1].export(&draft.names[1]).await.expect("it exports"));
            exporting += begun.elapsed();
        }
        draft.run(0, vec![draft.next]).await;
    }
    (draft, kv.expect("one export"), exporting)
}

/// Recovers in one of three ways: 0 is replay, 1 is import, 2 is a new attempt. Returns the time
/// to the next token and the number of repeated layer runs.
async fn recover(
    way: usize,
    draft: &mut Draft,
    kv: &engine::Kv,
    spare: &Client,
) -> (Duration, u32) {
    let begun = Instant::now();
    let all = draft.kept[1].clone();
    let repeated = match way {
        0 | 1 => {
            let name = format!("{}.again", draft.names[1]);
            open(spare, &name).await;
            let from = if way == 1 { kv.position as usize } else { 0 };
            if way == 1 {
                spare.import(&name, kv).await.expect("it imports");
            }
            let step = Step { position: from as u32, inputs: all[from..].to_vec() };
            spare.step(&name, &step).await.expect("it replays");
            (draft.engines[1], draft.names[1]) = (spare.clone(), name);
            (all.len() - from) as u32 * LAYERS
        }
        _ => {
            let inputs = draft.kept[0].clone();
            let mut engines = draft.engines.clone();
            engines[1] = spare.clone();
            *draft = Draft::start(&engines, &format!("{}.new", draft.names[0])).await;
            draft.run(0, inputs).await;
            all.len() as u32 * 3 * LAYERS
        }
    };
    draft.run(0, vec![draft.next]).await;
    (begun.elapsed(), repeated)
}

#[tokio::main]
async fn main() {
    let held: Vec<(Server, Client)> = [0, 1, 2, 1].into_iter().map(engine).collect();
    let engines: Vec<Client> = held[..3].iter().map(|h| h.1.clone()).collect();
    for prompt in [12, 1000] {
        for (way, name) in
            ["replay of kept inputs", "state import", "new attempt"].iter().enumerate()
        {
            let mut times = Vec::new();
            let mut runs = 0;
            let mut cost = Duration::ZERO;
            let mut bytes = 0;
            for n in 0..RUNS {
                let id = format!("{prompt}-{way}-{n}");
                let (mut draft, kv, exporting) = lost(&engines, &id, prompt).await;
                let (time, repeated) = recover(way, &mut draft, &kv, &held[3].1).await;
                times.push(time);
                (runs, cost) = (repeated, if way == 1 { exporting } else { Duration::ZERO });
                bytes = kv.state.len() * 8;
                for (_, client) in &held {
                    client.cancel_all().await.expect("it cancels");
                }
            }
            times.sort_unstable();
            let (median, max) = (times[RUNS / 2].as_micros(), times[RUNS - 1].as_micros());
            println!(
                "prompt {prompt}: {name}: next token after {median} us (max {max} us), {runs} layer \
                 runs repeated, exports took {} us before, state {bytes} bytes",
                cost.as_micros()
            );
        }
    }
}
