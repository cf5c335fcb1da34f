//! The settings of a process, declared in one table.
//!
//! The `settings!` table below is the single definition of each setting: its section, key,
//! type, default, range and description. The structs, defaults, validation and help text are
//! generated from it.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_base::{Name, Peer, Step};
use ini::Ini;

use crate::validation::{ValidationError, Violation};

/// A declared setting, for help texts and tests.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// The section of the INI file.
    pub section: &'static str,
    /// The key within the section.
    pub name: &'static str,
    /// The description of the setting.
    pub help: &'static str,
}

/// The type of a setting, which is parsed from text within bounds.
trait SettingValue: Sized {
    type Bounds;
    fn read(text: &str, bounds: &Self::Bounds) -> Option<Self>;
    fn allowed(bounds: &Self::Bounds) -> String;
}

impl SettingValue for u64 {
    type Bounds = (u64, u64);

    fn read(text: &str, bounds: &Self::Bounds) -> Option<Self> {
        text.parse().ok().filter(|number| (bounds.0..=bounds.1).contains(number))
    }

    fn allowed(bounds: &Self::Bounds) -> String {
        format!("an integer from {} to {}", bounds.0, bounds.1)
    }
}

impl SettingValue for u16 {
    type Bounds = (u16, u16);

    fn read(text: &str, bounds: &Self::Bounds) -> Option<Self> {
        text.parse().ok().filter(|port| (bounds.0..=bounds.1).contains(port))
    }

    fn allowed(bounds: &Self::Bounds) -> String {
        format!("a port from {} to {}", bounds.0, bounds.1)
    }
}

impl SettingValue for Duration {
    /// The minimum and maximum in milliseconds.
    type Bounds = (u64, u64);

    fn read(text: &str, bounds: &Self::Bounds) -> Option<Self> {
        u64::read(text, bounds).map(Self::from_millis)
    }

    fn allowed(bounds: &Self::Bounds) -> String {
        format!("milliseconds from {} to {}", bounds.0, bounds.1)
    }
}

impl SettingValue for bool {
    type Bounds = ();

    fn read(text: &str, _bounds: &()) -> Option<Self> {
        match text {
            "on" => Some(true),
            "off" => Some(false),
            _ => None,
        }
    }

    fn allowed(_bounds: &()) -> String {
        "on or off".to_owned()
    }
}

impl SettingValue for Ipv4Addr {
    type Bounds = ();

    fn read(text: &str, _bounds: &()) -> Option<Self> {
        text.parse().ok().filter(|address: &Self| !address.is_unspecified())
    }

    fn allowed(_bounds: &()) -> String {
        "an IPv4 address of this instance".to_owned()
    }
}

impl SettingValue for SocketAddr {
    type Bounds = ();

    fn read(text: &str, _bounds: &()) -> Option<Self> {
        text.parse().ok()
    }

    fn allowed(_bounds: &()) -> String {
        "an IP address and a port".to_owned()
    }
}

impl SettingValue for Name {
    type Bounds = ();

    fn read(text: &str, _bounds: &()) -> Option<Self> {
        (!text.is_empty() && text.len() <= 64).then(|| Self::from(text))
    }

    fn allowed(_bounds: &()) -> String {
        "a name of 1 to 64 bytes".to_owned()
    }
}

macro_rules! settings {
    ($($section:ident { $($key:ident : $type:ty = $default:expr, $bounds:expr, $help:literal;)* })*) => {
        $(
            #[doc = concat!("The settings of section `[", stringify!($section), "]`.")]
            #[derive(Clone, Debug, PartialEq, Eq)]
            #[allow(non_camel_case_types, reason = "the type is named by its section of the INI file")]
            pub struct $section { $(#[doc = $help] pub $key: $type,)* }

            impl Default for $section {
                fn default() -> Self {
                    Self { $($key: $default,)* }
                }
            }
        )*

        /// The settings of a process.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Settings {
            $(#[doc = concat!("Section `[", stringify!($section), "]`.")] pub $section: $section,)*
        }

        impl Settings {
            /// All declared settings, in table order.
            pub const KEYS: &[Setting] = &[
                $($(Setting {
                    section: stringify!($section),
                    name: stringify!($key),
                    help: $help,
                },)*)*
            ];

            /// Sets a key; the error describes the allowed keys or values.
            fn set(&mut self, section: &str, key: &str, text: &str) -> Result<(), String> {
                match (section, key) {
                    $($((stringify!($section), stringify!($key)) => {
                        self.$section.$key = <$type as SettingValue>::read(text, &$bounds)
                            .ok_or_else(|| <$type as SettingValue>::allowed(&$bounds))?;
                        Ok(())
                    })*)*
                    _ => Err(allowed_keys(section)),
                }
            }
        }
    };
}

settings! {
    instance {
        address: Ipv4Addr = Ipv4Addr::LOCALHOST, (), "The IPv4 address of this instance.";
        zone: Name = Name::from("local"), (), "The availability zone of this instance.";
    }
    platform {
        configuration: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7300)), (), "The address of the configuration service.";
        instances: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7301)), (), "The address of the instance list.";
        timeout: Duration = Duration::from_secs(1), (10, 60_000), "The maximum time without data during a read from the platform.";
        poll: Duration = Duration::from_secs(1), (50, 600_000), "How often the instance list is read.";
    }
    ports {
        entry_callers: u16 = 7400, (1, 65_535), "The HTTP port for callers on each entry.";
        entry_peers: u16 = 7401, (1, 65_535), "The port for requests between entries.";
        entry_control: u16 = 7402, (1, 65_535), "The port for control datagrams and streams of each entry.";
        entry_admin: u16 = 7403, (1, 65_535), "The port for metrics and state of each entry.";
        gather_peers: u16 = 7411, (1, 65_535), "The port for sub-queries to each gather.";
        gather_control: u16 = 7412, (1, 65_535), "The port for control datagrams and streams of each gather.";
        gather_admin: u16 = 7413, (1, 65_535), "The port for metrics and state of each gather.";
    }
    control {
        probe: Duration = Duration::from_millis(500), (20, 60_000), "The interval between probes; each probe goes to one other member.";
        answer: Duration = Duration::from_millis(150), (5, 60_000), "The time without an answer to a probe after which other members are asked to probe.";
        suspicion: Duration = Duration::from_secs(2), (50, 600_000), "The time a suspected member has to refute the suspicion before it is considered unreachable.";
        direct: Duration = Duration::from_secs(10), (100, 3_600_000), "The minimum time between two direct reads of the configuration service.";
        pause: Duration = Duration::from_millis(400), (50, 60_000), "The clock gap above which the process is considered to have been paused.";
        readers: u64 = 2, (1, 16), "The number of members in each zone that watch the configuration service.";
    }
    limits {
        memory_mb: u64 = 260, (32, 1_048_576), "The memory of the process in megabytes; a quarter each is for requests and for answers in progress.";
        descriptors: u64 = 0, (0, 1_048_576), "The descriptors of the process, 200 of which are not for sockets; 0 for the limit of the operating system.";
    }
    entry {
        header_bytes: u64 = 16_384, (1024, 262_144), "The maximum size of a request head in bytes, whatever its number of headers.";
        body_bytes: u64 = 65_536, (64, 16_777_216), "The maximum size of a request body in bytes.";
        body_idle: Duration = Duration::from_secs(30), (100, 600_000), "The longest time without a further byte of a request body.";
        shortest_deadline: Duration = Duration::from_millis(1), (1, 60_000), "The shortest deadline that a caller may request.";
        longest_deadline: Duration = Duration::from_secs(30), (1, 600_000), "The longest deadline that a caller may request.";
        margin: Duration = Duration::from_millis(4), (0, 10_000), "The part of a deadline reserved for merging and returning the response.";
        address_ttl: Duration = Duration::from_secs(3), (10, 3_600_000), "The time for which a caller may cache an address response.";
        failover: Duration = Duration::from_millis(15), (1, 60_000), "The time without a response from the first home of a cell after which the second is queried too.";
        keys: Duration = Duration::from_mins(10), (1000, 86_400_000), "The time for which a write key is valid.";
        drain: Duration = Duration::from_secs(30), (100, 3_600_000), "The maximum time that a graceful shutdown waits for requests in flight.";
    }
    gather {
        hedge: bool = true, (), "Whether slow sub-queries are hedged to another replica.";
        hedge_floor: Duration = Duration::from_millis(2), (0, 60_000), "The minimum delay before a hedge.";
        retry: bool = true, (), "Whether failed sub-queries are retried on another replica.";
        pick: bool = true, (), "Whether the better of two replicas is chosen instead of the first.";
        queue: u64 = 64, (1, 65_536), "The maximum number of sub-queries queued for one searcher.";
        dial: Duration = Duration::from_millis(250), (1, 60_000), "The timeout for establishing a connection.";
        status: Duration = Duration::from_millis(500), (20, 600_000), "The interval between status requests to each searcher.";
    }
}

/// Describes the keys of a section, or all sections if there is none of that name.
fn allowed_keys(section: &str) -> String {
    let keys: Vec<_> =
        Settings::KEYS.iter().filter(|key| key.section == section).map(|key| key.name).collect();
    if keys.is_empty() {
        let mut sections: Vec<_> = Settings::KEYS.iter().map(|key| key.section).collect();
        sections.dedup();
        return format!("one of the sections {}", sections.join(", "));
    }
    format!("one of the keys {}", keys.join(", "))
}

impl Settings {
    /// Parses and validates an INI file; the error lists everything that is invalid.
    pub fn parse(text: &str) -> Result<Self, ValidationError> {
        let reject = |violations| ValidationError {
            step: Step("check settings"),
            peer: Peer::Local,
            violations,
        };
        let ini = Ini::load_from_str(text).map_err(|error| {
            let position = format!("line {} column {}", error.line, error.col);
            reject(vec![Violation::new(position, &*error.msg, "INI sections and keys")])
        })?;
        let mut settings = Self::default();
        let mut violations = Vec::new();
        let mut seen = HashSet::new();
        for (section, keys) in &ini {
            let section = section.unwrap_or_default();
            for (key, text) in keys {
                if !seen.insert((section, key)) {
                    violations.push(Violation::new(
                        format!("[{section}] {key}"),
                        text,
                        "each key once",
                    ));
                }
                if let Err(allowed) = settings.set(section, key, text) {
                    violations.push(Violation::new(format!("[{section}] {key}"), text, allowed));
                }
            }
        }
        settings.check_constraints(&mut violations);
        if violations.is_empty() { Ok(settings) } else { Err(reject(violations)) }
    }

    /// Checks the constraints between settings.
    fn check_constraints(&self, violations: &mut Vec<Violation>) {
        if self.entry.shortest_deadline > self.entry.longest_deadline {
            let found = format!("{} ms", self.entry.shortest_deadline.as_millis());
            let allowed = "at most longest_deadline";
            violations.push(Violation::new("[entry] shortest_deadline", found, allowed));
        }
        if self.control.answer >= self.control.probe {
            let found = format!("{} ms", self.control.answer.as_millis());
            violations.push(Violation::new("[control] answer", found, "less than probe"));
        }
    }

    /// Formats the section, key and description of every setting, one per line.
    pub fn help() -> String {
        let line = |key: &Setting| format!("[{}] {}: {}", key.section, key.name, key.help);
        Self::KEYS.iter().map(line).collect::<Vec<_>>().join("\n")
    }
}
