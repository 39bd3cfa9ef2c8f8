//! The caller of a draft: retries after "not run", resumes through another router after a
//! broken stream, and checks every token against the expected answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::caller::{self, ANSWER_TIMEOUT, Caller, MIN_PAUSE, Problem};
use crate::model;
use crate::outcome::{Kind, Outcome, Verdict};
use crate::settings;
use crate::sse;

/// Time after which a caller starts no further attempt of a draft, whatever the answers are.
pub const MAX_DURATION: Duration = Duration::from_secs(75);

/// A draft to request.
#[derive(Debug, Clone)]
pub struct Job {
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Workspace, from 1.
    pub workspace: usize,
    /// Number of the first router; taken modulo the number of routers.
    pub router: usize,
    /// Maximum number of retries and resumes.
    pub tries: u32,
    /// Number of layers of the model.
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

/// What follows an attempt through one router.
enum Next {
    /// The stream is complete.
    Done,
    /// The draft is not running; retry after this time.
    Retry(Duration, String),
    /// The draft may still run; resume after the last token.
    Resume(Duration, String),
    /// The draft ended; a retry is useless.
    End(Verdict),
}

struct Draft<'a> {
    caller: &'a Caller,
    job: &'a Job,
    expected: Vec<engine::Token>,
    out: Outcome,
    resume_id: Option<String>,
}

/// Sends a draft and follows it to its end.
pub async fn run(caller: &Caller, job: &Job) -> Outcome {
    let (expected, positions) = model::expected_answer(job.layers, &job.prompt, job.max_tokens);
    let mut out = Outcome::new(Kind::Draft, "");
    out.positions = positions;
    out.workspace = job.workspace;
    Draft { caller, job, expected, out, resume_id: None }.run().await
}

impl Draft<'_> {
    async fn run(mut self) -> Outcome {
        let mut resume = false;
        let mut why = String::new();
        for turn in 0..=self.job.tries {
            if self.out.sent.elapsed() > MAX_DURATION {
                break;
            }
            let router = self.job.router + turn as usize;
            let (pause, reason) = match self.attempt(router, resume).await {
                Next::Done => {
                    self.out.verdict = self.judge();
                    return self.out;
                }
                Next::End(verdict) => {
                    self.out.verdict = verdict;
                    return self.out;
                }
                Next::Retry(pause, why) => {
                    resume = false;
                    self.resume_id = None;
                    self.out.retries += 1;
                    (pause, why)
                }
                Next::Resume(pause, why) => {
                    resume = true;
                    self.out.resumes += 1;
                    (pause, why)
                }
            };
            why = reason;
            tokio::time::sleep(pause).await;
        }
        self.out.verdict = match resume || self.token_count() > 0 {
            true => Verdict::Lost(format!("after {} tokens: {why}", self.token_count())),
            false => Verdict::NotRun(why),
        };
        self.out
    }

    /// Returns the number of tokens received.
    fn token_count(&self) -> usize {
        self.out.token_times.len()
    }

    fn judge(&self) -> Verdict {
        match self.token_count() == self.expected.len() {
            true => Verdict::Right,
            false => Verdict::Wrong(format!(
                "{} tokens in place of {}",
                self.token_count(),
                self.expected.len()
            )),
        }
    }

    async fn attempt(&mut self, router: usize, resume: bool) -> Next {
        let sent = match resume {
            true => self.resume_stream(router).await,
            false => self.send_prompt(router).await,
        };
        let res = match sent {
            Ok(res) => res,
            Err(e) if resume => return Next::Resume(MIN_PAUSE, e.to_string()),
            // Without a request id the caller can only send the draft again; a draft has no side effects.
            Err(e) => return Next::Retry(MIN_PAUSE, e.to_string()),
        };
        if let Some(id) = caller::header(&res, "x-request-id") {
            self.out.id = id;
        }
        match res.status().as_u16() {
            200 => self.read_stream(res).await,
            status => self.read_refusal(status, res, resume).await,
        }
    }

    async fn send_prompt(&self, router: usize) -> Result<Response<Incoming>, rest::Error> {
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

    async fn resume_stream(&self, router: usize) -> Result<Response<Incoming>, rest::Error> {
        let uri = format!("{}/v1/completions/{}", self.caller.router(router), self.out.id);
        let mut headers = vec![self.bearer()];
        headers.extend(self.resume_id.clone().map(|id| ("last-event-id", id)));
        self.caller.send("GET", &uri, &headers, Bytes::new()).await
    }

    fn bearer(&self) -> (&'static str, String) {
        ("authorization", format!("Bearer {}", settings::key(self.job.workspace)))
    }

    async fn read_refusal(&mut self, status: u16, res: Response<Incoming>, resume: bool) -> Next {
        let body = res.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        self.handle_refusal(Problem::read(status, &body), resume)
    }

    /// Decides as a well-behaved client what follows a refusal.
    fn handle_refusal(&mut self, problem: Problem, resume: bool) -> Next {
        let line = problem.line();
        let pause = problem.pause();
        self.out.refusals.push(format!("{} at {}", problem.title, problem.step));
        match problem.outcome.as_str() {
            "not-run" if self.token_count() > 0 => Next::End(Verdict::Lost(format!(
                "told not run after {} tokens: {line}",
                self.token_count()
            ))),
            "not-run" if resume => Next::Retry(pause.unwrap_or(MIN_PAUSE), line),
            "not-run" => {
                self.out.not_run.push(self.out.id.clone());
                match pause {
                    Some(pause) => Next::Retry(pause, line),
                    None => Next::End(Verdict::NotRun(line)),
                }
            }
            "unknown" if pause.is_some() && !self.out.id.is_empty() => {
                self.out.unknowns += 1;
                Next::Resume(pause.unwrap_or(MIN_PAUSE), line)
            }
            "unknown" => {
                self.out.unknowns += 1;
                Next::End(Verdict::Unknown(line))
            }
            // The router can't find the running request. Without any token the caller starts
            // again, since it loses nothing; otherwise it keeps resuming, since the fleet has
            // to deliver the rest.
            _ if resume && self.token_count() == 0 => Next::Retry(MIN_PAUSE, line),
            _ if resume => Next::Resume(pause.unwrap_or(MIN_PAUSE * 4), line),
            _ => match pause {
                Some(pause) => Next::Retry(pause, line),
                None => Next::End(Verdict::Refused(line)),
            },
        }
    }

    async fn read_stream(&mut self, res: Response<Incoming>) -> Next {
        let mut body = res.into_body();
        let mut rdr = sse::Reader::default();
        loop {
            let frame = match tokio::time::timeout(ANSWER_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Next::Resume(MIN_PAUSE, format!("stream broke: {e}")),
                Ok(None) => return Next::Resume(MIN_PAUSE, "stream ended early".to_string()),
                Err(_) => return Next::Resume(MIN_PAUSE, format!("silent for {ANSWER_TIMEOUT:?}")),
            };
            let Ok(data) = frame.into_data() else { continue };
            for event in rdr.push(&data) {
                if let Some(turn) = self.handle_event(&event) {
                    return turn;
                }
            }
        }
    }

    /// Handles an event; the end of the stream, an error or a wrong token ends the attempt.
    fn handle_event(&mut self, event: &sse::Event) -> Option<Next> {
        if event.event.as_deref() == Some("error") {
            let problem = Problem::read(0, event.data.as_bytes());
            let resume = self.token_count() > 0;
            return Some(self.handle_refusal(problem, resume));
        }
        if event.data == "[DONE]" {
            return Some(Next::Done);
        }
        let wrong = |why: String| Some(Next::End(Verdict::Wrong(why)));
        let chunk: Chunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(e) => return wrong(format!("event does not decode: {e}")),
        };
        let choice = chunk.choices.first()?;
        let id = choice.token_id?;
        let number = event.id.as_deref().and_then(|i| i.rsplit_once(':')?.1.parse::<usize>().ok());
        if number != Some(self.token_count() + 1) {
            return wrong(format!("token {number:?} after token {}", self.token_count()));
        }
        match self.expected.get(self.token_count()) {
            Some(token) if token.id == id && token.text == choice.text => {}
            other => {
                let expected = other.map(|t| t.text.as_str()).unwrap_or("the end");
                let (n, text) = (self.token_count() + 1, &choice.text);
                return wrong(format!("token {n} is '{text}' in place of '{expected}'"));
            }
        }
        self.out.token_times.push(Instant::now());
        self.resume_id = event.id.clone();
        None
    }
}
