//! Output as tables or as JSON.

/// Prints a JSON value on one line.
pub(crate) fn print_json(value: &serde_json::Value) {
    println!("{value}");
}

/// Formats a value as a table cell: strings without quotes, `-` for null, `yes` and `no` for
/// booleans.
pub(crate) fn to_cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_owned(),
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Bool(true) => "yes".to_owned(),
        serde_json::Value::Bool(false) => "no".to_owned(),
        other => other.to_string(),
    }
}

/// Prints JSON objects as the rows of a table. Each column has a title and the path of a member,
/// such as `load.running` for a nested one.
pub(crate) fn print_table(columns: &[(&str, &str)], rows: &[serde_json::Value]) {
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            columns
                .iter()
                .map(|(_, path)| to_cell(lookup(row, path)))
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

/// Returns the member at a dotted path, or null.
fn lookup<'a>(row: &'a serde_json::Value, path: &str) -> &'a serde_json::Value {
    path.split('.').fold(row, |value, name| {
        value.get(name).unwrap_or(&serde_json::Value::Null)
    })
}
