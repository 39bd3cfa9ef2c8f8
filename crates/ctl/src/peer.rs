//! Asks the fleet's VMs.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cloud::vm::Entry;
use tokio::task::JoinSet;
use wire::frame::{Command, Frame, Settings};
use wire::link;

use crate::error::Error;
use crate::option::Common;

/// How long one VM may take to answer. Longer than a connection may take, so that a short
/// freeze of a VM is not reported as its loss.
const ANSWER: Duration = Duration::from_secs(3);

/// How long the connections may take to close.
const CLOSE: Duration = Duration::from_millis(500);

/// One VM and what it said, or why it did not.
#[derive(Debug)]
pub struct Answer {
    /// The VM as it is listed.
    pub entry: Entry,
    /// Its answer.
    pub tell: Result<Frame, String>,
}

/// VMs of the platform's list.
pub async fn list(common: &Common) -> Result<Vec<Entry>, Error> {
    Ok(common.vms()?.list().await?)
}

/// Asks all of them at the same time. The answers come in the order of the VMs' names.
pub async fn ask(
    common: &Common,
    entries: Vec<Entry>,
    ask: &Command,
) -> Result<Vec<Answer>, Error> {
    let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let endpoint = link::client(any, &common.tls()?)?;
    let mut tasks = JoinSet::new();
    for entry in entries {
        let (endpoint, ask) = (endpoint.clone(), ask.clone());
        tasks.spawn(async move {
            let tell = match tokio::time::timeout(ANSWER, exchange(&endpoint, &entry, &ask)).await {
                Ok(done) => done.map_err(|e| e.to_string()),
                Err(_) => Err(format!("no answer from {} in {ANSWER:?}", entry.vm)),
            };
            Answer { entry, tell }
        });
    }
    let mut answers = tasks.join_all().await;
    // A process that ends at once takes the closing packets with it, and each VM then keeps
    // a dead connection until its idle timeout. A VM that is gone never confirms, hence the limit.
    let _ = tokio::time::timeout(CLOSE, endpoint.wait_idle()).await;
    answers.sort_by(|a, b| a.entry.vm.cmp(&b.entry.vm));
    Ok(answers)
}

/// Settings in force at each VM that answers.
pub async fn settings(common: &Common) -> Result<Vec<Settings>, Error> {
    let entries = list(common).await?;
    let answers = ask(common, entries, &Command::Settings).await?;
    let told = answers.into_iter().filter_map(|answer| match answer.tell {
        Ok(Frame::Settings(settings)) => Some(settings),
        _ => None,
    });
    Ok(told.collect())
}

/// The text of an answer.
pub fn text(tell: &Result<Frame, String>) -> Result<&str, String> {
    match tell {
        Ok(Frame::Text(text)) => Ok(text),
        Ok(Frame::Refused(refusal)) => Err(refusal.to_string()),
        Ok(_) => Err("an answer of another kind".to_string()),
        Err(e) => Err(e.clone()),
    }
}

async fn exchange(
    endpoint: &quinn::Endpoint,
    entry: &Entry,
    ask: &Command,
) -> Result<Frame, link::Error> {
    let connection = link::connect(endpoint, &entry.vm, &entry.address).await?;
    let mut stream = link::open(&connection, &entry.vm, ask).await?;
    stream.finish();
    let tell = stream.expect().await;
    connection.close(0u32.into(), b"done");
    tell
}
