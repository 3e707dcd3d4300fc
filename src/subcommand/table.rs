//! Text tables on standard output.

/// A text table with left-aligned columns, each as wide as its longest cell.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that has only a heading row.
    pub(crate) fn new(heading: &[&str]) -> Table {
        Table { rows: vec![heading.iter().map(|it| it.to_string()).collect()] }
    }

    /// Adds a row; it must have one cell for each column.
    pub(crate) fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Prints the table to standard output.
    pub(crate) fn print(&self) {
        let n_columns = self.rows[0].len();
        let width = |idx: usize| self.rows.iter().map(|it| it[idx].chars().count()).max();
        let widths: Vec<usize> = (0..n_columns).filter_map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<String>>().join("  ");
            println!("{}", line.trim_end());
        }
    }
}
