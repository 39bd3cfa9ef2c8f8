//! A draft's caller: comes back after "not run", goes on through another router
//! after a broken stream, and checks every token against the straight-through answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::caller::{self, Caller, PATIENCE, PAUSE, Problem};
use crate::model;
use crate::outcome::{Kind, Outcome, Verdict};
use crate::settings;
use crate::sse;

/// A caller gives up on a draft after this, whatever the fleet says.
pub const GIVE_UP: Duration = Duration::from_secs(75);

/// What a caller asks.
#[derive(Debug, Clone)]
pub struct Job {
    /// Text.
    pub prompt: String,
    /// Tokens at most.
    pub max_tokens: u32,
    /// Workspace, from 1.
    pub workspace: usize,
    /// Router it starts with; any number.
    pub router: usize,
    /// Times it may come back or go on.
    pub tries: u32,
    /// Layers of the model.
    pub layers: u32,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    token_id: Option<u64>,
}

/// What one exchange with a router led to.
enum Turn {
    /// The stream came to its end.
    Done,
    /// Nothing runs; come back after this time.
    Again(Duration, String),
    /// It may still run; go on after the last token.
    Resume(Duration, String),
    /// No use in coming back.
    End(Verdict),
}

struct Draft<'a> {
    caller: &'a Caller,
    job: &'a Job,
    expected: Vec<engine::Token>,
    out: Outcome,
    resume_id: Option<String>,
}

/// Sends the draft and stays with it to its end.
pub async fn run(caller: &Caller, job: &Job) -> Outcome {
    let (expected, positions) = model::expected_answer(job.layers, &job.prompt, job.max_tokens);
    let mut out = Outcome::new(Kind::Draft, "");
    out.positions = positions;
    out.workspace = job.workspace;
    Draft { caller, job, expected, out, resume_id: None }.play().await
}

impl Draft<'_> {
    async fn play(mut self) -> Outcome {
        let mut resume = false;
        let mut why = String::new();
        for turn in 0..=self.job.tries {
            if self.out.sent.elapsed() > GIVE_UP {
                break;
            }
            let router = self.job.router + turn as usize;
            let (pause, reason) = match self.turn(router, resume).await {
                Turn::Done => {
                    self.out.verdict = self.judge();
                    return self.out;
                }
                Turn::End(verdict) => {
                    self.out.verdict = verdict;
                    return self.out;
                }
                Turn::Again(pause, why) => {
                    resume = false;
                    self.resume_id = None;
                    self.out.comebacks += 1;
                    (pause, why)
                }
                Turn::Resume(pause, why) => {
                    resume = true;
                    self.out.resumes += 1;
                    (pause, why)
                }
            };
            why = reason;
            tokio::time::sleep(pause).await;
        }
        self.out.verdict = match resume || self.got() > 0 {
            true => Verdict::Lost(format!("after {} tokens: {why}", self.got())),
            false => Verdict::NotRun(why),
        };
        self.out
    }

    /// Tokens the caller has.
    fn got(&self) -> usize {
        self.out.times.len()
    }

    fn judge(&self) -> Verdict {
        match self.got() == self.expected.len() {
            true => Verdict::Right,
            false => {
                Verdict::Wrong(format!("{} tokens in place of {}", self.got(), self.expected.len()))
            }
        }
    }

    async fn turn(&mut self, router: usize, resume: bool) -> Turn {
        let sent = match resume {
            true => self.ask_again(router).await,
            false => self.ask(router).await,
        };
        let res = match sent {
            Ok(res) => res,
            Err(e) if resume => return Turn::Resume(PAUSE, e.to_string()),
            // Without a request id the caller can only send a draft anew; it writes nothing.
            Err(e) => return Turn::Again(PAUSE, e.to_string()),
        };
        if let Some(id) = caller::header(&res, "x-request-id") {
            self.out.id = id;
        }
        match res.status().as_u16() {
            200 => self.read(res).await,
            status => self.refused(status, res, resume).await,
        }
    }

    async fn ask(&self, router: usize) -> Result<Response<Incoming>, rest::Error> {
        let body = serde_json::json!({
            "model": model::NAME,
            "prompt": self.job.prompt,
            "max_tokens": self.job.max_tokens,
            "stream": true,
        });
        let uri = format!("{}/v1/completions", self.caller.router(router));
        let headers = [self.bearer(), ("content-type", "application/json".to_string())];
        self.caller.send("POST", &uri, &headers, Bytes::from(body.to_string())).await
    }

    async fn ask_again(&self, router: usize) -> Result<Response<Incoming>, rest::Error> {
        let uri = format!("{}/v1/completions/{}", self.caller.router(router), self.out.id);
        let mut headers = vec![self.bearer()];
        headers.extend(self.resume_id.clone().map(|id| ("last-event-id", id)));
        self.caller.send("GET", &uri, &headers, Bytes::new()).await
    }

    fn bearer(&self) -> (&'static str, String) {
        ("authorization", format!("Bearer {}", settings::key(self.job.workspace)))
    }

    async fn refused(&mut self, status: u16, res: Response<Incoming>, resume: bool) -> Turn {
        let body = res.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        self.problem(Problem::read(status, &body), resume)
    }

    /// What a good client makes of a refusal.
    fn problem(&mut self, problem: Problem, resume: bool) -> Turn {
        let line = problem.line();
        let pause = problem.pause();
        self.out.told.push(format!("{} at {}", problem.title, problem.step));
        match problem.outcome.as_str() {
            "not-run" if self.got() > 0 => Turn::End(Verdict::Lost(format!(
                "told not run after {} tokens: {line}",
                self.got()
            ))),
            "not-run" if resume => Turn::Again(pause.unwrap_or(PAUSE), line),
            "not-run" => {
                self.out.not_run.push(self.out.id.clone());
                match pause {
                    Some(pause) => Turn::Again(pause, line),
                    None => Turn::End(Verdict::NotRun(line)),
                }
            }
            "unknown" if pause.is_some() && !self.out.id.is_empty() => {
                self.out.doubts += 1;
                Turn::Resume(pause.unwrap_or(PAUSE), line)
            }
            "unknown" => {
                self.out.doubts += 1;
                Turn::End(Verdict::Unknown(line))
            }
            // The router can't find the running request: nothing the caller has is lost
            // when no token came yet; else it keeps asking, since the fleet owes the rest.
            _ if resume && self.got() == 0 => Turn::Again(PAUSE, line),
            _ if resume => Turn::Resume(pause.unwrap_or(PAUSE * 4), line),
            _ => match pause {
                Some(pause) => Turn::Again(pause, line),
                None => Turn::End(Verdict::Refused(line)),
            },
        }
    }

    async fn read(&mut self, res: Response<Incoming>) -> Turn {
        let mut body = res.into_body();
        let mut rdr = sse::Reader::default();
        loop {
            let frame = match tokio::time::timeout(PATIENCE, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Turn::Resume(PAUSE, format!("stream broke: {e}")),
                Ok(None) => return Turn::Resume(PAUSE, "stream ended early".to_string()),
                Err(_) => return Turn::Resume(PAUSE, format!("silent for {PATIENCE:?}")),
            };
            let Ok(data) = frame.into_data() else { continue };
            for event in rdr.push(&data) {
                if let Some(turn) = self.take(&event) {
                    return turn;
                }
            }
        }
    }

    /// Takes one event; an end of the stream or a fault ends the exchange.
    fn take(&mut self, event: &sse::Event) -> Option<Turn> {
        if event.event.as_deref() == Some("error") {
            let problem = Problem::read(0, event.data.as_bytes());
            let resume = self.got() > 0;
            return Some(self.problem(problem, resume));
        }
        if event.data == "[DONE]" {
            return Some(Turn::Done);
        }
        let wrong = |why: String| Some(Turn::End(Verdict::Wrong(why)));
        let chunk: Chunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(e) => return wrong(format!("event does not decode: {e}")),
        };
        let choice = chunk.choices.first()?;
        let id = choice.token_id?;
        let number = event.id.as_deref().and_then(|i| i.rsplit_once(':')?.1.parse::<usize>().ok());
        if number != Some(self.got() + 1) {
            return wrong(format!("token {number:?} after token {}", self.got()));
        }
        match self.expected.get(self.got()) {
            Some(token) if token.id == id && token.text == choice.text => {}
            other => {
                let expected = other.map(|t| t.text.as_str()).unwrap_or("the end");
                let (n, text) = (self.got() + 1, &choice.text);
                return wrong(format!("token {n} is '{text}' in place of '{expected}'"));
            }
        }
        self.out.times.push(Instant::now());
        self.resume_id = event.id.clone();
        None
    }
}
