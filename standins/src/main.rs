//! Runs stand-ins of one kind, one for each address.

use std::{future::pending, io, net::SocketAddr, process::ExitCode};

use argh::FromArgs;
use crocustiller::runtime;
use crocustiller_standins::{EngineStandin, OriginStandin, PlatformStandin, ServiceStandin};

/// Runs stand-ins for the platform, origin, engines or services that crocustiller talks to. Faults
/// are set with `POST /faults`.
#[derive(FromArgs)]
struct Args {
    /// platform, origin, engine or service
    #[argh(positional)]
    kind: String,
    /// IP address and port to listen on; may be repeated for engines and services
    #[argh(option)]
    listen: Vec<SocketAddr>,
    /// end the process when an engine or a service crashes
    #[argh(switch)]
    exit_on_crash: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match runtime::run_until(run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(2)
        }
    }
}

async fn run(args: &Args) -> io::Result<()> {
    if args.listen.is_empty() {
        return Err(io::Error::other("no address to listen on; add --listen <IP address:port>"));
    }
    let mut engines = Vec::new();
    let mut services = Vec::new();
    let mut platforms = Vec::new();
    let mut origins = Vec::new();
    for address in &args.listen {
        match args.kind.as_str() {
            "platform" => platforms.push(PlatformStandin::start(*address).await?),
            "origin" => origins.push(OriginStandin::start(*address).await?),
            "engine" => {
                engines.push(EngineStandin::start_with(*address, args.exit_on_crash).await?)
            }
            "service" => {
                services.push(ServiceStandin::start_with(*address, args.exit_on_crash).await?);
            }
            other => {
                let message =
                    format!("unknown kind '{other}'; use platform, origin, engine or service");
                return Err(io::Error::other(message));
            }
        }
        println!("listening {address}");
    }
    pending().await
}
