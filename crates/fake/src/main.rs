//! Stand-ins for what the system meets: engine, service, log, VM list, weight store, link

fn main() {}
