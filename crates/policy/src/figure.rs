//! The text form of a mechanism and of its figures.

use std::fmt;
use std::time::Duration;

/// One figure of a mechanism.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Figure {
    /// Its name within the mechanism.
    pub name: &'static str,
    /// Its value, without the unit.
    pub value: String,
    /// What it is counted in.
    pub unit: &'static str,
    /// What it rests on.
    pub grounds: &'static str,
}

/// One mechanism of the decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mechanism {
    /// The name by which it is switched off.
    pub name: &'static str,
    /// Whether it is on.
    pub on: bool,
    /// What it does, and what holds without it.
    pub help: &'static str,
    /// What it rests on.
    pub figures: Vec<Figure>,
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.on { "on" } else { "off" };
        writeln!(f, "{} ({state})", self.name)?;
        for line in self.help.lines() {
            writeln!(f, "    {}", line.trim())?;
        }
        for Figure { name, value, unit, grounds } in &self.figures {
            writeln!(f, "  {name} = {value} {unit}")?;
            for line in grounds.lines() {
                writeln!(f, "      {}", line.trim())?;
            }
        }
        Ok(())
    }
}

/// A type that a figure can have.
pub(crate) trait Value {
    /// Writes the value without its unit.
    fn text(&self) -> String;
}

impl Value for f64 {
    fn text(&self) -> String {
        self.to_string()
    }
}

impl Value for usize {
    fn text(&self) -> String {
        self.to_string()
    }
}

impl Value for i32 {
    fn text(&self) -> String {
        self.to_string()
    }
}

impl Value for Duration {
    /// Durations are written in milliseconds, the unit of their rows.
    fn text(&self) -> String {
        (self.as_secs_f64() * 1e3).to_string()
    }
}
