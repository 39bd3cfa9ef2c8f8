//! Errors in settings files.

use derive_more::{Display, Error};

/// One invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{file}: [{section}] {key}: found '{found}', allowed: {allowed}")]
pub struct Fault {
    /// Path of the file, or name of the stream.
    pub file: String,
    /// Title of the section.
    pub section: String,
    /// Key; empty when the fault concerns the section.
    pub key: String,
    /// Value found.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// All faults of a settings file, in the order of the file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Faults {
    /// Faults; never empty.
    #[error(not(source))]
    pub list: Vec<Fault>,
}

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, fault) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
