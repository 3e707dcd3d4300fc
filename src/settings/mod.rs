//! Settings of one process, read from an INI file.
//!
//! All problems of a file are reported together, so that an operator can fix them in one pass.

mod deployed_settings;
mod ini_reader;
mod line_index;
mod settings;

pub use crate::settings::{
    deployed_settings::{
        BoundSettings, DeployedRole, DeployedSettings, EngineSettings, EntryListenSettings,
    },
    ini_reader::{Problem, SettingsError},
    settings::{
        BackendKind, BackendSettings, HostSettings, LimitSettings, ListenSettings, LogSettings,
        PlatformSettings, RoleSettings, SecretSettings, Settings, WeightsSettings,
    },
};
