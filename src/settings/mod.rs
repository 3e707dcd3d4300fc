//! Settings of one process, read from an INI file and checked as a whole.

mod line_index;
mod reader;
mod settings;

pub use crate::settings::{
    reader::{Problem, SettingsError},
    settings::{
        BackendKind, BackendSettings, HostSettings, LimitSettings, ListenSettings, LogSettings,
        PlatformSettings, RoleSettings, SecretSettings, Settings, WeightsSettings,
    },
};
