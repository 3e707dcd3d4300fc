//! Starts all processes of a deployment on loopback, applies faults and prints figures.

mod api_client;
mod baseline;
mod burst;
mod burst_figures;
mod child_processes;
mod deployment;
mod fault;
mod host_plan;
mod live_load;
mod load;
mod options;
mod process_sample;
mod scale;

use std::{io, process::ExitCode};

use async_signal::{Signal, Signals};
use crocustiller::runtime;
use futures_lite::{FutureExt, StreamExt};
use serde::Serialize;

use crate::options::{Command, Options};

/// The exit code when the run violated a guarantee.
const EXIT_VIOLATED: u8 = 1;
/// The exit code when the run could not start or was aborted by an error.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match runtime::run_until(run(options).or(wait_for_signal())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATED),
        Err(err) => {
            eprintln!("rig: {err}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs the command and returns `true` if the run met every guarantee.
async fn run(options: Options) -> io::Result<bool> {
    match options.command {
        Command::Burst(options) => {
            let figures = burst::run(&options).await?;
            print_figures(&figures, options.json)?;
            Ok(figures.broken.is_empty())
        }
        Command::Load(options) => {
            let figures = load::run(&options).await?;
            print_figures(&figures, options.json)?;
            Ok(figures.broken.is_empty())
        }
        Command::Scale(options) => {
            let all = scale::run(&options).await?;
            if !options.json {
                all.iter().try_for_each(|it| print_figures(it, false))?;
            }
            Ok(true)
        }
    }
}

/// Waits for SIGINT or SIGTERM and returns an error.
///
/// The caller then drops the future of the run, which kills all processes that it started.
async fn wait_for_signal() -> io::Result<bool> {
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    signals.next().await;
    Err(io::Error::new(
        io::ErrorKind::Interrupted,
        "interrupted; all started processes were killed",
    ))
}

fn print_figures(figures: &impl Serialize, is_json: bool) -> io::Result<()> {
    if is_json {
        println!("{}", serde_json::to_string(figures)?);
        return Ok(());
    }
    println!("{}", serde_json::to_string_pretty(figures)?);
    Ok(())
}
