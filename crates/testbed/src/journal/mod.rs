//! Journal in which a simulated process records what it received and executed.

use std::{fs, io, io::Write, path, sync, time};

/// Wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// JSON lines, kept in memory and optionally appended to a file that survives a crash of the
/// process.
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
    /// Opens a journal with no entries in memory. An existing file is appended to.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or created.
    pub fn open(file: Option<&path::Path>) -> io::Result<Self> {
        let open_file = |path| fs::File::options().create(true).append(true).open(path);
        let file = file.map(open_file).transpose()?;
        let text = String::new();
        let state = sync::Mutex::new(JournalState { text, file });
        Ok(Self { state })
    }

    /// Appends an entry and sets its member `unix_ms` to the current time.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written: checks of an incomplete journal would pass wrongly.
    pub fn record(&self, mut entry: serde_json::Value) {
        entry["unix_ms"] = unix_ms().into();
        let line = format!("{entry}\n");
        let mut state = self.state.lock().expect("journal lock");
        if let Some(file) = &mut state.file {
            file.write_all(line.as_bytes()).expect("journal file");
        }
        state.text.push_str(&line);
    }

    /// All entries that this process recorded, as JSON lines.
    pub fn text(&self) -> String {
        self.state.lock().expect("journal lock").text.clone()
    }
}
