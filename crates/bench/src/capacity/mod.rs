//! The measurements behind `docs/CAPACITY.md`.
//!
//! Costs are measured on this machine at several sizes, fitted by least squares, and
//! extrapolated to the design size. All tables of the page are rewritten from one run, and
//! the text outside of the marked blocks has no measured numbers, so that no figure on the
//! page can be out of date unnoticed.

mod control;
mod data;
mod feed;
mod fit;
mod page;
mod process;
mod relay;
mod size;
mod state;
mod table;

use std::path::Path;

pub use fit::Fit;
pub use page::rewrite;
pub use size::Size;

/// Measures the platform's request path alone and rewrites its tables of a page.
pub fn run_relay(page: &Path, quick: bool) -> std::io::Result<()> {
    print_and_rewrite(page, &[("answers", relay::answers(quick)), ("ticks", relay::ticks())])
}

/// Runs every measurement and rewrites the tables of a page.
pub fn run(page: &Path, quick: bool) -> std::io::Result<()> {
    let size = Size::default();
    let state = state::measure(&size);
    let control = control::measure(quick);
    let data = data::measure(quick);
    let (answers, ticks) = (relay::answers(quick), relay::ticks());
    let mut tables = vec![("machine", process::machine()), ("connections", size.connections())];
    tables.extend(state.tables());
    tables.push(("feed", feed::table(&size)));
    tables.extend(control.tables(&size, &state));
    tables.extend(data.tables(&size));
    tables.extend([("answers", answers), ("ticks", ticks)]);
    print_and_rewrite(page, &tables)
}

fn print_and_rewrite(page: &Path, tables: &[(&str, String)]) -> std::io::Result<()> {
    for (name, table) in tables {
        println!("## {name}\n\n{table}");
    }
    rewrite(page, tables)
}
