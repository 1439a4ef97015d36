//! Output as tables and as JSON.

use serde::Serialize;

/// Prints a value as indented JSON.
pub fn json<T>(value: &T)
where
    T: Serialize,
{
    println!("{}", serde_json::to_string_pretty(value).expect("plain data"));
}

/// A table with a header row, in columns as wide as their widest cell.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header and no other rows.
    pub fn new(header: &[&str]) -> Table {
        Table { rows: vec![header.iter().map(|cell| cell.to_uppercase()).collect()] }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table to standard output.
    pub fn print(&self) {
        for row in &self.rows {
            let mut line = String::new();
            for (i, cell) in row.iter().enumerate() {
                line.push_str(&format!("{cell:<width$}  ", width = self.width(i)));
            }
            println!("{}", line.trim_end());
        }
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    }
}
