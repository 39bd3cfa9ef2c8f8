//! A scratch folder to run the binary in, and stand-ins for the platform.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;

use fake::serve::{self, Server};
use tokio::process::Command;

/// Exit code and output of a run of the binary.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// A scratch folder that is removed on drop.
#[derive(Debug)]
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(name: &str) -> Scratch {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Scratch(folder)
    }

    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).unwrap();
    }

    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.0.join(name)).unwrap()
    }

    /// Runs the binary in the folder.
    pub async fn run(&self, args: &[&str]) -> Run {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopctl"));
        let output = command.current_dir(&self.0).args(args).output().await.unwrap();
        Run {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address with any free port.
pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Starts a stand-in of the log service.
pub fn log() -> Server {
    let options = fake::log::Options { rate: 400, retain: 1000 };
    fake::log::start(serve::bind(any()).unwrap(), options).unwrap()
}

/// Sets a fault at a stand-in.
pub async fn control<T: serde::Serialize>(url: &str, fault: &T) {
    let http = rest::Client::new(url, std::time::Duration::from_secs(5));
    let _: serde_json::Value = http.post("/~fake/control", fault).await.unwrap();
}
