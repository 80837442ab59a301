//! The operators' client: asks a steward and says what it answers. It must never change anything that it was not told to.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use super::line::What;
use super::settings::{Settings, SettingsError};

pub fn settings(path: Option<PathBuf>) -> Result<ExitCode, SettingsError> {
    let settings = Settings::read(&Settings::path(path)?)?;
    println!("{} in {}, {} seeds", settings.station, settings.zone, settings.seeds.len());
    Ok(ExitCode::SUCCESS)
}

pub fn ask(_at: &[SocketAddr], _json: bool, _what: What) -> Result<ExitCode, String> {
    Err("not there yet".into())
}
