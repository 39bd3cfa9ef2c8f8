//! Queries the VMs of the fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cloud::vm::Entry;
use tokio::task::JoinSet;
use wire::frame::{Command, Frame, Settings};
use wire::link;

use crate::error::Error;
use crate::option::Common;

/// Time limit of the query of one VM. Longer than the time limit of a connection, so that a
/// short freeze of a VM is not reported as its loss.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit of closing the connections.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A VM and the result of its query.
#[derive(Debug)]
pub struct Answer {
    /// Entry of the VM list.
    pub entry: Entry,
    /// The VM's answer, or the error message.
    pub result: Result<Frame, String>,
}

/// Returns the platform's VM list.
pub async fn list(common: &Common) -> Result<Vec<Entry>, Error> {
    Ok(common.vms()?.list().await?)
}

/// Queries all listed VMs concurrently. The answers are sorted by the VMs' names.
pub async fn query_all(
    common: &Common,
    entries: Vec<Entry>,
    request: &Command,
) -> Result<Vec<Answer>, Error> {
    let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let endpoint = link::client(any, &common.tls()?)?;
    let mut tasks = JoinSet::new();
    for entry in entries {
        let (endpoint, request) = (endpoint.clone(), request.clone());
        tasks.spawn(async move {
            let result =
                match tokio::time::timeout(QUERY_TIMEOUT, exchange(&endpoint, &entry, &request))
                    .await
                {
                    Ok(answer) => answer.map_err(|e| e.to_string()),
                    Err(_) => Err(format!("no answer from {} in {QUERY_TIMEOUT:?}", entry.vm)),
                };
            Answer { entry, result }
        });
    }
    let mut answers = tasks.join_all().await;
    // If the process exited at once, the closing packets would not be sent, and each VM would
    // keep a dead connection until its idle time-out. A VM that is gone never confirms, hence
    // the time limit.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
    answers.sort_by(|a, b| a.entry.vm.cmp(&b.entry.vm));
    Ok(answers)
}

/// Returns the settings in force at each VM that answers.
pub async fn settings(common: &Common) -> Result<Vec<Settings>, Error> {
    let entries = list(common).await?;
    let answers = query_all(common, entries, &Command::Settings).await?;
    let settings = answers.into_iter().filter_map(|answer| match answer.result {
        Ok(Frame::Settings(settings)) => Some(settings),
        _ => None,
    });
    Ok(settings.collect())
}

/// Returns the text of an answer, or the error or refusal as a message.
pub fn text(result: &Result<Frame, String>) -> Result<&str, String> {
    match result {
        Ok(Frame::Text(text)) => Ok(text),
        Ok(Frame::Refused(refusal)) => Err(refusal.to_string()),
        Ok(_) => Err("unexpected kind of answer".to_string()),
        Err(e) => Err(e.clone()),
    }
}

async fn exchange(
    endpoint: &quinn::Endpoint,
    entry: &Entry,
    request: &Command,
) -> Result<Frame, link::Error> {
    let connection = link::connect(endpoint, &entry.vm, &entry.address).await?;
    let mut stream = link::open(&connection, &entry.vm, request).await?;
    stream.finish();
    let answer = stream.expect().await;
    connection.close(0u32.into(), b"done");
    answer
}
