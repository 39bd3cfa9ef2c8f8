//! A draft in the router: its parameters and the events of its run.

use policy::work::Cost;
use tokio::time::Instant;
use wire::frame::{Done, Token};
use wire::id;
use wire::refusal::Refusal;

use crate::admission::{Requirements, Target};

/// The parameters of a draft.
#[derive(Debug, Clone)]
pub struct Spec {
    /// The part of the request id that stays the same on all heads.
    pub unique: String,
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Model to run.
    pub model: config::fleet::Model,
    /// Text to continue.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority in the queue and at the engine.
    pub priority: u8,
    /// Hash of model and prompt.
    pub fingerprint: id::Fingerprint,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Bytes of a prompt that identify its prefix: drafts with the same prefix can share an engine's
/// cache.
const PREFIX_BYTES: usize = 256;

/// Bytes of text per token, for estimates before the engine has counted the tokens.
const BYTES_PER_TOKEN: u32 = 4;

impl Spec {
    /// What the draft requires of a model, for its admission.
    pub(crate) fn requirements(&self) -> Requirements {
        let prompt = (self.prompt.len() as u32).div_ceil(BYTES_PER_TOKEN);
        Requirements {
            target: Target::Model(self.model.name.clone()),
            workspace: self.workspace.clone(),
            priority: self.priority,
            cost: Cost { prompt, output: self.max_tokens },
            deadline: self.deadline,
            prefix: Some(policy::affinity::prefix(&self.prompt, PREFIX_BYTES)),
            keyed: false,
        }
    }
}

/// An event of a draft. In order: one `Accepted`, tokens, and one `Done` or `Refused`. A `Refused`
/// may also come first.
#[derive(Debug, Clone)]
pub enum Event {
    /// It runs under this request id; its prompt has this many tokens.
    Accepted(id::Request, u32),
    /// A token, with the request id to resume with.
    Token(id::Request, Token),
    /// It is complete.
    Done(Done),
    /// It is refused or lost.
    Refused(id::Request, Refusal),
}
