//! Requests that end the backend servers that run them, because of their content or of a part of their prompt.
//!
//! Load pattern: each server that begins an answer to some requests ends. Either one request is sent again and again,
//! or requests that have nothing in common but one part of their prompts come from many callers, no two alike and each
//! with other parts that sound requests have as well. They arrive at any router, which sends them on to the next server
//! as it does with every request whose connection broke. Each server ends with tens of other requests, which go to the
//! next servers together with the one at fault.
//!
//! A suspect is the content of a request, or a part of its prompt that others may share; both kinds are judged by the
//! same rules. What ran on a server that has ended is a suspect until it gets past the loss: a content as soon as a run
//! of it gets past the event at which it was lost, a part as soon as any answer begins on it, for all requests that
//! have it. An answer that has begun on a part also speaks for it for the next [`PROOF_LIFETIME`], so parts that most
//! requests have are no suspects at all.
//!
//! After a loss, other routers hold the suspect back for a short time in which the router that lost it tries it again.
//! A suspect of two losses runs with no other suspect beside it, so that a third loss identifies one; after
//! [`MIN_LOSSES_TO_REFUSE`] losses it is refused. Where servers end in bulk, a loss has less weight, as has one that
//! several suspects share: then it takes more of them, and until they can be told apart none of the suspects is sent for
//! a short time. Suspects that were only lost together are refused together: a request that lacks one of them runs
//! alone, which tells them apart. All routers notify each other of losses and of what is refused. A verdict ends after
//! a time, and as soon as the suspect gets further anywhere.

mod list;
mod outbox;
mod recent;
mod record;
mod weight;

use std::time::Duration;

pub use crate::quarantine::Fingerprint;
pub use list::List;
pub use outbox::{Cleared, Lost, Refusal, Update};

/// Losses after which a suspect is refused.
pub const MIN_LOSSES_TO_REFUSE: usize = 3;

/// Losses after which a suspect runs alone.
const MIN_LOSSES_TO_SUSPECT: usize = 2;

/// Losses kept of a suspect, the latest ones. A server whose loss was dropped counts as one that ended by itself.
const MAX_LOSSES_KEPT: usize = 16;

/// Weight of losses from which on a suspect is refused: three losses, one of which may have another explanation.
const MIN_WEIGHT_TO_REFUSE: f64 = 2.5;

/// Weight of losses from which on a suspect runs alone.
const MIN_WEIGHT_TO_ISOLATE: f64 = 1.5;

/// Time for which a suspect is refused.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);

/// Shortest time for which an answer that has begun on a part speaks for it. A part that begins to end servers although
/// answers began on it before is found out after at most twice this time.
pub const PROOF_LIFETIME: Duration = Duration::from_secs(10);

/// Largest number of suspects kept.
pub const MAX_SUSPECTS: usize = 1024;

/// Largest number of ended servers kept.
const MAX_ENDED_SERVERS: usize = 512;

/// Time for which a first loss of a content is held back, as most requests get past it. A loss of a suspect is sent at
/// once.
pub const FIRST_LOSS_DELAY: Duration = Duration::from_millis(100);

/// Time after which a refusal is sent again, for routers that could not receive it.
const RESEND_INTERVAL: Duration = Duration::from_secs(4);

/// What a suspect identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Requests of one content.
    Content,
    /// Requests of one workspace that have a part in their prompts.
    Part {
        /// Hash of its id.
        id: Fingerprint,
    },
}

impl Kind {
    /// Whether it is a part.
    pub fn is_part(self) -> bool {
        matches!(self, Kind::Part { .. })
    }
}

/// A part of a prompt that other requests of the same workspace may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    /// Identifies the part in its workspace.
    pub fingerprint: Fingerprint,
    /// Hash of its id, by which other workspaces may name the same part.
    pub id: Fingerprint,
}

/// What a request can be suspected of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request<'a> {
    /// Its content.
    pub content: Fingerprint,
    /// The parts of its prompt that others may share.
    pub parts: &'a [Part],
}

impl Request<'_> {
    fn has(&self, fingerprint: Fingerprint) -> bool {
        self.content == fingerprint || self.parts.iter().any(|p| p.fingerprint == fingerprint)
    }
}

/// One start of a server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    /// Id of the server.
    pub id: String,
    /// When it started, in milliseconds of Unix time; 0 if it does not say.
    pub born: u64,
}

/// The end of a run with its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// The start of the server.
    pub start: Start,
    /// When it ended, on the clock of the list.
    pub at: Duration,
    /// Events of the answer that had been received until then, in all runs.
    pub events: u64,
}

/// What may be done with a request, from the mildest to the strictest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Send it as any other.
    Clear,
    /// Send it with no other suspect beside it.
    Alone,
    /// Hold it back, as another router is trying a suspect that it has.
    Held {
        /// Time until it may be sent.
        left: Duration,
    },
    /// Send it later: it has one of several suspects that may be at fault.
    Later {
        /// Time until it may be sent again.
        left: Duration,
    },
    /// Refuse it.
    Refused {
        /// Time until it may be sent again.
        left: Duration,
    },
}

/// A suspect as operators see it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// What it identifies.
    pub kind: Kind,
    /// Suspects that all lost requests had as well.
    pub companions: Vec<Fingerprint>,
    /// What may be done with requests that have it and its companions.
    pub verdict: Verdict,
    /// Servers that have ended while they ran it, as far as this router knows.
    pub servers: u32,
    /// The last loss whose server is known.
    pub last: Option<Loss>,
}
