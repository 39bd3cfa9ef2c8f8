//! Decides which step of a session may run, as a state machine without network or engine.
//!
//! A session runs each position once and in order. A retry of the last step gets the kept output;
//! any other step out of order is refused.

use wire::frame::{Output, Step};

use wire::id;
use wire::refusal::Cause;

/// What to do with a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It has run already: answer with this output.
    Replay(Output),
    /// Run it now.
    Run,
}

/// Why a step may not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Category of the reason.
    pub cause: Cause,
    /// The reason, as a sentence.
    pub why: String,
}

/// Position and last step of a session.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sequencer {
    next: id::Position,
    last: Option<(Step, Output)>,
    broken: bool,
}

impl Sequencer {
    /// Returns what to do with a `step` of `attempt` when `newest` is the highest attempt seen.
    ///
    /// ```
    /// use agent::sequencer::{Decision, Sequencer};
    /// use wire::frame::Step;
    /// use wire::refusal::Cause;
    /// let sequencer = Sequencer::default();
    /// let step = Step { position: 0, inputs: vec![7] };
    /// assert_eq!(sequencer.check(&step, 1, 1), Ok(Decision::Run));
    /// assert_eq!(sequencer.check(&step, 1, 2).unwrap_err().cause, Cause::Fenced);
    /// ```
    pub fn check(
        &self,
        step: &Step,
        attempt: id::Attempt,
        newest: id::Attempt,
    ) -> Result<Decision, Refused> {
        let refused = |cause, why: String| Err(Refused { cause, why });
        match &self.last {
            // A head that was frozen and resumes would get output that the newer attempt may
            // contradict. The refusal tells it that it has been replaced.
            _ if newest > attempt => {
                refused(Cause::Fenced, "a newer attempt of the request runs".into())
            }
            Some((last, output)) if last == step => Ok(Decision::Replay(output.clone())),
            _ if step.position != self.next || step.inputs.is_empty() => refused(
                Cause::Bad,
                format!("position {}, the next is {}", step.position, self.next),
            ),
            // After a lost answer the engine may have run the positions or not. Running them
            // again could run a layer twice for a token.
            _ if self.broken => {
                refused(Cause::Lost, "an earlier step of the session was lost".into())
            }
            _ => Ok(Decision::Run),
        }
    }

    /// Records that a step is sent to the engine. The session counts as broken until its output
    /// arrives.
    pub fn begin(&mut self) {
        self.broken = true;
    }

    /// Records the engine's output of a step. Returns an error if the output is not that of the
    /// step.
    pub fn done(&mut self, step: Step, output: Output) -> Result<(), Refused> {
        if output.outputs.len() != step.inputs.len() || output.position != step.position {
            let why = format!("{} outputs for {} inputs", output.outputs.len(), step.inputs.len());
            return Err(Refused { cause: Cause::Lost, why });
        }
        self.broken = false;
        self.next += step.inputs.len() as id::Position;
        self.last = Some((step, output));
        Ok(())
    }
}
