//! Tables in the form of the pages.

/// A table with a head.
#[derive(Debug)]
pub(crate) struct Table(String);

impl Table {
    /// Makes an empty table.
    pub(crate) fn new(columns: &[&str]) -> Self {
        let head = format!("| {} |\n|{}\n", columns.join(" | "), "---|".repeat(columns.len()));
        Self(head)
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: &[String]) {
        self.0 += &format!("| {} |\n", cells.join(" | "));
    }

    /// Adds a line below the table.
    pub(crate) fn note(&mut self, text: &str) {
        self.0 += &format!("\n{text}\n");
    }

    /// Returns the table.
    pub(crate) fn text(self) -> String {
        self.0
    }
}
