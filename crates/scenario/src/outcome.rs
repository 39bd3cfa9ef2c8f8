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

/// The caller's last word on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Answered in full, and right.
    Right,
    /// Answered, but not as computed straight through; why.
    Wrong(String),
    /// Refused as not run, also after coming back.
    NotRun(String),
    /// Refused for good, such as a conflict or a quarantine.
    Refused(String),
    /// The caller was told that the outcome is unknown.
    Unknown(String),
    /// No answer, or one that broke off: accepted and lost.
    Lost(String),
}

impl Verdict {
    /// One line for a list of failures.
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

/// A request from its first sending to its end.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Kind of request.
    pub kind: Kind,
    /// Workspace, from 1; 0 when it does not count.
    pub workspace: usize,
    /// Request id of a draft's last sending, or key of an order.
    pub id: String,
    /// The end.
    pub verdict: Verdict,
    /// The script says itself how it must end; the closing invariants leave the verdict out.
    pub judged_by_script: bool,
    /// It was marked to crash engines.
    pub crash: bool,
    /// Ids under which it was told "not run".
    pub not_run: Vec<String>,
    /// How often the caller was told or had to think that an attempt may have run.
    pub unknowns: u32,
    /// When it was first sent.
    pub sent: Instant,
    /// When each token came.
    pub token_times: Vec<Instant>,
    /// Positions a draft needs in each layer: prompt and answer, without the last token.
    pub positions: u32,
    /// Times the caller went on through another router after its stream broke.
    pub resumes: u32,
    /// Times the caller sent it again.
    pub retries: u32,
    /// How long the sending that was answered took.
    pub latency: Option<Duration>,
    /// Cause and step of each refusal it was told.
    pub refusals: Vec<String>,
    /// The answer to an order, for comparing repeats.
    pub answer: Option<Vec<u8>>,
}

impl Outcome {
    /// A request just sent.
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

    /// True when answered right.
    pub fn is_right(&self) -> bool {
        self.verdict == Verdict::Right
    }

    /// From sending to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        Some(*self.token_times.first()? - self.sent)
    }

    /// Times between tokens, resumes included.
    pub fn gaps(&self) -> impl Iterator<Item = Duration> + '_ {
        self.token_times.windows(2).map(|pair| pair[1] - pair[0])
    }
}
