//! Who takes part in a drill, and how a file names some of them. It owns zones and regions, and must never draw by
//! anything but the stream of chance it is given.

use std::collections::BTreeMap;

use ochreshed_emulator::random::RandomStream;

/// One end of a link. Clients stand by zone, for the front that deals them out does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    Clients(usize),
    Balancer(usize),
    Srv(usize),
    Discovery,
}

/// All that there are.
#[derive(Clone, Debug)]
pub struct Parties {
    pub balancers: usize,
    pub srvs: usize,
    pub zones: Vec<String>,
    pub regions: BTreeMap<String, Vec<String>>,
}

/// Some of them: terms such as `balancers`, `srvs:b`, `balancers:0-16`, `balancers:7/10`, `zone:a`, `region:west`.
#[derive(Clone, Debug, PartialEq)]
pub struct Who(Vec<Term>);

#[derive(Clone, Debug, PartialEq)]
struct Term {
    kind: Kind,
    which: Which,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    All,
    Balancers,
    Srvs,
    Clients,
    Discovery,
    /// All but discovery that stands in a zone, or in a region.
    Zone,
    Region,
}

#[derive(Clone, Debug, PartialEq)]
enum Which {
    Every,
    Named(String),
    Numbers(usize, usize),
    /// So many of so many, drawn.
    Part(usize, usize),
}

const KINDS: [(&str, Kind); 7] = [
    ("all", Kind::All),
    ("balancers", Kind::Balancers),
    ("srvs", Kind::Srvs),
    ("clients", Kind::Clients),
    ("discovery", Kind::Discovery),
    ("zone", Kind::Zone),
    ("region", Kind::Region),
];

impl Who {
    pub fn parse(text: &str) -> Result<Who, String> {
        let terms = text.split(',').map(|term| Term::parse(term.trim())).collect::<Result<Vec<_>, _>>()?;
        Ok(Who(terms))
    }

    /// Whether all terms are of this kind.
    pub fn kind_only(&self, kind: &str) -> bool {
        self.0.iter().all(|term| KINDS.contains(&(kind, term.kind)))
    }
}

impl Term {
    fn parse(text: &str) -> Result<Term, String> {
        let (kind, which) = text.split_once(':').map_or((text, None), |(kind, which)| (kind, Some(which)));
        let known = KINDS.iter().find(|(name, _)| *name == kind);
        let Some((_, kind)) = known else {
            let near = KINDS.iter().min_by_key(|(name, _)| strsim::damerau_levenshtein(kind, name));
            let near = near.map_or("", |(name, _)| name);
            return Err(format!("`{kind}` is nobody here; the nearest right name is `{near}`"));
        };
        let numbers = |text: &str, by: char| {
            let (from, to) = text.split_once(by)?;
            Some((from.parse().ok()?, to.parse().ok()?))
        };
        let which = match which {
            None => Which::Every,
            Some(text) => match (numbers(text, '-'), numbers(text, '/'), text.parse()) {
                (Some((from, to)), _, _) => Which::Numbers(from, to),
                (_, Some((part, of)), _) => Which::Part(part, of),
                (_, _, Ok(number)) => Which::Numbers(number, number),
                _ => Which::Named(text.to_owned()),
            },
        };
        let named = matches!(which, Which::Named(_));
        match kind {
            Kind::Zone | Kind::Region if !named => Err(format!("`{text}`: which one?")),
            Kind::All | Kind::Discovery if which != Which::Every => {
                Err(format!("`{text}`: there is but one"))
            }
            _ => Ok(Term { kind: *kind, which }),
        }
    }
}

impl Parties {
    /// The zone that the number-th balancer or srv stands in.
    pub fn zone(&self, number: usize) -> usize {
        number % self.zones.len()
    }

    pub fn zone_of(&self, party: Party) -> Option<usize> {
        match party {
            Party::Clients(zone) => Some(zone),
            Party::Balancer(number) | Party::Srv(number) => Some(self.zone(number)),
            Party::Discovery => None,
        }
    }

    /// The region of a zone; all are one where none is told.
    pub fn region(&self, zone: usize) -> &str {
        let held = self.regions.iter().find(|(_, zones)| zones.contains(&self.zones[zone]));
        held.map_or("all", |(name, _)| name)
    }

    pub fn check(&self, who: &Who) -> Result<(), String> {
        for Term { kind, which } in &who.0 {
            let number = match kind {
                Kind::Balancers => self.balancers,
                Kind::Srvs => self.srvs,
                _ => self.zones.len(),
            };
            match which {
                Which::Every => {}
                Which::Numbers(from, to) if from > to || *to >= number => {
                    return Err(format!("{from}-{to}: there are {number}, counted from 0"));
                }
                Which::Part(part, of) if part > of || *of == 0 => {
                    return Err(format!("{part}/{of} is no part"));
                }
                Which::Named(name) if *kind == Kind::Region && !self.regions.contains_key(name) => {
                    return Err(format!("there is no region {name}"));
                }
                Which::Named(name) if *kind != Kind::Region && !self.zones.contains(name) => {
                    return Err(format!("there is no zone {name}"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Those named, in order, each once.
    pub fn of(&self, who: &Who, chance: &mut RandomStream) -> Vec<Party> {
        let mut found: Vec<Party> = Vec::new();
        for Term { kind, which } in &who.0 {
            let balancers = (0..self.balancers).map(Party::Balancer);
            let srvs = (0..self.srvs).map(Party::Srv);
            let clients = (0..self.zones.len()).map(Party::Clients);
            let mut of: Vec<Party> = match kind {
                Kind::Balancers => balancers.collect(),
                Kind::Srvs => srvs.collect(),
                Kind::Clients => clients.collect(),
                Kind::Discovery => vec![Party::Discovery],
                Kind::All => balancers.chain(srvs).chain(clients).chain([Party::Discovery]).collect(),
                Kind::Zone | Kind::Region => balancers.chain(srvs).chain(clients).collect(),
            };
            match which {
                Which::Every => {}
                Which::Numbers(from, to) => of = of.drain(*from..=(*to).min(of.len() - 1)).collect(),
                Which::Named(name) => of.retain(|party| {
                    let zone = self.zone_of(*party);
                    zone.is_some_and(|zone| match kind {
                        Kind::Region => self.region(zone) == name,
                        _ => self.zones[zone] == *name,
                    })
                }),
                Which::Part(part, all) => {
                    // Drawn without putting back; the count is rounded to the nearest.
                    let most = (of.len() * part + all / 2) / all;
                    for at in 0..most {
                        let other = at + chance.sample_below(of.len() - at);
                        of.swap(at, other);
                    }
                    of.truncate(most);
                }
            }
            found.extend(of);
        }
        found.sort_unstable();
        found.dedup();
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parties() -> Parties {
        let zones = ["a", "b", "c"].map(str::to_owned).to_vec();
        let regions = [("west".to_owned(), zones[..2].to_vec()), ("east".to_owned(), zones[2..].to_vec())];
        Parties { balancers: 6, srvs: 9, zones, regions: regions.into() }
    }

    #[test]
    fn terms_name_those_they_say() {
        let parties = parties();
        let of = |text: &str, seed| {
            let who = Who::parse(text).expect(text);
            parties.check(&who).expect(text);
            parties.of(&who, &mut RandomStream::new(seed, "script"))
        };
        use Party::*;
        assert_eq!(of("balancers:0-1, srvs:8, balancers:1", 1), [Balancer(0), Balancer(1), Srv(8)]);
        assert_eq!(of("zone:b", 1), [Clients(1), Balancer(1), Balancer(4), Srv(1), Srv(4), Srv(7)]);
        assert_eq!(of("region:east", 1), [Clients(2), Balancer(2), Balancer(5), Srv(2), Srv(5), Srv(8)]);
        assert_eq!(of("balancers:2/3", 1).len(), 4);
        assert_eq!(of("balancers:2/3", 1), of("balancers:2/3", 1));
        assert!((1..20).any(|seed| of("balancers:2/3", seed) != of("balancers:2/3", 1)), "always the same");
        assert_eq!(of("all", 1).len(), 6 + 9 + 3 + 1);
    }

    #[test]
    fn what_names_nobody_is_refused() {
        let error = |text: &str| Who::parse(text).and_then(|who| parties().check(&who)).expect_err(text);
        assert_eq!(error("balancer"), "`balancer` is nobody here; the nearest right name is `balancers`");
        assert_eq!(error("zone"), "`zone`: which one?");
        assert_eq!(error("zone:d"), "there is no zone d");
        assert_eq!(error("srvs:3-9"), "3-9: there are 9, counted from 0");
        assert_eq!(error("srvs:3/0"), "3/0 is no part");
        assert_eq!(error("discovery:1"), "`discovery:1`: there is but one");
    }
}
