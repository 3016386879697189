//! Text tables for terminals.

/// A table whose columns are as wide as their widest cells.
#[derive(Debug)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

/// The separator between two columns.
const COLUMN_SEPARATOR: &str = "  ";

impl TextTable {
    /// Creates a table with these headings, which are shown in upper case.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|h| h.to_uppercase());
        Self {
            rows: vec![headings.collect()],
        }
    }

    /// Adds a row; an empty cell is shown as a dash.
    pub(crate) fn add(&mut self, row: Vec<String>) {
        let cells = row.into_iter().map(|cell| match cell.is_empty() {
            true => "-".to_owned(),
            false => to_printable(&cell),
        });
        self.rows.push(cells.collect());
    }

    /// Formats the table as lines of text.
    pub(crate) fn to_text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let widths: Vec<_> = (0..columns).map(|column| self.width(column)).collect();
        let lines = self.rows.iter().map(|row| {
            let cells = row.iter().zip(&widths);
            let cells: Vec<_> = cells.map(|(c, width)| format!("{c:<width$}")).collect();
            cells.join(COLUMN_SEPARATOR).trim_end().to_owned() + "\n"
        });
        lines.collect()
    }

    /// Returns the width of a column, in characters.
    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|c| c.chars().count()).max().unwrap_or_default()
    }
}

/// Returns the text with its control characters replaced, so that it can't control the terminal.
pub(crate) fn to_printable(text: &str) -> String {
    let shown = text.chars().map(|c| match c.is_control() {
        true => '\u{fffd}',
        false => c,
    });
    shown.collect()
}
