//! Markdown tables.

use std::fmt::Write as _;

/// A table with a header.
#[derive(Debug)]
pub(crate) struct Table(String);

impl Table {
    /// Creates a table without rows.
    pub(crate) fn new(columns: &[&str]) -> Self {
        let head = format!("| {} |\n|{}\n", columns.join(" | "), "---|".repeat(columns.len()));
        Self(head)
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: &[String]) {
        let _ = writeln!(self.0, "| {} |", cells.join(" | "));
    }

    /// Adds a line below the table.
    pub(crate) fn note(&mut self, text: &str) {
        let _ = writeln!(self.0, "\n{text}");
    }

    /// Returns the table as Markdown.
    pub(crate) fn text(self) -> String {
        self.0
    }
}
