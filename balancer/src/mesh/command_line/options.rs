//! The options of the mesh's subcommands.

pub const AT: &str = "--at";
pub const COUNT: &str = "--count";
pub const FIRST: &str = "--first";
pub const HEADER: &str = "--header";
pub const INNER: &str = "--inner";
pub const JSON: &str = "--json";
pub const KEY: &str = "--key";
pub const SEED: &str = "--seed";
pub const SERVICE: &str = "--service";
pub const SERVICES: &str = "--services";
pub const SETTINGS: &str = "--settings";
pub const TO: &str = "--to";

/// Options that accept the form `--option=VALUE`.
pub const JOINABLE_OPTIONS: [&str; 3] = [AT, SETTINGS, KEY];
