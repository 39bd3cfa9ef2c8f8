//! Settings of a process.

use std::path::Path;

use config::process::{self, Kind};
use rstest::rstest;

const AGENT: &str = "
[process]
vm = gpu-1
data-centre = almaty-a
listen = 127.0.1.1:7000
http = 127.0.1.1:8000
[tls]
authority = ca.pem
certificate = gpu-1.pem
key = gpu-1.key
[platform]
log = http://127.0.0.1:9000
vms = http://127.0.0.1:9001
weights = http://127.0.0.1:9002
[backend]                 ; agents only
kind = service filing
address = http://127.0.0.1:9100
slots = 32
";

#[test]
fn agent_settings_are_read() {
    let process = process::parse("agent.ini", AGENT).unwrap();
    assert_eq!(process.log_level, process::LOG_LEVEL);
    assert_eq!(process.tls.key, Path::new("gpu-1.key"));
    let backend = process.backend.unwrap();
    assert_eq!(backend.kind, Kind::Service("filing".into()));
    assert_eq!(backend.slots, 32);
}

#[rstest]
#[case("vm = gpu-1", "", "process", "vm")]
#[case("vm = gpu-1", "vm = GPU", "process", "vm")]
#[case("127.0.1.1:7000", "gpu-1:7000", "process", "listen")]
#[case("[tls]", "log-level = loud\n[tls]", "process", "log-level")]
#[case("[tls]", "disk = big\n[tls]", "process", "disk")]
#[case("key = gpu-1.key", "key =", "tls", "key")]
#[case("http://127.0.0.1:9000", "https://127.0.0.1:9000", "platform", "log")]
#[case("http://127.0.0.1:9002", "http://127.0.0.1:9002/x", "platform", "weights")]
#[case("service filing", "service", "backend", "kind")]
#[case("slots = 32", "slots = 0", "backend", "slots")]
#[case("slots = 32", "slots = 32\nslots = 33", "backend", "slots")]
#[case("[backend]", "[back]\nx = 1\n[backend]", "back", "")]
fn each_invalid_setting_gives_a_fault(
    #[case] old: &str,
    #[case] new: &str,
    #[case] section: &str,
    #[case] key: &str,
) {
    let faults = process::parse("agent.ini", &AGENT.replace(old, new)).unwrap_err();
    let found: Vec<_> = faults.list.iter().map(|f| (f.section.as_str(), f.key.as_str())).collect();
    assert_eq!(found, [(section, key)], "{faults}");
}

#[test]
fn each_missing_section_is_a_fault() {
    let faults = process::parse("agent.ini", "").unwrap_err();
    let found: Vec<_> = faults.list.iter().map(|f| f.section.as_str()).collect();
    assert_eq!(found, ["process", "tls", "platform"]);
}
