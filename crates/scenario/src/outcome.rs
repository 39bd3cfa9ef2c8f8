//! How a request ended for its caller.

use std::time::{Duration, Instant};

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A draft of the model.
    Draft,
    /// A read of the plain service.
    Lookup,
    /// A non-idempotent write to the plain service.
    Order,
}

/// The final result of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Answered completely and correctly.
    Right,
    /// Answered, but not with the expected answer; the reason.
    Wrong(String),
    /// Refused as not run, after all retries.
    NotRun(String),
    /// Refused permanently, for example because of a conflict or a quarantine.
    Refused(String),
    /// Ended with a reply that the outcome is unknown.
    Unknown(String),
    /// Accepted and lost: no answer, or an incomplete one.
    Lost(String),
}

impl Verdict {
    /// Returns a line for a list of failures.
    ///
    /// ```
    /// use scenario::outcome::Verdict;
    /// assert_eq!(Verdict::Unknown("502".into()).line(), "unknown, 502");
    /// ```
    pub fn line(&self) -> String {
        match self {
            Verdict::Right => "right".to_string(),
            Verdict::Wrong(why) => format!("wrong, {why}"),
            Verdict::NotRun(why) => format!("not run, {why}"),
            Verdict::Refused(why) => format!("refused, {why}"),
            Verdict::Unknown(why) => format!("unknown, {why}"),
            Verdict::Lost(why) => format!("lost, {why}"),
        }
    }
}

/// A request from its first attempt to its end.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Kind of request.
    pub kind: Kind,
    /// Workspace, from 1; 0 if it is not counted per workspace.
    pub workspace: usize,
    /// Request id of a draft's last attempt, or key of an order or look-up.
    pub id: String,
    /// The final result.
    pub verdict: Verdict,
    /// True if the script itself checks how the request ends; the final invariants then ignore the verdict.
    pub judged_by_script: bool,
    /// True if the request crashes engines.
    pub crash: bool,
    /// Request ids of the attempts refused as "not run".
    pub not_run: Vec<String>,
    /// Number of attempts that may have run, according to the reply or for lack of one.
    pub unknowns: u32,
    /// Time of the first attempt.
    pub sent: Instant,
    /// Time of arrival of each token.
    pub token_times: Vec<Instant>,
    /// Positions that a draft needs in each layer: prompt and answer without the last token.
    pub positions: u32,
    /// Number of times that the caller resumed through another router after its stream broke.
    pub resumes: u32,
    /// Number of times that the caller sent the request again.
    pub retries: u32,
    /// Duration of the attempt that was answered.
    pub latency: Option<Duration>,
    /// Title and step of each refusal that the caller received.
    pub refusals: Vec<String>,
    /// Answer to an order, to compare with that of a retry.
    pub answer: Option<Vec<u8>>,
}

impl Outcome {
    /// Creates the outcome of a request that was just sent.
    ///
    /// ```
    /// use scenario::outcome::{Kind, Outcome, Verdict};
    /// assert!(matches!(Outcome::new(Kind::Draft, "a").verdict, Verdict::Lost(_)));
    /// ```
    pub fn new(kind: Kind, id: &str) -> Outcome {
        Outcome {
            kind,
            workspace: 0,
            id: id.to_string(),
            verdict: Verdict::Lost("never answered".to_string()),
            judged_by_script: false,
            crash: false,
            not_run: Vec::new(),
            unknowns: 0,
            sent: Instant::now(),
            token_times: Vec::new(),
            positions: 0,
            resumes: 0,
            retries: 0,
            refusals: Vec::new(),
            latency: None,
            answer: None,
        }
    }

    /// Returns true if the answer is right.
    pub fn is_right(&self) -> bool {
        self.verdict == Verdict::Right
    }

    /// Returns the time from the first attempt to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        Some(*self.token_times.first()? - self.sent)
    }

    /// Returns the times between consecutive tokens, including those across resumes.
    pub fn gaps(&self) -> impl Iterator<Item = Duration> + '_ {
        self.token_times.windows(2).map(|pair| pair[1] - pair[0])
    }
}
