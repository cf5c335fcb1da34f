//! The text form of a mechanism and its parameters.

use std::fmt;
use std::time::Duration;

/// One parameter of a mechanism.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The name, unique within the mechanism.
    pub name: &'static str,
    /// The value, without the unit.
    pub value: String,
    /// The unit of the value.
    pub unit: &'static str,
    /// The reason for the default value.
    pub grounds: &'static str,
}

/// A part of the request handling policy that can be switched off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mechanism {
    /// The name of its switch.
    pub name: &'static str,
    /// Whether it is on.
    pub on: bool,
    /// What it does, and what happens if it is off.
    pub help: &'static str,
    /// The parameters, in table order.
    pub parameters: Vec<Parameter>,
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.on { "on" } else { "off" };
        writeln!(f, "{} ({state})", self.name)?;
        for line in self.help.lines() {
            writeln!(f, "    {}", line.trim())?;
        }
        for Parameter { name, value, unit, grounds } in &self.parameters {
            writeln!(f, "  {name} = {value} {unit}")?;
            for line in grounds.lines() {
                writeln!(f, "      {}", line.trim())?;
            }
        }
        Ok(())
    }
}

/// A type that a parameter can have.
pub(crate) trait Value {
    /// Formats the value without its unit.
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
    /// Formats durations in milliseconds, the unit that the table uses for them.
    fn text(&self) -> String {
        (self.as_secs_f64() * 1e3).to_string()
    }
}
