//! A draft as the router knows it: what its caller wants, and what happens to it.

use policy::work::Cost;
use tokio::time::Instant;
use wire::frame::{Done, Token};
use wire::id;
use wire::refusal::Refusal;

use crate::admission::{Target, Want};

/// What a caller wants.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The part of the request id that stays the same.
    pub unique: String,
    /// Whose it is.
    pub workspace: id::Workspace,
    /// Model.
    pub model: config::fleet::Model,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Engine priority.
    pub priority: u8,
    /// Hash of model and prompt.
    pub fingerprint: id::Fingerprint,
    /// When the caller no longer waits.
    pub until: Instant,
}

/// Bytes of a prompt that name its prefix: drafts that share more share an engine's cache.
const PREFIX: usize = 256;

/// Bytes of text for a token, for estimates before the engine has counted them.
const TOKEN_BYTES: u32 = 4;

impl Wanted {
    /// The same as the policy sees it: how much work, for whom, until when.
    pub(crate) fn want(&self) -> Want {
        let prompt = (self.prompt.len() as u32).div_ceil(TOKEN_BYTES);
        Want {
            target: Target::Model(self.model.name.clone()),
            workspace: self.workspace.clone(),
            priority: self.priority,
            cost: Cost { prompt, output: self.max_tokens },
            until: self.until,
            prefix: Some(policy::affinity::prefix(&self.prompt, PREFIX)),
            keyed: false,
        }
    }
}

/// What happens to a draft, in order: one `Accepted`, tokens, one end. A refusal
/// may come first.
#[derive(Debug, Clone)]
pub enum Event {
    /// It runs under this request id.
    Accepted(id::Request, u32),
    /// A token, under the id to resume with.
    Token(id::Request, Token),
    /// It is complete.
    Done(Done),
    /// It is refused or lost.
    Refused(id::Request, Refusal),
}
