//! Operators' actions with `hyssopctl`.

use std::process::Output;

use serde::Deserialize;

use super::Fleet;

/// Name in the operators' certificate.
pub const OPERATOR: &str = "operator";

impl Fleet {
    /// Publishes fleet settings as an operator does; `base` is the version on which they are
    /// based, by default the one in force.
    pub async fn publish(
        &self,
        author: &str,
        text: &str,
        reason: &str,
        base: Option<u64>,
    ) -> Result<String, String> {
        let file = format!("fleet-{author}.ini");
        std::fs::write(self.dir.join(&file), text).map_err(|e| format!("{file}: {e}"))?;
        let args = ["publish", &file, "--author", author, "--reason", reason];
        let mut args: Vec<String> = args.iter().map(|a| a.to_string()).collect();
        args.extend(base.map(|base| format!("--base={base}")));
        self.ctl(&args).await
    }

    /// Runs `hyssopctl` and returns its output.
    pub async fn ctl(&self, args: &[String]) -> Result<String, String> {
        let done = self.run_ctl(args).await?;
        match done.status.success() {
            true => Ok(String::from_utf8_lossy(&done.stdout).to_string()),
            false => {
                let stderr = String::from_utf8_lossy(&done.stderr);
                Err(format!("hyssopctl {}: {}: {}", args[0], done.status, stderr.trim()))
            }
        }
    }

    async fn run_ctl(&self, args: &[String]) -> Result<Output, String> {
        let platform = ["--log", &self.platform.log, "--vms", &self.platform.vms];
        tokio::process::Command::new(self.programs.path("hyssopctl"))
            .args(platform)
            .args(["--tls", ".", "--as", OPERATOR])
            .args(args)
            .current_dir(&self.dir)
            .kill_on_drop(true)
            .output()
            .await
            .map_err(|e| format!("hyssopctl: {e}"))
    }

    /// Returns the version of the settings in force on each VM, from `hyssopctl status`; `None`
    /// for a VM that does not answer.
    pub async fn versions(&self) -> Result<Vec<(String, Option<u64>)>, String> {
        #[derive(Deserialize)]
        struct Row {
            vm: String,
            version: Option<u64>,
        }
        let args = ["status", "--json"].map(str::to_string);
        // With a killed VM the exit code is 3; the output still lists the other VMs.
        let done = self.run_ctl(&args).await?;
        let rows: Vec<Row> = serde_json::from_slice(&done.stdout).map_err(|e| {
            format!("hyssopctl status: {e}: {}", String::from_utf8_lossy(&done.stderr).trim())
        })?;
        Ok(rows.into_iter().map(|row| (row.vm, row.version)).collect())
    }
}
