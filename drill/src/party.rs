//! The parties of a drill, their zones and regions, and the selectors by which a drill file names some of them.
//! All random draws come from the stream that the caller passes.

use std::collections::BTreeMap;

use ochreshed_emulator::random::RandomStream;

/// One end of a link. Clients are grouped by zone, as connections are routed by zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// All clients of a zone.
    Clients(usize),
    Balancer(usize),
    Server(usize),
    Discovery,
}

/// All parties of a drill.
#[derive(Clone, Debug)]
pub struct Parties {
    pub balancers: usize,
    pub servers: usize,
    pub zones: Vec<String>,
    /// The zones of each region.
    pub regions: BTreeMap<String, Vec<String>>,
}

/// A union of terms such as `balancers`, `srvs:b`, `balancers:0-16`, `balancers:7/10`, `zone:a` or `region:west`.
#[derive(Clone, Debug, PartialEq)]
pub struct PartySelector(Vec<SelectorTerm>);

#[derive(Clone, Debug, PartialEq)]
struct SelectorTerm {
    kind: PartyKind,
    filter: TermFilter,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartyKind {
    All,
    Balancers,
    Servers,
    Clients,
    Discovery,
    /// All parties but discovery in a zone.
    Zone,
    /// All parties but discovery in a region.
    Region,
}

#[derive(Clone, Debug, PartialEq)]
enum TermFilter {
    All,
    /// Those in this zone or region.
    Named(String),
    /// From one number to another, both included.
    Range(usize, usize),
    /// Numerator and denominator of the share that is drawn at random.
    Fraction(usize, usize),
}

/// The kinds by their names in drill files.
const KINDS: [(&str, PartyKind); 7] = [
    ("all", PartyKind::All),
    ("balancers", PartyKind::Balancers),
    ("srvs", PartyKind::Servers),
    ("clients", PartyKind::Clients),
    ("discovery", PartyKind::Discovery),
    ("zone", PartyKind::Zone),
    ("region", PartyKind::Region),
];

impl PartySelector {
    pub fn parse(text: &str) -> Result<PartySelector, String> {
        let terms =
            text.split(',').map(|term| SelectorTerm::parse(term.trim())).collect::<Result<Vec<_>, _>>()?;
        Ok(PartySelector(terms))
    }

    /// Whether all terms are of the kind with this name.
    pub fn has_only_kind(&self, kind: &str) -> bool {
        self.0.iter().all(|term| KINDS.contains(&(kind, term.kind)))
    }
}

impl SelectorTerm {
    fn parse(text: &str) -> Result<SelectorTerm, String> {
        let (kind, filter) = text.split_once(':').map_or((text, None), |(kind, filter)| (kind, Some(filter)));
        let known = KINDS.iter().find(|(name, _)| *name == kind);
        let Some((_, kind)) = known else {
            let closest = KINDS.iter().min_by_key(|(name, _)| strsim::damerau_levenshtein(kind, name));
            let closest = closest.map_or("", |(name, _)| name);
            return Err(format!("`{kind}` is no kind of party; the nearest right name is `{closest}`"));
        };
        let parse_pair = |text: &str, separator: char| {
            let (first, second) = text.split_once(separator)?;
            Some((first.parse().ok()?, second.parse().ok()?))
        };
        let filter = match filter {
            None => TermFilter::All,
            Some(text) => match (parse_pair(text, '-'), parse_pair(text, '/'), text.parse()) {
                (Some((first, last)), _, _) => TermFilter::Range(first, last),
                (_, Some((numerator, denominator)), _) => TermFilter::Fraction(numerator, denominator),
                (_, _, Ok(number)) => TermFilter::Range(number, number),
                _ => TermFilter::Named(text.to_owned()),
            },
        };
        let is_named = matches!(filter, TermFilter::Named(_));
        match kind {
            PartyKind::Zone | PartyKind::Region if !is_named => Err(format!("`{text}`: the name is missing")),
            PartyKind::All | PartyKind::Discovery if filter != TermFilter::All => {
                Err(format!("`{text}`: this kind takes no name or number"))
            }
            _ => Ok(SelectorTerm { kind: *kind, filter }),
        }
    }
}

impl Parties {
    /// The zone of the balancer or server with this number.
    pub fn zone(&self, number: usize) -> usize {
        number % self.zones.len()
    }

    pub fn zone_of(&self, party: Party) -> Option<usize> {
        match party {
            Party::Clients(zone) => Some(zone),
            Party::Balancer(number) | Party::Server(number) => Some(self.zone(number)),
            Party::Discovery => None,
        }
    }

    /// The region of a zone; `all` if no region holds it.
    pub fn region(&self, zone: usize) -> &str {
        let region = self.regions.iter().find(|(_, zones)| zones.contains(&self.zones[zone]));
        region.map_or("all", |(name, _)| name)
    }

    /// Checks that the selector names existing parties.
    pub fn check(&self, selector: &PartySelector) -> Result<(), String> {
        for SelectorTerm { kind, filter } in &selector.0 {
            let count = match kind {
                PartyKind::Balancers => self.balancers,
                PartyKind::Servers => self.servers,
                _ => self.zones.len(),
            };
            match filter {
                TermFilter::All => {}
                TermFilter::Range(first, last) if first > last || *last >= count => {
                    return Err(format!("{first}-{last}: there are {count}, counted from 0"));
                }
                TermFilter::Fraction(numerator, denominator)
                    if numerator > denominator || *denominator == 0 =>
                {
                    return Err(format!("{numerator}/{denominator} is not a fraction of at most 1"));
                }
                TermFilter::Named(name) if *kind == PartyKind::Region && !self.regions.contains_key(name) => {
                    return Err(format!("there is no region {name}"));
                }
                TermFilter::Named(name) if *kind != PartyKind::Region && !self.zones.contains(name) => {
                    return Err(format!("there is no zone {name}"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// The parties that the selector names, in order and without duplicates.
    pub fn select(&self, selector: &PartySelector, random: &mut RandomStream) -> Vec<Party> {
        let mut selected: Vec<Party> = Vec::new();
        for SelectorTerm { kind, filter } in &selector.0 {
            let balancers = (0..self.balancers).map(Party::Balancer);
            let servers = (0..self.servers).map(Party::Server);
            let clients = (0..self.zones.len()).map(Party::Clients);
            let mut matching: Vec<Party> = match kind {
                PartyKind::Balancers => balancers.collect(),
                PartyKind::Servers => servers.collect(),
                PartyKind::Clients => clients.collect(),
                PartyKind::Discovery => vec![Party::Discovery],
                PartyKind::All => balancers.chain(servers).chain(clients).chain([Party::Discovery]).collect(),
                PartyKind::Zone | PartyKind::Region => balancers.chain(servers).chain(clients).collect(),
            };
            match filter {
                TermFilter::All => {}
                TermFilter::Range(first, last) => {
                    matching = matching.drain(*first..=(*last).min(matching.len() - 1)).collect()
                }
                TermFilter::Named(name) => matching.retain(|party| {
                    let zone = self.zone_of(*party);
                    zone.is_some_and(|zone| match kind {
                        PartyKind::Region => self.region(zone) == name,
                        _ => self.zones[zone] == *name,
                    })
                }),
                TermFilter::Fraction(numerator, denominator) => {
                    // Drawn without replacement; the count is rounded to the nearest.
                    let count = (matching.len() * numerator + denominator / 2) / denominator;
                    for index in 0..count {
                        let other = index + random.sample_below(matching.len() - index);
                        matching.swap(index, other);
                    }
                    matching.truncate(count);
                }
            }
            selected.extend(matching);
        }
        selected.sort_unstable();
        selected.dedup();
        selected
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parties() -> Parties {
        let zones = ["a", "b", "c"].map(str::to_owned).to_vec();
        let regions = [("west".to_owned(), zones[..2].to_vec()), ("east".to_owned(), zones[2..].to_vec())];
        Parties { balancers: 6, servers: 9, zones, regions: regions.into() }
    }

    #[test]
    fn selectors_select_the_parties_they_name() {
        let parties = parties();
        let select = |text: &str, seed| {
            let selector = PartySelector::parse(text).expect(text);
            parties.check(&selector).expect(text);
            parties.select(&selector, &mut RandomStream::new(seed, "script"))
        };
        use Party::*;
        assert_eq!(select("balancers:0-1, srvs:8, balancers:1", 1), [Balancer(0), Balancer(1), Server(8)]);
        assert_eq!(
            select("zone:b", 1),
            [Clients(1), Balancer(1), Balancer(4), Server(1), Server(4), Server(7)]
        );
        assert_eq!(
            select("region:east", 1),
            [Clients(2), Balancer(2), Balancer(5), Server(2), Server(5), Server(8)]
        );
        assert_eq!(select("balancers:2/3", 1).len(), 4);
        assert_eq!(select("balancers:2/3", 1), select("balancers:2/3", 1));
        assert!(
            (1..20).any(|seed| select("balancers:2/3", seed) != select("balancers:2/3", 1)),
            "the same balancers with every seed"
        );
        assert_eq!(select("all", 1).len(), 6 + 9 + 3 + 1);
    }

    #[test]
    fn selectors_that_name_no_party_are_rejected() {
        let error = |text: &str| {
            PartySelector::parse(text).and_then(|selector| parties().check(&selector)).expect_err(text)
        };
        assert_eq!(
            error("balancer"),
            "`balancer` is no kind of party; the nearest right name is `balancers`"
        );
        assert_eq!(error("zone"), "`zone`: the name is missing");
        assert_eq!(error("zone:d"), "there is no zone d");
        assert_eq!(error("srvs:3-9"), "3-9: there are 9, counted from 0");
        assert_eq!(error("srvs:3/0"), "3/0 is not a fraction of at most 1");
        assert_eq!(error("discovery:1"), "`discovery:1`: this kind takes no name or number");
    }
}
