//! Record of what a stand-in received and ran.

use std::{fs, io, io::Write, path, sync, time};

/// Wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// JSON lines in memory and, when asked, in a file that survives a crash of the process.
#[derive(Debug, Default)]
pub struct Journal {
    state: sync::Mutex<JournalState>,
}

#[derive(Debug, Default)]
struct JournalState {
    text: String,
    file: Option<fs::File>,
}

impl Journal {
    /// Opens a journal; a file is appended to.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the file.
    pub fn open(file: Option<&path::Path>) -> io::Result<Self> {
        let open = |path| fs::File::options().create(true).append(true).open(path);
        let file = file.map(open).transpose()?;
        let text = String::new();
        let state = sync::Mutex::new(JournalState { text, file });
        Ok(Self { state })
    }

    /// Adds one entry with the current time in `unix_ms`.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be written: a test without its journal proves nothing.
    pub fn record(&self, mut entry: serde_json::Value) {
        entry["unix_ms"] = unix_ms().into();
        let line = format!("{entry}\n");
        let mut state = self.state.lock().expect("journal lock");
        if let Some(file) = &mut state.file {
            file.write_all(line.as_bytes()).expect("journal file");
        }
        state.text.push_str(&line);
    }

    /// All entries of this run as JSON lines.
    pub fn text(&self) -> String {
        self.state.lock().expect("journal lock").text.clone()
    }
}
