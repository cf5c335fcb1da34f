//! The settings of a process, declared in one table.
//!
//! The table below is the only place that knows a setting: its section, key, type,
//! default, range and meaning. The struct, the defaults, the check and the help
//! text are made from it.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_base::{Name, Peer, Step};
use ini::Ini;

use crate::flaw::{Flaw, Refusal};

/// A declared setting, for help texts and checks.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The section of the INI file.
    pub section: &'static str,
    /// The key within the section.
    pub name: &'static str,
    /// What the setting does.
    pub help: &'static str,
}

/// A type that a setting can have: read from text within bounds.
trait Value: Sized {
    type Bounds;
    fn read(text: &str, bounds: &Self::Bounds) -> Option<Self>;
    fn allowed(bounds: &Self::Bounds) -> String;
}

impl Value for u64 {
    type Bounds = (u64, u64);

    fn read(text: &str, bounds: &Self::Bounds) -> Option<Self> {
        text.parse().ok().filter(|number| (bounds.0..=bounds.1).contains(number))
    }

    fn allowed(bounds: &Self::Bounds) -> String {
        format!("a whole number from {} to {}", bounds.0, bounds.1)
    }
}

impl Value for u16 {
    type Bounds = (u16, u16);

    fn read(text: &str, bounds: &Self::Bounds) -> Option<Self> {
        text.parse().ok().filter(|port| (bounds.0..=bounds.1).contains(port))
    }

    fn allowed(bounds: &Self::Bounds) -> String {
        format!("a port from {} to {}", bounds.0, bounds.1)
    }
}

impl Value for Duration {
    /// The bounds in milliseconds.
    type Bounds = (u64, u64);

    fn read(text: &str, bounds: &Self::Bounds) -> Option<Self> {
        u64::read(text, bounds).map(Self::from_millis)
    }

    fn allowed(bounds: &Self::Bounds) -> String {
        format!("milliseconds from {} to {}", bounds.0, bounds.1)
    }
}

impl Value for bool {
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

impl Value for Ipv4Addr {
    type Bounds = ();

    fn read(text: &str, _bounds: &()) -> Option<Self> {
        text.parse().ok().filter(|address: &Self| !address.is_unspecified())
    }

    fn allowed(_bounds: &()) -> String {
        "an IPv4 number of this instance".to_owned()
    }
}

impl Value for SocketAddr {
    type Bounds = ();

    fn read(text: &str, _bounds: &()) -> Option<Self> {
        text.parse().ok()
    }

    fn allowed(_bounds: &()) -> String {
        "an IP number and a port".to_owned()
    }
}

impl Value for Name {
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
            /// Every declared setting, in the order of the table.
            pub const KEYS: &[Key] = &[
                $($(Key {
                    section: stringify!($section),
                    name: stringify!($key),
                    help: $help,
                },)*)*
            ];

            /// Sets one key, or says what is allowed there.
            fn set(&mut self, section: &str, key: &str, text: &str) -> Result<(), String> {
                match (section, key) {
                    $($((stringify!($section), stringify!($key)) => {
                        self.$section.$key = <$type as Value>::read(text, &$bounds)
                            .ok_or_else(|| <$type as Value>::allowed(&$bounds))?;
                        Ok(())
                    })*)*
                    _ => Err(known(section)),
                }
            }
        }
    };
}

settings! {
    instance {
        address: Ipv4Addr = Ipv4Addr::LOCALHOST, (), "The IPv4 number at which this instance is reached.";
        zone: Name = Name::from("local"), (), "The availability zone of this instance.";
    }
    platform {
        configuration: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7300)), (), "The configuration service.";
        instances: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7301)), (), "The instance list.";
        timeout: Duration = Duration::from_secs(1), (10, 60_000), "How long the platform may be silent during a read.";
        poll: Duration = Duration::from_secs(1), (50, 600_000), "How often the instance list is read.";
    }
    ports {
        entry_callers: u16 = 7400, (1, 65_535), "Callers' HTTP on each entry.";
        entry_peers: u16 = 7401, (1, 65_535), "Requests between entries.";
        entry_control: u16 = 7402, (1, 65_535), "The control datagrams and streams of each entry.";
        entry_admin: u16 = 7403, (1, 65_535), "Metrics and state of each entry.";
        gather_peers: u16 = 7411, (1, 65_535), "Sub-queries to each gather.";
        gather_control: u16 = 7412, (1, 65_535), "The control datagrams and streams of each gather.";
        gather_admin: u16 = 7413, (1, 65_535), "Metrics and state of each gather.";
    }
    control {
        probe: Duration = Duration::from_millis(500), (20, 60_000), "How often one other member is probed.";
        answer: Duration = Duration::from_millis(150), (5, 60_000), "How long a probe may stay unanswered before others are asked.";
        suspicion: Duration = Duration::from_secs(2), (50, 600_000), "How long a suspect may refute before it counts as unreachable.";
        direct: Duration = Duration::from_secs(10), (100, 3_600_000), "The shortest time between two direct reads of the configuration service.";
        pause: Duration = Duration::from_millis(400), (50, 60_000), "A gap of the clock above this means that the process slept.";
        readers: u64 = 2, (1, 16), "How many members of each zone hold a watch on the configuration service.";
    }
    entry {
        body_bytes: u64 = 65_536, (64, 16_777_216), "The largest request body.";
        shortest_deadline: Duration = Duration::from_millis(1), (1, 60_000), "The shortest deadline that a caller may ask for.";
        longest_deadline: Duration = Duration::from_secs(30), (1, 600_000), "The longest deadline that a caller may ask for.";
        margin: Duration = Duration::from_millis(4), (0, 10_000), "The part of a deadline kept for the merge and the way back.";
        address_ttl: Duration = Duration::from_secs(3), (10, 3_600_000), "How long a caller may keep an address answer.";
        failover: Duration = Duration::from_millis(15), (1, 60_000), "How long the first home of a cell may stay silent before the second is asked too.";
        keys: Duration = Duration::from_mins(10), (1000, 86_400_000), "How long a write key can be used.";
        drain: Duration = Duration::from_secs(30), (100, 3_600_000), "The longest time that a planned stop waits for requests in flight.";
    }
    gather {
        hedge: bool = true, (), "Whether slow sub-queries are hedged to another replica.";
        hedge_floor: Duration = Duration::from_millis(2), (0, 60_000), "The shortest wait before a hedge.";
        retry: bool = true, (), "Whether failed sub-queries go to another replica.";
        pick: bool = true, (), "Whether the better of two replicas is picked, in place of the first.";
        queue: u64 = 64, (1, 65_536), "How many sub-queries may wait for one searcher.";
        dial: Duration = Duration::from_millis(250), (1, 60_000), "How long a new connection may take.";
        status: Duration = Duration::from_millis(500), (20, 600_000), "How often each searcher is asked for its status.";
    }
}

fn known(section: &str) -> String {
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
    /// Parses and checks the text of an INI file, or refuses it with every fault.
    pub fn parse(text: &str) -> Result<Self, Refusal> {
        let refuse = |flaws| Refusal { step: Step("check settings"), peer: Peer::Here, flaws };
        let ini = Ini::load_from_str(text).map_err(|error| {
            let place = format!("line {} column {}", error.line, error.col);
            refuse(vec![Flaw::new(place, &*error.msg, "INI sections and keys")])
        })?;
        let mut settings = Self::default();
        let mut flaws = Vec::new();
        let mut seen = HashSet::new();
        for (section, keys) in &ini {
            let section = section.unwrap_or_default();
            for (key, text) in keys {
                if !seen.insert((section, key)) {
                    flaws.push(Flaw::new(format!("[{section}] {key}"), text, "each key once"));
                }
                if let Err(allowed) = settings.set(section, key, text) {
                    flaws.push(Flaw::new(format!("[{section}] {key}"), text, allowed));
                }
            }
        }
        settings.check(&mut flaws);
        if flaws.is_empty() { Ok(settings) } else { Err(refuse(flaws)) }
    }

    /// Checks what no single key can know.
    fn check(&self, flaws: &mut Vec<Flaw>) {
        if self.entry.shortest_deadline > self.entry.longest_deadline {
            let found = format!("{} ms", self.entry.shortest_deadline.as_millis());
            let allowed = "at most longest_deadline";
            flaws.push(Flaw::new("[entry] shortest_deadline", found, allowed));
        }
        if self.control.answer >= self.control.probe {
            let found = format!("{} ms", self.control.answer.as_millis());
            flaws.push(Flaw::new("[control] answer", found, "less than probe"));
        }
    }

    /// Lists every setting with its section and meaning, for help texts.
    pub fn help() -> String {
        let line = |key: &Key| format!("[{}] {}: {}", key.section, key.name, key.help);
        Self::KEYS.iter().map(line).collect::<Vec<_>>().join("\n")
    }
}
