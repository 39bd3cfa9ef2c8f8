//! Runs one stand-in as a separate process.

use std::net::SocketAddr;

use clap::{Parser, Subcommand};
use fake::{engine, link, log, serve, service, vms, weights};
use simplelog::{ColorChoice, Config, LevelFilter, TermLogger, TerminalMode};
use tokio::signal::unix::{SignalKind, signal};

/// Stand-ins for the external systems, for tests and scenarios on loopback.
#[derive(Debug, Parser)]
#[command(name = "hyssop-fake", version)]
struct Args {
    #[command(subcommand)]
    part: Part,
}

#[derive(Debug, Subcommand)]
enum Part {
    /// A model engine that holds a range of layers.
    Engine(Listen<engine::Options>),
    /// A plain service that records writes.
    Service(Listen<service::Options>),
    /// The append-only log service.
    Log(Listen<log::Options>),
    /// The VM list.
    Vms(Listen<vms::Options>),
    /// The weight store.
    Weights(Listen<weights::Options>),
    /// A datagram relay that cuts links and delays, drops and duplicates datagrams.
    Link(Listen<link::Options>),
}

#[derive(Debug, clap::Args)]
struct Listen<T: clap::Args> {
    /// IP address and TCP port to serve HTTP on.
    #[arg(long)]
    listen: SocketAddr,
    #[command(flatten)]
    options: T,
}

// Many stand-ins share a machine, so each uses few threads.
#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    // Standard output carries only the `ready` line, so logs go to standard error.
    let _ = TermLogger::init(
        LevelFilter::Info,
        Config::default(),
        TerminalMode::Stderr,
        ColorChoice::Never,
    );
    let mut stop = signal(SignalKind::terminate())?;
    let server = match args.part {
        Part::Engine(p) => engine::start(serve::bind(p.listen)?, p.options),
        Part::Service(p) => service::start(serve::bind(p.listen)?, p.options),
        Part::Log(p) => log::start(serve::bind(p.listen)?, p.options),
        Part::Vms(p) => vms::start(serve::bind(p.listen)?, p.options),
        Part::Weights(p) => weights::start(serve::bind(p.listen)?, p.options),
        Part::Link(p) => link::start(serve::bind(p.listen)?, p.options),
    }?;
    println!("ready {}", server.address);
    stop.recv().await;
    Ok(())
}
