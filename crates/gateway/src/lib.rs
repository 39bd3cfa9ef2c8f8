//! A router that serves callers straight from backend servers which pass hidden states on by
//! themselves, with the platform's store as the only thing that lasts.
//!
//! The path of a request: [`edge`] reads it, [`request`] checks it against the settings,
//! [`plain`] or [`stream`] sends it to backend servers and answers the caller. Beside it
//! [`follow`] keeps settings, servers and news up to date from the store, and [`giver`] lets one
//! router at a time order the model servers to hold layers. Decisions are in the crates `policy`
//! and `layers`. How the platform spells all this is given by a [`wire::Codec`] and a
//! [`store::Client`].

pub mod answer;
pub mod edge;
pub mod event;
pub mod exchange;
pub mod follow;
pub mod giver;
pub mod journal;
pub mod metrics;
pub mod news;
pub mod peer;
pub mod plain;
pub mod pool;
pub mod probe;
pub mod request;
pub mod route;
pub mod server;
pub mod settings;
pub mod setup;
pub mod share;
pub mod state;
pub mod stop;
pub mod store;
pub mod stream;
pub mod wire;
