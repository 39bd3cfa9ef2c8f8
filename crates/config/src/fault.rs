//! What is wrong with a settings file.

use derive_more::{Display, Error};

/// One wrong setting.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{file}: [{section}] {key}: found '{found}', allowed: {allowed}")]
pub struct Fault {
    /// File, or the name of the stream.
    pub file: String,
    /// Section.
    pub section: String,
    /// Key; empty when the whole section is wrong.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

/// All that is wrong with a settings file, in its order.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Faults {
    /// The faults; at least one.
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
