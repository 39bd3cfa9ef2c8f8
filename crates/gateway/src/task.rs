//! Tasks that have to run as long as the process, and panics.
//!
//! A panic ends only the task in which it occurs. Without anyone to notice, the process then serves callers by what that
//! task knew last: a list of servers that is not read any more still has servers that have left.

use std::any::Any;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use futures_util::FutureExt;
use policy::restart::{History, MAX_PAUSE, MAX_SPREAD};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::state::State;

/// The task that ends too often, once there is one.
pub type Failed = watch::Sender<Option<&'static str>>;

/// Spawns a task that has to run as long as the process. If it ends, it is started again; if it ends too often,
/// [`failure`] returns.
pub fn keep<F>(state: &Rc<State>, name: &'static str, start: impl Fn(Rc<State>) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let state = state.clone();
    spawn_local(async move {
        let mut history = History::default();
        loop {
            let why = match isolated(start(state.clone())).await {
                Ok(()) => "it returned".to_owned(),
                Err(message) => message,
            };
            state.metrics.task_ended(name);
            let pause = history.record(state.now());
            log::error!("gateway: task={name} ended why={why:?} restart={pause:?}");
            if pause.is_none() {
                state.failed.send_replace(Some(name));
            }
            sleep(pause.unwrap_or(MAX_PAUSE)).await;
        }
    });
}

/// Waits until a task has ended too often and the process has to end; returns the name of the task.
pub async fn failure(state: &State) -> &'static str {
    let mut failed = state.failed.subscribe();
    let name = match failed.wait_for(Option::is_some).await {
        Ok(name) => name.unwrap_or_default(),
        Err(_) => std::future::pending().await,
    };
    let delay = MAX_SPREAD.mul_f64(rand::random());
    log::error!("gateway: stopping why=task {name} ends too often delay={delay:?}");
    sleep(delay).await;
    name
}

/// Runs `work`, and returns the message of a panic as an error.
///
/// Records are handled one by one with it, so that one of them can't keep the others from being used.
///
/// ```
/// assert_eq!(gateway::task::isolate(|| 1 + 1), Ok(2));
/// let outcome = gateway::task::isolate(|| None::<u8>.expect("a value"));
/// assert_eq!(outcome, Err("a value".to_owned()));
/// ```
pub fn isolate<T>(work: impl FnOnce() -> T) -> Result<T, String> {
    // Shared state is behind cells, whose borrows end with the panic.
    catch_unwind(AssertUnwindSafe(work)).map_err(|panic| message(&*panic))
}

/// The same for a future.
pub async fn isolated<F: Future>(work: F) -> Result<F::Output, String> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|panic| message(&*panic))
}

/// Returns the message of a panic.
fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "unknown".to_owned())
}
