//! Trace tests of the view and of failure detection.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Seed};
use bergamot_filetest::{check, trace};
use bergamot_members::{
    Digest, Endpoint, ListedInstance, Membership, Outgoing, Record, Role, State, Timing, View,
};

fn view(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut view = View::default();
        trace(input, |_now, command| view_step(&mut view, command))
    })
}

fn view_step(view: &mut View, command: &[&str]) -> String {
    match command {
        ["apply", member, incarnation, counter, state] => {
            let changed = view.apply(&record(member, incarnation, counter, state));
            let known = view.get(endpoint(member)).map(ToString::to_string);
            format!("{} {}", if changed { "news" } else { "old" }, known.unwrap_or_default())
        }
        ["list", items @ ..] => {
            let listed = |item: &&str| {
                let (name, leaving) = match item.strip_suffix('!') {
                    Some(name) => (name, true),
                    None => (*item, false),
                };
                ListedInstance { ip: endpoint(name).ip, zone: Name::from("z"), leaving }
            };
            let news = view.apply_list(&items.iter().map(listed).collect::<Vec<_>>());
            news.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
        }
        ["takes_work", member] => view.takes_work(endpoint(member)).to_string(),
        ["placed"] => {
            let placed =
                view.placement_candidates(Role::Gather).map(|record| record.endpoint.to_string());
            placed.collect::<Vec<_>>().join(" ")
        }
        ["dump"] => view.to_string().trim_end().replace('\n', " | "),
        _ => "unknown command".to_owned(),
    }
}

/// Parses a member, written as the last octet of its IP address. It is a gather.
fn endpoint(member: &str) -> Endpoint {
    let last = member.parse().unwrap_or(0);
    Endpoint { ip: Ipv4Addr::new(127, 0, 0, last), role: Role::Gather }
}

fn record(member: &str, incarnation: &str, counter: &str, state: &str) -> Record {
    let state = match state {
        "alive" => State::Alive,
        "suspect" => State::Suspect,
        "unreachable" => State::Unreachable,
        "leaving" => State::Leaving,
        _ => State::Left,
    };
    Record {
        endpoint: endpoint(member),
        zone: Name::from("z"),
        incarnation: incarnation.parse().unwrap_or(0),
        counter: counter.parse().unwrap_or(0),
        state,
        weight: 0,
        protocol: 0,
    }
}

/// A network of members that delivers datagrams immediately, except to and from members that are
/// down.
struct Net {
    members: BTreeMap<Endpoint, Membership>,
    down: Vec<Endpoint>,
    sent: usize,
}

fn prober(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut net = Net { members: BTreeMap::new(), down: Vec::new(), sent: 0 };
        trace(input, |now, command| net.step(now, command))
    })
}

impl Net {
    fn step(&mut self, now: Instant, command: &[&str]) -> String {
        match command {
            ["start", members @ ..] => {
                let known: Vec<_> = members.iter().map(|m| record(m, "0", "0", "alive")).collect();
                for member in members {
                    self.start(now, member, &known);
                }
                self.members.len().to_string()
            }
            ["run", ms] => {
                self.run(now, Duration::from_millis(ms.parse().unwrap_or(0)));
                self.states()
            }
            ["down", member] => {
                self.down.push(endpoint(member));
                self.states()
            }
            ["up", member] => {
                self.down.retain(|down| *down != endpoint(member));
                self.states()
            }
            ["leave", member] => {
                let leaver = self.members.get_mut(&endpoint(member)).expect("is started");
                let out = leaver.announce_departure(now, State::Leaving, Digest::default());
                self.deliver(now, out);
                self.states()
            }
            ["rate"] => format!("{} datagrams", std::mem::take(&mut self.sent)),
            _ => "unknown command".to_owned(),
        }
    }

    fn start(&mut self, now: Instant, member: &str, known: &[Record]) {
        let timing = Timing {
            probe: Duration::from_millis(100),
            answer: Duration::from_millis(30),
            suspicion: Duration::from_millis(300),
        };
        let me = record(member, "1", "0", "alive");
        let (at, rng) = (me.endpoint, Seed(1).generator(member));
        let mut membership = Membership::new(now, timing, me, Vec::new(), rng);
        membership.merge_records(now, known);
        self.members.insert(at, membership);
    }

    /// Advances time in steps of 10 ms.
    fn run(&mut self, now: Instant, time: Duration) {
        let mut moment = now;
        while moment < now + time {
            moment += Duration::from_millis(10);
            let endpoints: Vec<_> = self.members.keys().copied().collect();
            for endpoint in
                endpoints.into_iter().filter(|e| !self.down.contains(e)).collect::<Vec<_>>()
            {
                let member = self.members.get_mut(&endpoint).expect("is a key");
                let out = member.tick(moment, Digest::default());
                self.deliver(moment, out);
            }
        }
    }

    fn deliver(&mut self, now: Instant, out: Vec<Outgoing>) {
        let mut queue = out;
        while let Some(Outgoing { to, datagram }) = queue.pop() {
            self.sent += 1;
            if self.down.contains(&to) || self.down.contains(&datagram.from.endpoint) {
                continue;
            }
            if let Some(member) = self.members.get_mut(&to) {
                queue.extend(member.receive(now, &datagram, Digest::default()));
            }
        }
    }

    /// Returns the state of every gather in the view of the first member that is up.
    fn states(&self) -> String {
        let observer = self.members.iter().find(|(endpoint, _)| !self.down.contains(endpoint));
        let Some((_, observer)) = observer else {
            return "nobody is up".to_owned();
        };
        let gathers = observer.view().iter().filter(|record| record.endpoint.role == Role::Gather);
        let states =
            gathers.map(|r| format!("{}:{}.{}", r.endpoint.ip.octets()[3], r.state, r.counter));
        states.collect::<Vec<_>>().join(" ")
    }
}

datatest_stable::harness! {
    { test = view, root = "tests/filetests/view", pattern = r"\.txt$" },
    { test = prober, root = "tests/filetests/prober", pattern = r"\.txt$" },
}
