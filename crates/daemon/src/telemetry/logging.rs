//! Logging in JSON, with one object per line.

use std::time;

use acaciabank_protocol::settings::{LogLevel, LogSettings};
use log::kv;
use serde_json::{Map, Value};

/// Installs the global logger, which writes to the configured file or to standard error.
///
/// # Errors
///
/// Returns a message when the file cannot be opened or a logger is already installed.
pub fn install(settings: &LogSettings) -> Result<(), String> {
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Trace)
        .format(|out, _message, record| out.finish(format_args!("{}", format_record(record))));
    let dispatch = match &settings.file {
        None => dispatch.chain(std::io::stderr()),
        Some(path) => {
            let file = fern::log_file(path)
                .map_err(|error| format!("log file {}: {error}", path.display()))?;
            dispatch.chain(file)
        }
    };
    dispatch.apply().map_err(|error| error.to_string())?;
    set_level(settings.level);
    Ok(())
}

/// Sets the least severe level that is logged.
pub fn set_level(level: LogLevel) {
    log::set_max_level(match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    });
}

/// Converts a record to a JSON object. Printed, the object has no line breaks.
pub fn format_record(record: &log::Record<'_>) -> Value {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let unix_ms = now.map_or(0, |elapsed| elapsed.as_millis() as u64);
    let mut fields = FieldCollector(Map::new());
    // `FieldCollector` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    let mut object = fields.0;
    object.insert("timestamp_ms".to_owned(), unix_ms.into());
    object.insert("level".to_owned(), record.level().as_str().into());
    object.insert("target".to_owned(), record.target().into());
    object.insert("message".to_owned(), record.args().to_string().into());
    Value::Object(object)
}

/// Collects the key-value pairs of a record; numbers and booleans keep their JSON type.
struct FieldCollector(Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
