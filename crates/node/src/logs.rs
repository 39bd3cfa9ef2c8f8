//! Log lines on standard error, by simplelog.

use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};

/// Starts logging at `level` (error, warn, info, debug or trace; info when it is none of these).
/// A second call does nothing.
///
/// ```
/// node::logs::start("warn");
/// ```
pub fn start(level: &str) {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("quinn")
        .add_filter_ignore_str("rustls")
        .add_filter_ignore_str("salvo")
        .add_filter_ignore_str("hyper")
        .build();
    let _ = TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never);
}
