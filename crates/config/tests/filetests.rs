//! File tests of document and settings parsing: each file holds an input and its expected outcome.

use std::error::Error;
use std::path::Path;

use bergamot_config::{Document, Settings};
use bergamot_filetest::check;

fn document(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| match Document::parse(input.as_bytes()) {
        Ok(document) => document.to_string(),
        Err(error) => error.with_file("document.json").to_string(),
    })
}

fn settings(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| match Settings::parse(input) {
        Ok(settings) => format!("{:#?}\n{:#?}", settings.instance, settings.platform),
        Err(error) => error.with_file("settings.ini").to_string(),
    })
}

datatest_stable::harness! {
    { test = document, root = "tests/filetests/documents", pattern = r"\.txt$" },
    { test = settings, root = "tests/filetests/settings", pattern = r"\.txt$" },
}
