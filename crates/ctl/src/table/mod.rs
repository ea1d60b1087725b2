//! Text tables with aligned columns.

/// Separator of two columns.
const COLUMN_GAP: &str = "  ";

/// A table whose first row is the header.
#[derive(Debug, Clone)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with the names of its columns.
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|name| (*name).into()).collect();
        Self { rows: vec![header] }
    }

    /// Appends a row, which may have fewer or more cells than the header.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Renders one line per row, without trailing spaces.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            text.push_str(cells.join(COLUMN_GAP).trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}
