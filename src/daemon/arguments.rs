//! Command line of the daemon.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::{
    daemon::daemon::Daemon,
    entry, logging, runtime,
    settings::{DeployedRole, DeployedSettings, Settings, SettingsError},
    slot,
};

/// Exit code for settings or a command line that can't be used.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a start that failed.
const EXIT_START_FAILED: u8 = 1;

/// Serves as an entry host or in the slot of a backend server host, as its settings say.
///
/// Exit codes: 0 after a graceful shutdown, 1 when the start failed, 2 for bad settings.
#[derive(FromArgs)]
struct Arguments {
    /// the INI file with the settings
    #[argh(option)]
    settings: PathBuf,
    /// the settings are those of a deployment on the platform
    #[argh(switch)]
    platform: bool,
    /// only check the settings, then exit
    #[argh(switch)]
    check: bool,
}

/// Runs the daemon with the arguments of the process.
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
        eprintln!("logs can't be written: {err}");
        return ExitCode::from(EXIT_START_FAILED);
    }
    match runtime::run_until(run_daemon(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("daemon: start failed error=\"{err}\"");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// The settings, unless they are bad or were only to be checked.
fn settings_or_exit<T>(
    arguments: &Arguments,
    res: Result<T, SettingsError>,
) -> Result<T, ExitCode> {
    let settings = res.map_err(|err| {
        eprintln!("{err}");
        ExitCode::from(EXIT_BAD_SETTINGS)
    })?;
    if arguments.check {
        println!("{}: the settings are good", arguments.settings.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Runs a process on the platform, whose settings have other sections.
fn run_on_platform(arguments: &Arguments) -> ExitCode {
    let settings = match settings_or_exit(arguments, DeployedSettings::load(&arguments.settings)) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    if let Err(err) = logging::init_stdout(settings.log.level) {
        eprintln!("logs can't be written: {err}");
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
            log::error!("daemon: start failed error=\"{err}\"");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

async fn run_daemon(settings: Settings) -> Result<(), crate::daemon::StartError> {
    let serving = Daemon::start(settings).await?.serve().await?;
    let leaving = serving.wait_for_leave().await;
    leaving.close().await;
    Ok(())
}
