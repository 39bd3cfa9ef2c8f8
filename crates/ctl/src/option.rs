//! Options shared by the commands.

use std::path::PathBuf;
use std::time::Duration;

use crate::error::Error;

/// Time limit of a call to the platform's log service or VM list.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses of services and identity of the operator. Each command needs some of them.
#[derive(Debug, clap::Args)]
pub struct Common {
    /// Log service of the platform, http://IP:PORT.
    #[arg(long, global = true, env = "HYSSOPCTL_LOG", value_name = "URL")]
    log: Option<String>,
    /// VM list of the platform, http://IP:PORT.
    #[arg(long, global = true, env = "HYSSOPCTL_VMS", value_name = "URL")]
    vms: Option<String>,
    /// Folder with ca.pem, NAME.pem and NAME.key.
    #[arg(long, global = true, env = "HYSSOPCTL_TLS", value_name = "DIR")]
    tls: Option<PathBuf>,
    /// Name of the certificate to present to the VMs.
    #[arg(long = "as", global = true, env = "HYSSOPCTL_AS", value_name = "NAME")]
    name: Option<String>,
    /// Print JSON, for use by programs.
    #[arg(long, global = true)]
    pub json: bool,
}

impl Common {
    /// Returns a client of the log service.
    pub fn log(&self) -> Result<cloud::log::Client, Error> {
        let url = self.log.as_ref().ok_or_else(|| missing("--log URL"))?;
        Ok(cloud::log::Client::new(url, CALL_TIMEOUT))
    }

    /// Returns a client of the VM list.
    pub fn vms(&self) -> Result<cloud::vm::Client, Error> {
        let url = self.vms.as_ref().ok_or_else(|| missing("--vms URL"))?;
        Ok(cloud::vm::Client::new(url, CALL_TIMEOUT))
    }

    /// Loads the certificates for connections to the VMs.
    pub fn tls(&self) -> Result<wire::tls::Config, Error> {
        let folder = self.tls.as_ref().ok_or_else(|| missing("--tls DIR"))?;
        let name = self.name.as_ref().ok_or_else(|| missing("--as NAME"))?;
        let file = |extension: &str| folder.join(format!("{name}.{extension}"));
        Ok(wire::tls::load(&folder.join("ca.pem"), &file("pem"), &file("key"))?)
    }

    /// Returns whether the options allow queries to VMs.
    pub fn has_peers(&self) -> bool {
        self.vms.is_some() && self.tls.is_some() && self.name.is_some()
    }
}

fn missing(option: &str) -> Error {
    Error::Usage(format!("this command needs {option}; see hyssopctl help"))
}
