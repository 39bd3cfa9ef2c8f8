//! Which step of a session may run now, without network or engine.
//!
//! A session runs each position once and in order. The step that ran last may be
//! asked for again and gets the kept output; anything else is refused.

use wire::frame::{Output, Step};

use wire::id;
use wire::refusal::Cause;

/// What to do with a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It ran already: answer with this.
    Replay(Output),
    /// Run it now.
    Run,
}

/// Why a step may not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Kind of reason.
    pub cause: Cause,
    /// A sentence.
    pub why: String,
}

/// How far a session has come.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sequencer {
    next: id::Position,
    last: Option<(Step, Output)>,
    broken: bool,
}

impl Sequencer {
    /// What to do with `step` of this attempt, when `newest` is the highest one seen.
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
            // A thawed head that asks on would be given output that the newer
            // attempt may contradict; it has to learn that it is replaced.
            _ if newest > attempt => {
                refused(Cause::Fenced, "a newer attempt of the request runs".into())
            }
            Some((last, output)) if last == step => Ok(Decision::Replay(output.clone())),
            _ if step.position != self.next || step.inputs.is_empty() => refused(
                Cause::Bad,
                format!("position {}, the next is {}", step.position, self.next),
            ),
            // After a lost answer the engine may have run the positions or not:
            // running them again could run a layer twice for a token.
            _ if self.broken => {
                refused(Cause::Lost, "an earlier step of the session was lost".into())
            }
            _ => Ok(Decision::Run),
        }
    }

    /// The step goes to the engine. Until its output is here the session counts as broken.
    pub fn begin(&mut self) {
        self.broken = true;
    }

    /// The engine's output of the step; an error when it is not that step's.
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
