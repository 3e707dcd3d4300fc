//! Command line of the daemon.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::{
    daemon::daemon::Daemon,
    entry, logging, runtime,
    settings::{DeployedRole, DeployedSettings, Settings, SettingsError},
    slot,
};

/// Exit code for invalid settings or an invalid command line.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a failed start.
const EXIT_START_FAILED: u8 = 1;

/// Runs an entry host or the slot process of a backend server host; the settings give the role.
///
/// Exit codes: 0 after a graceful shutdown, 1 if the start failed, 2 for invalid settings.
#[derive(FromArgs)]
struct Arguments {
    /// INI file with the settings of the process
    #[argh(option)]
    settings: PathBuf,
    /// read the file as settings of a deployment on the platform, which has other sections
    #[argh(switch)]
    platform: bool,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Runs the daemon with the command-line arguments of the process.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.platform {
        return run_on_platform(&arguments);
    }
    let settings = match settings_or_exit(&arguments, Settings::load(&arguments.settings)) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    if let Err(err) = logging::init(settings.log.level) {
        eprintln!("failed to start logging: {err}");
        return ExitCode::from(EXIT_START_FAILED);
    }
    match runtime::run_until(run_daemon(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("daemon: failed to start error=\"{err}\"");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Returns the settings, or the exit code if they are invalid or `--check` was given.
fn settings_or_exit<T>(
    arguments: &Arguments,
    res: Result<T, SettingsError>,
) -> Result<T, ExitCode> {
    let settings = res.map_err(|err| {
        eprintln!("{err}");
        ExitCode::from(EXIT_BAD_SETTINGS)
    })?;
    if arguments.check {
        println!("{}: the settings are valid", arguments.settings.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Runs a process that is deployed on the platform, with `DeployedSettings`.
fn run_on_platform(arguments: &Arguments) -> ExitCode {
    let settings = match settings_or_exit(arguments, DeployedSettings::load(&arguments.settings)) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    if let Err(err) = logging::init_stdout(settings.log.level) {
        eprintln!("failed to start logging: {err}");
        return ExitCode::from(EXIT_START_FAILED);
    }
    let role = settings.role.clone();
    let res = match role {
        DeployedRole::Entry(listen) => runtime::run_local(entry::run(settings, listen)),
        DeployedRole::Backend(engine) => runtime::run_local(slot::run(settings, engine)),
    };
    match res {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("daemon: failed to start error=\"{err}\"");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Runs the process from its start to the end of its graceful shutdown.
async fn run_daemon(settings: Settings) -> Result<(), crate::daemon::StartError> {
    let serving = Daemon::start(settings).await?.serve().await?;
    let leaving = serving.wait_for_leave().await;
    leaving.close().await;
    Ok(())
}
