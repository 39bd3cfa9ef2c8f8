//! Why a command could not do its work, and the exit code that says so.

use derive_more::{Display, Error};

/// Exit code when all is well.
pub const OK: u8 = 0;
/// Exit code when faults were found, or the fleet refused.
pub const REFUSED: u8 = 1;
/// Exit code of wrong usage; the argument parser uses it too.
pub const USAGE: u8 = 2;
/// Exit code when something could not be reached, or the outcome is not known.
pub const UNREACHABLE: u8 = 3;

/// Why a command failed; the peers' own errors name the step and the peer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// Faults were found, or the fleet refused.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// An argument or a file of the operator is wrong.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// Something could not be reached, or the outcome is not known.
    #[display("{_0}")]
    Unreachable(#[error(not(source))] String),
}

impl Error {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Error::Refused(_) => REFUSED,
            Error::Usage(_) => USAGE,
            Error::Unreachable(_) => UNREACHABLE,
        }
    }
}

impl From<rest::Error> for Error {
    fn from(e: rest::Error) -> Error {
        Error::Unreachable(e.to_string())
    }
}

impl From<wire::link::Error> for Error {
    fn from(e: wire::link::Error) -> Error {
        Error::Unreachable(e.to_string())
    }
}

impl From<wire::tls::Error> for Error {
    fn from(e: wire::tls::Error) -> Error {
        Error::Usage(e.to_string())
    }
}
