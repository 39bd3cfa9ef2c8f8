//! Type aliases for ids.

/// Name of a VM.
pub type Vm = String;

/// Name of a workspace.
pub type Workspace = String;

/// Id of a caller's request: `VM.INCARNATION.UNIQUE`, where the first two name
/// the agent that drives it, so that any router finds it without a shared store.
pub type Request = String;

/// Changes with each start of a process.
pub type Incarnation = u64;

/// Counts the tries of a request at one place; a higher one fences off the lower ones.
pub type Attempt = u32;

/// Place of a token in a request, from the prompt's first on.
pub type Position = u32;

/// Version of the fleet settings: the log offset of the accepted record plus one; 0 is none.
pub type Version = u64;

/// Hash of a request's content.
pub type Fingerprint = u64;
