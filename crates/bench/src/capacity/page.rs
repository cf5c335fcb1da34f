//! Rewriting of the marked blocks of a page.

use std::path::Path;

/// Replaces the block of each table, between `<!-- table NAME -->` and `<!-- end -->`.
///
/// # Errors
///
/// Fails if a table has no block, so that no measurement is dropped silently.
pub fn rewrite(page: &Path, tables: &[(&str, String)]) -> std::io::Result<()> {
    let mut text = std::fs::read_to_string(page)?;
    for (name, table) in tables {
        let start = format!("<!-- table {name} -->\n");
        let missing = || {
            std::io::Error::other(format!(
                "the page has no block `<!-- table {name} -->` with an end marker"
            ))
        };
        let from = text.find(&start).ok_or_else(missing)? + start.len();
        let to = from + text[from..].find("<!-- end -->").ok_or_else(missing)?;
        text.replace_range(from..to, &format!("\n{}\n\n", table.trim_end()));
    }
    std::fs::write(page, text)
}
