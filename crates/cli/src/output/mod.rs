//! Tables for people, JSON for programs.

/// Prints one JSON document on one line.
pub(crate) fn print_json(value: &serde_json::Value) {
    println!("{value}");
}

/// A value as a table cell: text without quotes, nothing for null.
pub(crate) fn to_cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_owned(),
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Bool(true) => "yes".to_owned(),
        serde_json::Value::Bool(false) => "no".to_owned(),
        other => other.to_string(),
    }
}

/// Prints the named members of each object as columns; `load.running` names a nested member.
pub(crate) fn print_table(columns: &[(&str, &str)], rows: &[serde_json::Value]) {
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            columns
                .iter()
                .map(|(_, path)| to_cell(find(row, path)))
                .collect()
        })
        .collect();
    let widths: Vec<usize> = columns
        .iter()
        .enumerate()
        .map(|(index, (title, _))| {
            cells
                .iter()
                .map(|row| row[index].len())
                .chain([title.len()])
                .max()
                .unwrap_or(0)
        })
        .collect();
    let titles = columns
        .iter()
        .map(|(title, _)| (*title).to_owned())
        .collect();
    for row in std::iter::once(&titles).chain(&cells) {
        let line: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        println!("{}", line.join("  ").trim_end());
    }
}

fn find<'a>(row: &'a serde_json::Value, path: &str) -> &'a serde_json::Value {
    path.split('.').fold(row, |value, name| {
        value.get(name).unwrap_or(&serde_json::Value::Null)
    })
}
