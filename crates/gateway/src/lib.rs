//! A router that serves callers straight from backend servers, which pass hidden states on among themselves. The
//! platform's store is the only durable part.
//!
//! The path of a request: [`edge`] reads it, [`request`] checks it against the settings, and [`plain`] or [`stream`]
//! sends it to backend servers and answers the caller. Independently of requests, [`follow`] keeps settings, servers
//! and notices up to date from the store, and [`leader`] lets one router at a time order the model servers to hold
//! layers. The crates `policy` and `layers` make the decisions. A [`wire::Codec`] and a [`store::Client`] define the
//! formats of the platform.

pub mod admission;
pub mod answer;
pub mod availability;
pub mod clock;
pub mod content;
pub mod count;
pub mod crash;
pub mod departure;
pub mod edge;
pub mod event;
pub mod exchange;
pub mod failing;
pub mod follow;
pub mod guard;
pub mod leader;
pub mod limited;
pub mod logging;
pub mod metrics;
pub mod neighbours;
pub mod notice;
pub mod peer;
pub mod plain;
pub mod pool;
pub mod probe;
pub mod record;
pub mod retries;
pub mod request;
pub mod route;
pub mod server;
pub mod roster;
pub mod settings;
pub mod setup;
pub mod shared_read;
pub mod state;
pub mod statement;
pub mod shutdown;
pub mod slowness;
pub mod startup;
pub mod store;
pub mod stream;
pub mod task;
pub mod wire;
