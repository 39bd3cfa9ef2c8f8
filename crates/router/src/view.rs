//! The router's view of the agents: the last report of each. The view only makes refusals rare; the
//! agents decide. `task` counts what this router has sent them since, and receives each report.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloud::vm::{self, Role};
use config::fleet::Model;
use node::Node;
use tokio::time::timeout;
use wire::frame::{Command, Frame, Hop, Place, Report, Stage, Watch};
use wire::id;

use crate::admission::{Admission, Message};

/// Pause before connecting to an agent again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Number of report intervals without a report after which an agent counts as down.
const MAX_SILENT_INTERVALS: u32 = 4;

/// Shortest time without a report after which an agent counts as down, so that with a short report
/// interval a busy machine is not treated as a lost VM.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// One agent, as last reported.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Its name and address.
    pub place: Place,
    /// Its data centre.
    pub data_centre: String,
    /// Its last report; `None` while it can't be reached.
    pub report: Option<Report>,
    /// True if it is leaving, by the VM list or its own report.
    pub leaving: bool,
}

/// All agents of the VM list.
#[derive(Debug)]
pub struct View {
    /// Sorted by VM.
    agents: Mutex<Vec<Agent>>,
    admission: Admission,
}

impl View {
    /// All agents that accept new work.
    pub fn usable(&self) -> Vec<Agent> {
        let agents = self.agents.lock().expect("no panic while held");
        agents.iter().filter(|a| a.report.is_some() && !a.leaving).cloned().collect()
    }

    /// True if no agent accepts new work.
    pub fn none_usable(&self) -> bool {
        self.usable().is_empty()
    }

    /// One agent, even if it is leaving or down.
    pub fn find(&self, vm: &str) -> Option<Agent> {
        let agents = self.agents.lock().expect("no panic while held");
        let i = agents.binary_search_by(|a| a.place.vm.as_str().cmp(vm)).ok()?;
        Some(agents[i].clone())
    }

    /// True if an agent can't be reached now.
    pub fn is_down(&self, vm: &str) -> bool {
        self.find(vm).is_none_or(|a| a.report.is_none())
    }

    /// Converts a chain for the link protocol. VMs that are no longer listed are left out.
    pub fn hops(&self, model: &Model, chain: &[Vec<id::Vm>]) -> Vec<Hop> {
        let hop = |(&(first, last), list): (&(u32, u32), &Vec<id::Vm>)| Hop {
            stage: Stage { model: model.name.clone(), version: model.version, first, last },
            replicas: list.iter().filter_map(|vm| Some(self.find(vm)?.place)).collect(),
        };
        model.ranges.iter().zip(chain).map(hop).collect()
    }

    fn change(&self, vm: &str, change: impl FnOnce(&mut Agent)) {
        let mut agents = self.agents.lock().expect("no panic while held");
        if let Ok(i) = agents.binary_search_by(|a| a.place.vm.as_str().cmp(vm)) {
            change(&mut agents[i]);
        }
    }

    /// Applies the VM list; returns the agents that are new in it.
    fn apply_list(&self, list: &[vm::Entry]) -> Vec<Place> {
        let mut agents = self.agents.lock().expect("no panic while held");
        let mut new = Vec::new();
        let same = |a: &Agent, e: &vm::Entry| e.vm == a.place.vm && e.address == a.place.address;
        agents.retain(|a| {
            let listed = list.iter().any(|e| same(a, e));
            if !listed {
                self.admission.send(Message::Unlisted(a.place.vm.clone()));
            }
            listed
        });
        for entry in list.iter().filter(|e| e.role == Role::Agent) {
            let leaving = entry.state == vm::State::Leaving;
            match agents.binary_search_by(|a| a.place.vm.cmp(&entry.vm)) {
                Ok(i) => {
                    let reported = agents[i].report.as_ref().is_some_and(|r| r.leaving);
                    agents[i].leaving = leaving || reported;
                }
                Err(i) => {
                    let place = Place { vm: entry.vm.clone(), address: entry.address.clone() };
                    new.push(place.clone());
                    let data_centre = entry.data_centre.clone();
                    agents.insert(i, Agent { place, data_centre, report: None, leaving });
                }
            }
        }
        new
    }

    fn apply_report(&self, mut report: Report, listed_leaving: bool) {
        let vm = report.vm.clone();
        report.leaving |= listed_leaving;
        let mut data_centre = String::new();
        self.change(&vm, |a| {
            a.leaving = report.leaving;
            a.report = Some(report.clone());
            data_centre = a.data_centre.clone();
        });
        self.admission.send(Message::Report { data_centre, report: Box::new(report) });
    }
}

/// Starts following the VM list and the agents on it.
pub fn start(node: &Arc<Node>, admission: Admission) -> Arc<View> {
    let view = Arc::new(View { agents: Mutex::default(), admission });
    tokio::spawn(follow_list(node.clone(), view.clone()));
    view
}

async fn follow_list(node: Arc<Node>, view: Arc<View>) {
    let mut vms = node.vms.clone();
    loop {
        let list = vms.borrow_and_update().clone();
        node.peers.retain(&list);
        for place in view.apply_list(&list) {
            tokio::spawn(follow_agent(node.clone(), view.clone(), place));
        }
        if vms.changed().await.is_err() {
            return;
        }
    }
}

/// Reads one agent's reports for as long as the VM list has it.
async fn follow_agent(node: Arc<Node>, view: Arc<View>, place: Place) {
    let watch = Command::Watch(Watch { vm: node.process.vm.clone() });
    while view.find(&place.vm).is_some_and(|a| a.place == place) {
        let opened = node.peers.open(&place.vm, &place.address, &watch).await;
        match opened {
            Ok(mut stream) => {
                let why = read_reports(&node, &view, &mut stream).await;
                log::warn!("view: {} is down: {why}", place.vm);
                node.peers.close(&place.vm, &place.address);
            }
            Err(e) => log::debug!("view: {e}"),
        }
        view.change(&place.vm, |a| a.report = None);
        view.admission.send(Message::Down(place.vm.clone()));
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn read_reports(node: &Node, view: &View, stream: &mut wire::link::Stream) -> String {
    loop {
        let interval = node.settings.borrow().fleet.defaults.report_interval;
        let silence = (interval * MAX_SILENT_INTERVALS).max(MIN_SILENCE);
        match timeout(silence, stream.expect()).await {
            Ok(Ok(Frame::Report(report))) => {
                let listed = node
                    .vms
                    .borrow()
                    .iter()
                    .any(|e| e.vm == report.vm && e.state == vm::State::Leaving);
                node.quarantine.merge_report(&report.suspects, &report.quarantined);
                view.apply_report(*report, listed);
            }
            Ok(Ok(_)) => return "unexpected frame".into(),
            Ok(Err(e)) => return e.to_string(),
            Err(_) => return format!("no report for {silence:?}"),
        }
    }
}
