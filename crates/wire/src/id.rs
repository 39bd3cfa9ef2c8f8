//! Type aliases for ids.

/// Name of a VM.
pub type Vm = String;

/// Name of a workspace.
pub type Workspace = String;

/// Id of a caller's request: `VM.INCARNATION.UNIQUE`, where the first two parts identify the
/// agent that is its head, so that any router finds the agent without a shared store.
pub type Request = String;

/// Number of a process start; each start of a process gets a new one.
pub type Incarnation = u64;

/// Number of an attempt to run a request at one place; a higher one fences off the lower ones.
pub type Attempt = u32;

/// Position of a token in a request, counted from the first token of the prompt.
pub type Position = u32;

/// Version of the fleet settings: the log offset of the accepted record plus one; 0 is none.
pub type Version = u64;

/// Hash of a request's content.
pub type Fingerprint = u64;
