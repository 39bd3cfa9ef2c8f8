//! The entry daemon: takes callers' requests, chooses backend servers, keeps the caller's connection
