//! The overlay of members' routes: whatever the documents, no member goes beyond what it is allowed, and no member's
//! change touches another's routes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use expect_test::expect;
use ochreshed_catalog::configuration::{Configuration, Name, Route, WeightedService};
use ochreshed_catalog::members::{MemberDocument, MemberRegister};
use ochreshed_catalog::overlay::{
    MemberDocuments, apply_overlay, check_document, effective_document, is_in_canary, plan_change,
};
use proptest::collection::vec;
use proptest::prelude::*;

const HOSTS: [&str; 2] = ["h0", "h1"];
const PREFIXES: [&str; 9] = ["/", "/a/", "/a", "/a/b/", "/a/bc", "/b/", "/ab/", "/b/c/", "/b/c"];
/// The scopes; none lies within another, so that each may be of any member.
const PLACES: [(&str, &str); 5] =
    [("h0", "/a/"), ("h0", "/b/c/"), ("h0", "/ab/"), ("h1", "/a/b/"), ("h1", "/b/")];
const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];
const MEMBERS: [&str; 3] = ["m0", "m1", "m2"];

/// A route's host, prefix, deadline, latency target, priority, attempts, and the weights of the services.
type RouteSpec = (usize, usize, (u64, u64), (u32, u32), [u8; 4]);
/// A member's limits of routes, attempts, deadline and priority, and which services it may name.
type LimitSpec = (usize, u32, u64, u32, [bool; 4]);

#[derive(Clone, Debug)]
struct Scenario {
    platform: Vec<RouteSpec>,
    /// Which services the platform has.
    services: [bool; 4],
    /// The member that owns each scope; 3 is none.
    owners: [usize; 5],
    limits: [LimitSpec; 3],
    /// A member's routes; none has no document.
    docs: [Option<Vec<RouteSpec>>; 3],
}

fn route_spec() -> impl Strategy<Value = RouteSpec> {
    let shares = [0u8..3, 0u8..3, 0u8..3, 0u8..3];
    (0..HOSTS.len(), 0..PREFIXES.len(), (1u64..6, 1u64..6), (0u32..4, 1u32..4), shares)
}

fn limit_spec() -> impl Strategy<Value = LimitSpec> {
    (1usize..6, 1u32..4, 1u64..6, 0u32..3, [any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>()])
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let doc = || proptest::option::weighted(0.8, vec(route_spec(), 0..8));
    let owners = [0usize..4, 0usize..4, 0usize..4, 0usize..4, 0usize..4];
    let services = [any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>()];
    (
        vec(route_spec(), 0..8),
        services,
        owners,
        [limit_spec(), limit_spec(), limit_spec()],
        [doc(), doc(), doc()],
    )
        .prop_map(|(platform, services, owners, limits, docs)| Scenario {
            platform,
            services,
            owners,
            limits,
            docs,
        })
}

/// The routes as documents have them, one for each host and prefix, with these services only.
fn routes(all: &[RouteSpec], of: &str, there: [bool; 4]) -> Vec<String> {
    let mut written = BTreeMap::new();
    for (number, (host, prefix, (deadline, target), (rank, tries), shares)) in all.iter().enumerate() {
        let split: Vec<String> = (0..4)
            .filter(|at| there[*at])
            .map(|at| format!(r#"{{"line":"{}","share":{}}}"#, SERVICES[at], shares[at]))
            .collect();
        if (0..4).all(|at| !there[at] || shares[at] == 0) {
            continue;
        }
        let (host, prefix, split) = (HOSTS[*host], PREFIXES[*prefix], split.join(","));
        let text = format!(
            r#""depot":"{host}","lane_prefix":"{prefix}","route_kind":"once_only","deadline_ms":{deadline},
            "target_ms":{target},"post_class":{rank},"tries":{tries},"split":[{split}]"#
        );
        written.entry((host, prefix)).or_insert((number, format!("{of}-{number}"), text));
    }
    let mut written: Vec<_> = written.into_values().collect();
    written.sort();
    let entry = |(_, name, text): (usize, String, String)| match of {
        "p" => format!(r#"{{"category":"routes","label":{{"name":"{name}"}},"manifest":{{{text}}}}}"#),
        _ => format!(r#"{{"name":"{name}",{text}}}"#),
    };
    written.into_iter().map(entry).collect()
}

impl Scenario {
    fn configuration(&self) -> Configuration {
        let mut entries = routes(&self.platform, "p", self.services);
        for (name, _) in SERVICES.iter().zip(self.services).filter(|(_, there)| *there) {
            entries.push(format!(
                r#"{{"category":"mail_lines","label":{{"name":"{name}"}},"manifest":{{"health":"/","berth_cap":1}}}}"#
            ));
        }
        let text = format!(r#"{{"edition":"r1","consignments":[{}]}}"#, entries.join(","));
        Configuration::read(text.as_bytes()).expect("a configuration")
    }

    fn places(&self, member: usize) -> Vec<(&'static str, &'static str)> {
        let all = PLACES.into_iter().zip(self.owners);
        all.filter(|(_, owner)| *owner == member).map(|(place, _)| place).collect()
    }

    fn holds(&self, member: usize, host: &str, path: &str) -> bool {
        self.places(member).iter().any(|(at, prefix)| *at == host && path.starts_with(prefix))
    }

    /// The register in this order of members, which must not matter.
    fn register(&self, order: [usize; 3]) -> MemberRegister {
        let member = |number: usize| {
            let (routes, tries, deadline, rank, has) = self.limits[number];
            let places = self.places(number).into_iter();
            let places: Vec<String> =
                places.map(|(host, prefix)| format!(r#"{{"host":"{host}","prefix":"{prefix}"}}"#)).collect();
            let services: Vec<&str> =
                SERVICES.into_iter().zip(has).filter(|(_, has)| *has).map(|(name, _)| name).collect();
            format!(
                r#"{{"name":"m{number}","key_sha256":"{}","places":[{}],"services":{services:?},"limits":{{
                "routes":{routes},"tries":{tries},"deadline_ms":{deadline},"rank":{rank},"retry_share":0.{number},
                "slot_share":0.5}}}}"#,
                "0".repeat(64),
                places.join(","),
            )
        };
        let text = format!(r#"{{"edition":"r1","members":[{}]}}"#, order.map(member).join(","));
        MemberRegister::read(text.as_bytes()).expect("a register")
    }

    fn docs(&self) -> MemberDocuments {
        let read = |(number, doc): (usize, &Option<Vec<RouteSpec>>)| {
            let routes = routes(doc.as_ref()?, MEMBERS[number], [true; 4]).join(",");
            let text = format!(r#"{{"edition":"r1","routes":[{routes}]}}"#);
            Some((
                MEMBERS[number].into(),
                Arc::new(MemberDocument::read(text.as_bytes()).expect("a document")),
            ))
        };
        self.docs.iter().enumerate().filter_map(read).collect()
    }
}

fn of(route: &Route) -> Option<usize> {
    let share = route.share.as_ref()?;
    MEMBERS.iter().position(|name| **name == *share.member)
}

/// Every path that makes a difference.
fn paths() -> impl Iterator<Item = (&'static str, String)> {
    let paths = PREFIXES.iter().flat_map(|prefix| ["", "x", "/x"].map(|end| format!("{prefix}{end}")));
    paths.flat_map(|path| HOSTS.map(|host| (host, path.clone())))
}

fn all(configuration: &Configuration) -> Vec<Arc<Route>> {
    configuration.routes().cloned().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_member_goes_beyond_what_it_is_allowed(scenario in scenario()) {
        let (base, register, docs) = (scenario.configuration(), scenario.register([0, 1, 2]), scenario.docs());
        let effective = apply_overlay(&base, &register, &docs);
        let mut counts = [0; 3];
        for route in effective.configuration.routes() {
            let Some(member) = of(route) else {
                prop_assert!(base.routes().any(|one| one == route), "{route:?}");
                continue;
            };
            let (routes, tries, deadline, rank, has) = scenario.limits[member];
            counts[member] += 1;
            prop_assert!(counts[member] <= routes);
            prop_assert!(scenario.holds(member, &route.host, &route.prefix));
            prop_assert!(route.max_attempts <= tries && route.deadline_ms <= deadline && route.latency_target_ms <= deadline);
            prop_assert!(route.priority >= rank && route.max_attempts > 0 && route.deadline_ms > 0);
            for WeightedService { name, .. } in &route.services {
                let at = SERVICES.iter().position(|one| **one == **name).expect("a service");
                prop_assert!(has[at] && scenario.services[at]);
            }
            prop_assert!(route.services.iter().any(|service| service.weight > 0.0));
            let share = route.share.as_ref().expect("a share");
            prop_assert_eq!((share.retry, share.concurrency), (member as f64 / 10.0, 0.5));
        }
        // The longest prefix is found, and outside all scopes the platform's route.
        for (host, path) in paths() {
            let found = effective.configuration.route(host, &path);
            let longest = effective.configuration.routes().filter(|route| *route.host == *host && path.starts_with(&*route.prefix));
            prop_assert_eq!(found, longest.max_by_key(|route| route.prefix.len()));
            if (0..3).all(|member| !scenario.holds(member, host, &path)) {
                prop_assert_eq!(found, base.route(host, &path));
            }
        }
        // A platform's route is missing only where a member's replaces it.
        for route in base.routes() {
            let found = effective.configuration.routes().filter(|one| one.host == route.host && one.prefix == route.prefix);
            let found: Vec<_> = found.collect();
            prop_assert!(found.len() == 1 && (found[0] == route || found[0].share.is_some()));
        }
    }

    #[test]
    fn a_member_changes_no_other_routes(
        scenario in scenario(), doc in vec(route_spec(), 0..8), limit_spec in limit_spec(), who in 0usize..3,
    ) {
        let (base, register, docs) = (scenario.configuration(), scenario.register([0, 1, 2]), scenario.docs());
        let mut changed = scenario.clone();
        changed.docs[who] = Some(doc);
        let changed_docs = changed.docs();
        let (before, after) = (apply_overlay(&base, &register, &docs), apply_overlay(&base, &register, &changed_docs));
        let others = |configuration: &Configuration| {
            let mut routes = all(configuration);
            routes.retain(|route| !scenario.holds(who, &route.host, &route.prefix));
            routes
        };
        prop_assert_eq!(others(&before.configuration), others(&after.configuration));
        for (host, path) in paths().filter(|(host, path)| !scenario.holds(who, host, path)) {
            prop_assert_eq!(before.configuration.route(host, &path), after.configuration.route(host, &path));
        }
        // Nor do its limits.
        changed.limits[who] = limit_spec;
        let given = apply_overlay(&base, &changed.register([0, 1, 2]), &changed_docs);
        prop_assert_eq!(others(&before.configuration), others(&given.configuration));
        // The plan lists changes where there are any.
        let plan = plan_change(&base, &register, &docs, MEMBERS[who], &changed_docs[MEMBERS[who]]);
        prop_assert_eq!(plan.changes.is_empty(), {
            let sorted = |configuration: &Configuration| {
                let mut routes = all(configuration);
                routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
                routes
            };
            sorted(&before.configuration) == sorted(&after.configuration)
        });
    }

    #[test]
    fn equal_documents_give_equal_configurations(scenario in scenario()) {
        let base = scenario.configuration();
        let one = apply_overlay(&base, &scenario.register([0, 1, 2]), &scenario.docs());
        let docs: MemberDocuments = scenario.docs().into_iter().rev().collect();
        let other = apply_overlay(&base, &scenario.register([2, 0, 1]), &docs);
        prop_assert_eq!(all(&one.configuration), all(&other.configuration));
        prop_assert_eq!(one.violations, other.violations);
    }

    #[test]
    fn what_passes_the_check_is_in_force_as_written(scenario in scenario(), who in 0usize..3) {
        let (base, register, docs) = (scenario.configuration(), scenario.register([0, 1, 2]), scenario.docs());
        let Some(doc) = docs.get(MEMBERS[who]) else { return Ok(()) };
        let effective = apply_overlay(&base, &register, &docs);
        let violations_of_check = check_document(&base, &register, MEMBERS[who], doc);
        let violations: Vec<_> = effective.violations.iter().filter(|violation| *violation.member == *MEMBERS[who]).map(|violation| violation.violation.clone()).collect();
        prop_assert_eq!(&violations_of_check, &violations);
        for (index, route) in doc.routes.iter().enumerate() {
            let is_violated = violations_of_check.iter().any(|violation| violation.route.as_ref().is_some_and(|route| route.index == index));
            let found = effective.configuration.routes().find(|one| one.host == route.host && one.prefix == route.prefix);
            let as_written = found.is_some_and(|one| {
                of(one) == Some(who) && Route { share: None, ..Route::clone(one) } == **route
            });
            prop_assert_eq!(as_written, !is_violated, "{:?}", route);
        }
    }

    #[test]
    fn a_larger_canary_has_all_nodes_of_a_smaller_one(port in 1u16.., edition: u64, one in 0f64..1.0, more in 0f64..1.0) {
        let inbound_proxy = SocketAddr::from(([10, 1, 0, 8], port));
        prop_assert!(is_in_canary(inbound_proxy, "m", edition, 1.0) && !is_in_canary(inbound_proxy, "m", edition, 0.0));
        prop_assert!(!is_in_canary(inbound_proxy, "m", edition, one) || is_in_canary(inbound_proxy, "m", edition, one + more));
    }
}

#[test]
fn a_canary_has_its_share_of_the_nodes_in_every_version() {
    let inbound_proxy = |number: u32| SocketAddr::from((number.to_be_bytes(), 8300));
    let reached = |member: &str, edition| -> Vec<u32> {
        (0..2_000).filter(|number| is_in_canary(inbound_proxy(*number), member, edition, 0.25)).collect()
    };
    let (one, other, later) = (reached("m0", 7), reached("m1", 7), reached("m0", 8));
    // Another member and another version have other nodes.
    assert!([&one, &other, &later].iter().all(|all| (440..560).contains(&all.len())));
    assert!(one != other && one != later);
    expect!["[9, 20, 22, 35, 36, 40, 53, 61]"].assert_eq(&format!("{:?}", &one[..8]));
}

#[test]
fn a_canary_is_in_force_only_above_what_was_promoted_or_rolled_back() {
    let doc = |version: u64, trial: f64| {
        let text = format!(r#"{{"edition":"r{version}","trial":{trial},"routes":[]}}"#);
        Arc::new(MemberDocument::read(text.as_bytes()).expect("a document"))
    };
    let inbound_proxy = SocketAddr::from(([10, 1, 0, 8], 8300));
    let mut shown = String::new();
    for (settled, trial, withdrawn) in
        [(None, 0, None), (None, 1, None), (None, 1, Some(1)), (Some(1), 2, None), (Some(1), 2, Some(1))]
            .into_iter()
            .chain([(Some(1), 2, Some(2)), (Some(2), 2, None), (Some(3), 2, Some(1))])
    {
        let held = settled.map(|version| doc(version, 1.0));
        let edition = |share: f64| {
            let trial = doc(trial, share);
            effective_document(inbound_proxy, "m", held.as_ref(), Some(&trial), withdrawn)
                .map(|doc| doc.version)
        };
        let (reached, not) = (edition(1.0), edition(0.0));
        shown += &format!(
            "settled {settled:?}, trial {trial}, withdrawn {withdrawn:?}: {reached:?}, elsewhere {not:?}\n"
        );
    }
    expect![[r#"
        settled None, trial 0, withdrawn None: Some(0), elsewhere None
        settled None, trial 1, withdrawn None: Some(1), elsewhere None
        settled None, trial 1, withdrawn Some(1): None, elsewhere None
        settled Some(1), trial 2, withdrawn None: Some(2), elsewhere Some(1)
        settled Some(1), trial 2, withdrawn Some(1): Some(2), elsewhere Some(1)
        settled Some(1), trial 2, withdrawn Some(2): Some(1), elsewhere Some(1)
        settled Some(2), trial 2, withdrawn None: Some(2), elsewhere Some(2)
        settled Some(3), trial 2, withdrawn Some(1): Some(3), elsewhere Some(3)
    "#]]
    .assert_eq(&shown);
}

#[test]
fn a_plan_lists_changes_and_violations() {
    let base = r#"{"edition":"r1","consignments":[
        {"category":"routes","label":{"name":"all"},"manifest":{"depot":"norte.example","lane_prefix":"/","route_kind":"once_only","deadline_ms":900,"post_class":1,"line":"agenda","tries":1}},
        {"category":"mail_lines","label":{"name":"agenda"},"manifest":{"health":"/","berth_cap":1}},
        {"category":"mail_lines","label":{"name":"caixa"},"manifest":{"health":"/","berth_cap":1}}]}"#;
    let register = format!(
        r#"{{"edition":"r1","members":[{{"name":"norte","key_sha256":"{}","places":[{{"host":"norte.example"}}],
        "services":["agenda","velha"],"limits":{{"routes":2,"deadline_ms":1000}}}}]}}"#,
        "0".repeat(64)
    );
    let route = |name: &str, prefix: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","depot":"norte.example","lane_prefix":"{prefix}","route_kind":"once_only",{rest}}}"#
        )
    };
    let doc = |routes: &[String]| {
        let text = format!(r#"{{"edition":"r1","routes":[{}]}}"#, routes.join(","));
        Arc::new(MemberDocument::read(text.as_bytes()).expect("a document"))
    };
    let good = r#""deadline_ms":800,"post_class":1,"line":"agenda","tries":1"#;
    let held = doc(&[route("cart", "/cart/", good), route("old", "/old/", good)]);
    let new = doc(&[
        route("root", "/", &good.replace("800", "700")),
        route("cart", "/cart/", r#""deadline_ms":1200,"post_class":0,"line":"agenda","tries":3"#),
        route("caixa", "/caixa/", &good.replace("agenda", "caixa")),
        route("velha", "/velha/", &good.replace("agenda", "velha")),
        route("more", "/more/", good),
    ]);
    let (base, register) = (Configuration::read(base.as_bytes()), MemberRegister::read(register.as_bytes()));
    let (base, register) = (base.expect("a configuration"), register.expect("a register"));
    let gone = doc(&[route("x", "/x/", good)]);
    let docs: MemberDocuments = [(Name::from("norte"), held), (Name::from("gone"), gone)].into();
    let plan = plan_change(&base, &register, &docs, "norte", &new);
    let list = |all: Vec<String>| all.join("\n");
    let page = [
        list(plan.changes),
        list(plan.new_violations.iter().map(ToString::to_string).collect()),
        list(plan.current_violations.iter().map(ToString::to_string).collect()),
    ];
    expect![[r#"
        route norte.example/: member from - to norte
        route norte.example/: name from all to root
        route norte.example/: deadline_ms from 900 to 700
        route norte.example/: target_ms from 900 to 700
        route norte.example/cart/: deadline_ms from 800 to 1000
        route norte.example/cart/: target_ms from 800 to 1000
        route norte.example/cart/: tries from 1 to 2
        route norte.example/old/ removed: member norte, name old, route_kind once_only, deadline_ms 800, target_ms 800, post_class 1, tries 1, lines [agenda 1]
        --
        routes[1] (cart).tries: 3 is above this member's limit of 2
        routes[1] (cart).deadline_ms: 1200 is above this member's limit of 1000
        routes[1] (cart).target_ms: 1200 is above this member's limit of 1000
        routes[1] (cart).post_class: 0 is a higher rank than this member's, 1 (0 is the highest)
        routes[2] (caixa).split: "caixa" is not among this member's services
        routes[2] (caixa).split: no service is left with a share
        routes[3] (velha).split: "velha" is not among the platform's services
        routes[3] (velha).split: no service is left with a share
        routes[4] (more): comes after this member's limit of 2 routes
        --
        gone: document: is of no member that the register names"#]].assert_eq(&page.join("\n--\n"));
}

/// The documents that the page shows: a configuration, a register, and a document for each of its members.
#[test]
fn the_documents_of_the_page_are_in_force_as_written() {
    let page = include_str!("../../docs/members.md");
    let blocks = page.split("\n\n").filter(|block| block.starts_with("    {\"edition\""));
    let blocks: Vec<&[u8]> = blocks.map(str::as_bytes).collect();
    assert_eq!(blocks.len(), 8);
    for example in blocks.chunks(4) {
        let (base, register) = (Configuration::read(example[0]), MemberRegister::read(example[1]));
        let (base, register) = (base.expect("a configuration"), register.expect("a register"));
        let docs = example[2..].iter().map(|doc| Arc::new(MemberDocument::read(doc).expect("a document")));
        let docs: MemberDocuments = register.members().map(|member| member.name.clone()).zip(docs).collect();
        assert_eq!(docs.len(), 2);
        let effective = apply_overlay(&base, &register, &docs);
        assert_eq!(effective.violations, []);
        let written: usize = docs.values().map(|doc| doc.routes.len()).sum();
        assert_eq!(effective.configuration.routes().filter(|route| route.share.is_some()).count(), written);
    }
}
