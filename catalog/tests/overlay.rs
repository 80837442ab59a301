//! Tests of the overlay of members' routes: for any documents, no member exceeds its limits, and no member's change
//! affects another member's routes.

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
/// The scopes; none lies within another, so each may belong to any member.
const SCOPES: [(&str, &str); 5] =
    [("h0", "/a/"), ("h0", "/b/c/"), ("h0", "/ab/"), ("h1", "/a/b/"), ("h1", "/b/")];
const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];
const MEMBERS: [&str; 3] = ["m0", "m1", "m2"];

/// A route: indices of the host and the prefix, (deadline, latency target), (priority, attempts), weights of the
/// services.
type RouteSpec = (usize, usize, (u64, u64), (u32, u32), [u8; 4]);
/// A member's limits: routes, attempts, deadline, highest priority, and which services it may use.
type LimitSpec = (usize, u32, u64, u32, [bool; 4]);

#[derive(Clone, Debug)]
struct Scenario {
    platform: Vec<RouteSpec>,
    /// Whether the platform has each service.
    services: [bool; 4],
    /// The index of the member that owns each scope; 3 for none.
    owners: [usize; 5],
    limits: [LimitSpec; 3],
    /// Each member's routes; `None` for no document.
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

/// The routes as JSON, at most one per host and prefix, with the services in `has_service` only. `owner` is "p" for the
/// platform, else the member's name.
fn route_entries(all: &[RouteSpec], owner: &str, has_service: [bool; 4]) -> Vec<String> {
    let mut written = BTreeMap::new();
    for (number, (host, prefix, (deadline, target), (priority, attempts), shares)) in all.iter().enumerate() {
        let split: Vec<String> = (0..4)
            .filter(|service| has_service[*service])
            .map(|service| format!(r#"{{"line":"{}","share":{}}}"#, SERVICES[service], shares[service]))
            .collect();
        if (0..4).all(|service| !has_service[service] || shares[service] == 0) {
            continue;
        }
        let (host, prefix, split) = (HOSTS[*host], PREFIXES[*prefix], split.join(","));
        let text = format!(
            r#""depot":"{host}","lane_prefix":"{prefix}","route_kind":"once_only","deadline_ms":{deadline},
            "target_ms":{target},"post_class":{priority},"tries":{attempts},"split":[{split}]"#
        );
        written.entry((host, prefix)).or_insert((number, format!("{owner}-{number}"), text));
    }
    let mut written: Vec<_> = written.into_values().collect();
    written.sort();
    let entry = |(_, name, text): (usize, String, String)| match owner {
        "p" => format!(r#"{{"category":"routes","label":{{"name":"{name}"}},"manifest":{{{text}}}}}"#),
        _ => format!(r#"{{"name":"{name}",{text}}}"#),
    };
    written.into_iter().map(entry).collect()
}

impl Scenario {
    fn configuration(&self) -> Configuration {
        let mut entries = route_entries(&self.platform, "p", self.services);
        for (name, _) in SERVICES.iter().zip(self.services).filter(|(_, exists)| *exists) {
            entries.push(format!(
                r#"{{"category":"mail_lines","label":{{"name":"{name}"}},"manifest":{{"health":"/","berth_cap":1}}}}"#
            ));
        }
        let text = format!(r#"{{"edition":"r1","consignments":[{}]}}"#, entries.join(","));
        Configuration::read(text.as_bytes()).expect("a configuration")
    }

    fn scopes(&self, member: usize) -> Vec<(&'static str, &'static str)> {
        let all = SCOPES.into_iter().zip(self.owners);
        all.filter(|(_, owner)| *owner == member).map(|(scope, _)| scope).collect()
    }

    fn is_in_scope(&self, member: usize, host: &str, path: &str) -> bool {
        self.scopes(member).iter().any(|(scope_host, prefix)| *scope_host == host && path.starts_with(prefix))
    }

    /// The register with its members in this order.
    fn register(&self, order: [usize; 3]) -> MemberRegister {
        let member = |number: usize| {
            let (routes, attempts, deadline, priority, allowed) = self.limits[number];
            let scopes = self.scopes(number).into_iter();
            let scopes: Vec<String> =
                scopes.map(|(host, prefix)| format!(r#"{{"host":"{host}","prefix":"{prefix}"}}"#)).collect();
            let services: Vec<&str> = SERVICES
                .into_iter()
                .zip(allowed)
                .filter(|(_, allowed)| *allowed)
                .map(|(name, _)| name)
                .collect();
            format!(
                r#"{{"name":"m{number}","key_sha256":"{}","places":[{}],"services":{services:?},"limits":{{
                "routes":{routes},"tries":{attempts},"deadline_ms":{deadline},"rank":{priority},"retry_share":0.{number},
                "slot_share":0.5}}}}"#,
                "0".repeat(64),
                scopes.join(","),
            )
        };
        let text = format!(r#"{{"edition":"r1","members":[{}]}}"#, order.map(member).join(","));
        MemberRegister::read(text.as_bytes()).expect("a register")
    }

    fn documents(&self) -> MemberDocuments {
        let read = |(number, doc): (usize, &Option<Vec<RouteSpec>>)| {
            let routes = route_entries(doc.as_ref()?, MEMBERS[number], [true; 4]).join(",");
            let text = format!(r#"{{"edition":"r1","routes":[{routes}]}}"#);
            Some((
                MEMBERS[number].into(),
                Arc::new(MemberDocument::read(text.as_bytes()).expect("a document")),
            ))
        };
        self.docs.iter().enumerate().filter_map(read).collect()
    }
}

fn member_of(route: &Route) -> Option<usize> {
    let share = route.share.as_ref()?;
    MEMBERS.iter().position(|name| **name == *share.member)
}

/// All hosts and paths on which the result of a lookup can depend.
fn paths() -> impl Iterator<Item = (&'static str, String)> {
    let paths = PREFIXES.iter().flat_map(|prefix| ["", "x", "/x"].map(|end| format!("{prefix}{end}")));
    paths.flat_map(|path| HOSTS.map(|host| (host, path.clone())))
}

fn all_routes(configuration: &Configuration) -> Vec<Arc<Route>> {
    configuration.routes().cloned().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_member_exceeds_its_limits(scenario in scenario()) {
        let (base, register, docs) = (scenario.configuration(), scenario.register([0, 1, 2]), scenario.documents());
        let effective = apply_overlay(&base, &register, &docs);
        let mut counts = [0; 3];
        for route in effective.configuration.routes() {
            let Some(member) = member_of(route) else {
                prop_assert!(base.routes().any(|one| one == route), "{route:?}");
                continue;
            };
            let (max_routes, max_attempts, max_deadline, highest_priority, allowed) = scenario.limits[member];
            counts[member] += 1;
            prop_assert!(counts[member] <= max_routes);
            prop_assert!(scenario.is_in_scope(member, &route.host, &route.prefix));
            prop_assert!(route.max_attempts <= max_attempts && route.deadline_ms <= max_deadline && route.latency_target_ms <= max_deadline);
            prop_assert!(route.priority >= highest_priority && route.max_attempts > 0 && route.deadline_ms > 0);
            for WeightedService { name, .. } in &route.services {
                let service = SERVICES.iter().position(|known| **known == **name).expect("a service");
                prop_assert!(allowed[service] && scenario.services[service]);
            }
            prop_assert!(route.services.iter().any(|service| service.weight > 0.0));
            let share = route.share.as_ref().expect("a share");
            prop_assert_eq!((share.retry, share.concurrency), (member as f64 / 10.0, 0.5));
        }
        // The lookup finds the longest prefix, and outside all scopes the platform's route.
        for (host, path) in paths() {
            let found = effective.configuration.route(host, &path);
            let longest = effective.configuration.routes().filter(|route| *route.host == *host && path.starts_with(&*route.prefix));
            prop_assert_eq!(found, longest.max_by_key(|route| route.prefix.len()));
            if (0..3).all(|member| !scenario.is_in_scope(member, host, &path)) {
                prop_assert_eq!(found, base.route(host, &path));
            }
        }
        // A route of the platform is missing only if a member's route replaces it.
        for route in base.routes() {
            let found = effective.configuration.routes().filter(|one| one.host == route.host && one.prefix == route.prefix);
            let found: Vec<_> = found.collect();
            prop_assert!(found.len() == 1 && (found[0] == route || found[0].share.is_some()));
        }
    }

    #[test]
    fn a_member_does_not_affect_routes_outside_its_scopes(
        scenario in scenario(), doc in vec(route_spec(), 0..8), limit_spec in limit_spec(), changed_member in 0usize..3,
    ) {
        let (base, register, docs) = (scenario.configuration(), scenario.register([0, 1, 2]), scenario.documents());
        let mut changed = scenario.clone();
        changed.docs[changed_member] = Some(doc);
        let changed_docs = changed.documents();
        let (before, after) = (apply_overlay(&base, &register, &docs), apply_overlay(&base, &register, &changed_docs));
        let others = |configuration: &Configuration| {
            let mut routes = all_routes(configuration);
            routes.retain(|route| !scenario.is_in_scope(changed_member, &route.host, &route.prefix));
            routes
        };
        prop_assert_eq!(others(&before.configuration), others(&after.configuration));
        for (host, path) in paths().filter(|(host, path)| !scenario.is_in_scope(changed_member, host, path)) {
            prop_assert_eq!(before.configuration.route(host, &path), after.configuration.route(host, &path));
        }
        // A change of its limits does not affect other routes either.
        changed.limits[changed_member] = limit_spec;
        let with_limits = apply_overlay(&base, &changed.register([0, 1, 2]), &changed_docs);
        prop_assert_eq!(others(&before.configuration), others(&with_limits.configuration));
        // The plan lists changes exactly if there are any.
        let plan = plan_change(&base, &register, &docs, MEMBERS[changed_member], &changed_docs[MEMBERS[changed_member]]);
        prop_assert_eq!(plan.changes.is_empty(), {
            let sorted = |configuration: &Configuration| {
                let mut routes = all_routes(configuration);
                routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
                routes
            };
            sorted(&before.configuration) == sorted(&after.configuration)
        });
    }

    #[test]
    fn equal_documents_give_equal_configurations(scenario in scenario()) {
        let base = scenario.configuration();
        let one = apply_overlay(&base, &scenario.register([0, 1, 2]), &scenario.documents());
        let docs: MemberDocuments = scenario.documents().into_iter().rev().collect();
        let other = apply_overlay(&base, &scenario.register([2, 0, 1]), &docs);
        prop_assert_eq!(all_routes(&one.configuration), all_routes(&other.configuration));
        prop_assert_eq!(one.violations, other.violations);
    }

    #[test]
    fn routes_without_violations_are_applied_as_written(scenario in scenario(), changed_member in 0usize..3) {
        let (base, register, docs) = (scenario.configuration(), scenario.register([0, 1, 2]), scenario.documents());
        let Some(doc) = docs.get(MEMBERS[changed_member]) else { return Ok(()) };
        let effective = apply_overlay(&base, &register, &docs);
        let violations_of_check = check_document(&base, &register, MEMBERS[changed_member], doc);
        let violations: Vec<_> = effective.violations.iter().filter(|violation| *violation.member == *MEMBERS[changed_member]).map(|violation| violation.violation.clone()).collect();
        prop_assert_eq!(&violations_of_check, &violations);
        for (index, route) in doc.routes.iter().enumerate() {
            let is_violated = violations_of_check.iter().any(|violation| violation.route.as_ref().is_some_and(|route| route.index == index));
            let found = effective.configuration.routes().find(|one| one.host == route.host && one.prefix == route.prefix);
            let as_written = found.is_some_and(|one| {
                member_of(one) == Some(changed_member) && Route { share: None, ..Route::clone(one) } == **route
            });
            prop_assert_eq!(as_written, !is_violated, "{:?}", route);
        }
    }

    #[test]
    fn a_larger_canary_includes_all_nodes_of_a_smaller_one(port in 1u16.., version: u64, share in 0f64..1.0, added in 0f64..1.0) {
        let inbound_proxy = SocketAddr::from(([10, 1, 0, 8], port));
        prop_assert!(is_in_canary(inbound_proxy, "m", version, 1.0) && !is_in_canary(inbound_proxy, "m", version, 0.0));
        prop_assert!(!is_in_canary(inbound_proxy, "m", version, share) || is_in_canary(inbound_proxy, "m", version, share + added));
    }
}

#[test]
fn a_canary_runs_on_its_share_of_the_nodes() {
    let inbound_proxy = |number: u32| SocketAddr::from((number.to_be_bytes(), 8300));
    let canary_nodes = |member: &str, version| -> Vec<u32> {
        (0..2_000).filter(|number| is_in_canary(inbound_proxy(*number), member, version, 0.25)).collect()
    };
    let (one, other, later) = (canary_nodes("m0", 7), canary_nodes("m1", 7), canary_nodes("m0", 8));
    // Different members and versions have different nodes. The selected nodes are the same in all versions of the
    // program.
    assert!([&one, &other, &later].iter().all(|all| (440..560).contains(&all.len())));
    assert!(one != other && one != later);
    expect!["[9, 20, 22, 35, 36, 40, 53, 61]"].assert_eq(&format!("{:?}", &one[..8]));
}

#[test]
fn only_a_canary_newer_than_promoted_and_rolled_back_versions_is_applied() {
    let doc = |version: u64, trial: f64| {
        let text = format!(r#"{{"edition":"r{version}","trial":{trial},"routes":[]}}"#);
        Arc::new(MemberDocument::read(text.as_bytes()).expect("a document"))
    };
    let inbound_proxy = SocketAddr::from(([10, 1, 0, 8], 8300));
    let mut results = String::new();
    for (promoted, canary, rolled_back) in
        [(None, 0, None), (None, 1, None), (None, 1, Some(1)), (Some(1), 2, None), (Some(1), 2, Some(1))]
            .into_iter()
            .chain([(Some(1), 2, Some(2)), (Some(2), 2, None), (Some(3), 2, Some(1))])
    {
        let promoted_doc = promoted.map(|version| doc(version, 1.0));
        let applied_version = |share: f64| {
            let canary = doc(canary, share);
            effective_document(inbound_proxy, "m", promoted_doc.as_ref(), Some(&canary), rolled_back)
                .map(|doc| doc.version)
        };
        let (on_canary_node, elsewhere) = (applied_version(1.0), applied_version(0.0));
        results += &format!(
            "promoted {promoted:?}, canary {canary}, rolled back {rolled_back:?}: {on_canary_node:?}, elsewhere {elsewhere:?}\n"
        );
    }
    expect![[r#"
        promoted None, canary 0, rolled back None: Some(0), elsewhere None
        promoted None, canary 1, rolled back None: Some(1), elsewhere None
        promoted None, canary 1, rolled back Some(1): None, elsewhere None
        promoted Some(1), canary 2, rolled back None: Some(2), elsewhere Some(1)
        promoted Some(1), canary 2, rolled back Some(1): Some(2), elsewhere Some(1)
        promoted Some(1), canary 2, rolled back Some(2): Some(1), elsewhere Some(1)
        promoted Some(2), canary 2, rolled back None: Some(2), elsewhere Some(2)
        promoted Some(3), canary 2, rolled back Some(1): Some(3), elsewhere Some(3)
    "#]]
    .assert_eq(&results);
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
    let current = doc(&[route("cart", "/cart/", good), route("old", "/old/", good)]);
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
    let docs: MemberDocuments = [(Name::from("norte"), current), (Name::from("gone"), gone)].into();
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
fn the_documented_examples_are_applied_as_written() {
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
