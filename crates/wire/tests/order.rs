//! Decisions on who loads a lost range, by many readers of one stream.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::frame::Stage;
use wire::order::{CLAIM_VALIDITY, Claim, LogRecord, filter_valid};

/// Number of seeds.
const SEEDS: u64 = 2000;

fn stage(i: u32) -> Stage {
    Stage { model: "draft".into(), version: 1, first: i * 4, last: i * 4 + 3 }
}

/// Returns claims of six agents for three gaps at random times, with one long pause.
fn stream(rng: &mut Pcg64) -> Vec<LogRecord> {
    let mut time_ms = 0;
    let pause = rng.random_range(5..25);
    let record = |offset: u64| {
        time_ms += rng.random_range(0..4000);
        if offset == pause {
            time_ms += CLAIM_VALIDITY.as_millis() as u64;
        }
        let from = rng.random_bool(0.3).then(|| stage(rng.random_range(3..5)));
        let vm = format!("gpu-{}", rng.random_range(0..6));
        let claim =
            Claim { id: offset.to_string(), vm, stage: stage(rng.random_range(0..3)), from };
        LogRecord { offset, time_ms, claim }
    };
    (0..30).map(record).collect()
}

/// All spare engines find a gap at the same time and claim it. If two loaded it, none would be
/// left for the next gap; if two engines were taken from one range, that range would lose its
/// replicas.
#[test]
fn one_claim_counts_for_each_gap_and_donor() {
    for seed in 0..SEEDS {
        let found = filter_valid(stream(&mut Pcg64::seed_from_u64(seed)));
        for (i, new) in found.iter().enumerate() {
            for old in &found[..i] {
                let recent = new.time_ms - old.time_ms < CLAIM_VALIDITY.as_millis() as u64;
                let (a, b) = (&old.claim, &new.claim);
                let clash =
                    a.stage == b.stage || a.vm == b.vm || a.from.is_some() && a.from == b.from;
                assert!(!(recent && clash), "seed {seed}: {old:?} and {new:?}");
                assert!(old.offset < new.offset, "seed {seed}: fencing numbers must rise");
            }
        }
    }
}

/// A reader that starts late does not read expired claims. If it decided differently on later
/// ones, two agents would both treat their claim as the first.
#[test]
fn readers_agree_after_a_pause() {
    for seed in 0..SEEDS {
        let all = stream(&mut Pcg64::seed_from_u64(seed));
        let hold = CLAIM_VALIDITY.as_millis() as u64;
        let pause = all.windows(2).rposition(|w| w[1].time_ms - w[0].time_ms >= hold).unwrap() + 1;
        let recent = |found: Vec<LogRecord>| -> Vec<u64> {
            found.iter().map(|p| p.offset).filter(|o| *o >= pause as u64).collect()
        };
        let whole = recent(filter_valid(all.clone()));
        for first in 0..=pause {
            assert_eq!(
                recent(filter_valid(all[first..].to_vec())),
                whole,
                "seed {seed} from {first}"
            );
        }
    }
}
