//! What every daemon shares: settings in force, peers, logs, metrics, signals
