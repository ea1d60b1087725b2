//! Tables of text, with aligned columns.

/// Space between two columns.
const GAP: &str = "  ";

/// A table with a head.
#[derive(Debug, Clone)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Makes a table with the names of its columns.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|name| (*name).into()).collect();
        Self { rows: vec![head] }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Writes the table, one row a line.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            text.push_str(cells.join(GAP).trim_end());
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
