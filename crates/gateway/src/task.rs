//! Panics of the code that handles what other processes have written.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

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

/// Returns the message of a panic.
pub(crate) fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "unknown".to_owned())
}
