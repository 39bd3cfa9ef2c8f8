//! Options that the commands share.

use std::path::PathBuf;
use std::time::Duration;

use crate::error::Error;

/// How long a call to the platform may take.
const CALL: Duration = Duration::from_secs(5);

/// Whom to ask, and as whom. Each command names those it needs.
#[derive(Debug, clap::Args)]
pub struct Common {
    /// The platform's log service, http://IP:PORT.
    #[arg(long, global = true, env = "HYSSOPCTL_LOG", value_name = "URL")]
    log: Option<String>,
    /// The platform's VM list, http://IP:PORT.
    #[arg(long, global = true, env = "HYSSOPCTL_VMS", value_name = "URL")]
    vms: Option<String>,
    /// Folder with ca.pem and NAME.pem, NAME.key.
    #[arg(long, global = true, env = "HYSSOPCTL_TLS", value_name = "DIR")]
    tls: Option<PathBuf>,
    /// Name whose certificate is shown to the VMs.
    #[arg(long = "as", global = true, env = "HYSSOPCTL_AS", value_name = "NAME")]
    name: Option<String>,
    /// Print JSON for programs.
    #[arg(long, global = true)]
    pub json: bool,
}

impl Common {
    /// Client of the log service.
    pub fn log(&self) -> Result<cloud::log::Client, Error> {
        let url = self.log.as_ref().ok_or_else(|| missing("--log URL"))?;
        Ok(cloud::log::Client::new(url, CALL))
    }

    /// Client of the VM list.
    pub fn vms(&self) -> Result<cloud::vm::Client, Error> {
        let url = self.vms.as_ref().ok_or_else(|| missing("--vms URL"))?;
        Ok(cloud::vm::Client::new(url, CALL))
    }

    /// Certificates for the links to the VMs.
    pub fn tls(&self) -> Result<wire::tls::Config, Error> {
        let folder = self.tls.as_ref().ok_or_else(|| missing("--tls DIR"))?;
        let name = self.name.as_ref().ok_or_else(|| missing("--as NAME"))?;
        let file = |ending: &str| folder.join(format!("{name}.{ending}"));
        Ok(wire::tls::load(&folder.join("ca.pem"), &file("pem"), &file("key"))?)
    }

    /// True when the VMs can be asked.
    pub fn has_peers(&self) -> bool {
        self.vms.is_some() && self.tls.is_some() && self.name.is_some()
    }
}

fn missing(option: &str) -> Error {
    Error::Usage(format!("this command needs {option}; see hyssopctl help"))
}
