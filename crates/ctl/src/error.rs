//! Errors of commands and their exit codes.

use derive_more::{Display, Error};

/// Exit code on success.
pub const OK: u8 = 0;
/// Exit code when faults were found, or the operation was refused.
pub const REFUSED: u8 = 1;
/// Exit code of wrong usage; the argument parser uses the same.
pub const USAGE: u8 = 2;
/// Exit code when a service or VM could not be reached, or the outcome is not known.
pub const UNREACHABLE: u8 = 3;

/// Failure of a command; the message names the step and the peer where there is one.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// Faults were found, or the operation was refused.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// An argument or an input file is invalid.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A service or VM could not be reached, or the outcome is not known.
    #[display("{_0}")]
    Unreachable(#[error(not(source))] String),
}

impl Error {
    /// Returns the exit code.
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
