//! Configuration from the environment: `LB_CONFIG` is the path of `config.json`. `LB_NAME`, `LB_LISTEN` and `LB_OPS`
//! override its values. An empty `LB_OPS` overrides nothing.

use std::collections::HashMap;
use std::net::SocketAddr;

use tinyjson::JsonValue;
use wrenhatch_configuration::Document;

use super::config_file::{parse_file, read};
use super::{Config, ConfigError, operator_file};
use crate::json::{JsonError, JsonField};

/// Reads the configuration from the file in `LB_CONFIG`, applies the other variables, and then the operator's file at
/// the path `operator_file`, if there is one.
///
/// # Errors
/// `LB_CONFIG` is not set, a file can't be read, or a value in a file or a variable is missing or invalid.
pub fn from_environment(operator_file: Option<&str>) -> Result<Config, ConfigError> {
    let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::Unset("LB_CONFIG"))?;
    let json = parse_file(&path)?;
    let mut config = Config { path: Some(path), ..read(&JsonField::root(&json, "config"))? };
    if let Ok(name) = std::env::var("LB_NAME") {
        config.name = name;
    }
    if let Ok(listen) = std::env::var("LB_LISTEN") {
        config.listen = socket_address("LB_LISTEN", &listen)?;
    }
    if let Some(admin) = std::env::var("LB_OPS").ok().filter(|admin| !admin.is_empty()) {
        config.admin = Some(socket_address("LB_OPS", &admin)?);
    }
    if let Some(path) = operator_file {
        operator_file::apply(path, &mut config)?;
    }
    if let Some(control_plane) = &mut config.control_plane {
        control_plane.document = settings_document(&json)?;
    }
    Ok(config)
}

fn socket_address(variable: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::Variable { variable, expected: "an address with a port" })
}

/// Converts the `settings` object of a configuration into the document to which versions of the settings are applied.
fn settings_document(config: &JsonValue) -> Result<Document, JsonError> {
    let error = || JsonError::Value { path: "config.settings".to_owned(), expected: "an object" };
    let root = config.get::<HashMap<String, JsonValue>>();
    let settings = root.and_then(|root| root.get("settings")).ok_or_else(error)?;
    let text = settings.stringify().map_err(|_| error())?;
    text.parse().map_err(|_| error())
}
