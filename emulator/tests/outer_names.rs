//! Keys and values of scenario files, options of the program and the words and JSON keys of its reports. Scripts and
//! pages match them, so they stay when a field, variant or function is renamed. Figures are not compared here.

use std::process::Command;

use ochreshed_emulator::mesh::scenario::Scenario as MeshScenario;
use ochreshed_emulator::scenario::Scenario;

/// The program's exit code and its output, with each number replaced by `#`.
fn run(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_ochreshed-rehearse"))
        .args(args)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures"))
        .output()
        .expect("the program runs");
    let text = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("UTF-8")).concat();
    format!(
        "$ {}\n{}exit {}\n",
        args.join(" "),
        mask_numbers(&text),
        output.status.code().expect("an exit code")
    )
}

/// Digits that are part of a word, as in `worst_10s`, stay.
fn mask_numbers(text: &str) -> String {
    let mut masked = String::new();
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        let in_word = masked.ends_with(|c: char| c.is_ascii_alphanumeric() || c == '_');
        let digits = |text: &str| text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let mut length = digits(rest);
        if in_word || length == 0 {
            masked.push(first);
            rest = &rest[first.len_utf8()..];
            continue;
        }
        if let Some(fraction) = rest[length..].strip_prefix('.').filter(|after| digits(after) > 0) {
            length += 1 + digits(fraction);
        }
        masked.push('#');
        rest = &rest[length..];
    }
    masked
}

#[test]
fn options_report_words_and_json_keys_are_unchanged() {
    // The seeds of the meshes are ones with a dead node that some attendants have not heard of at the end.
    let commands: [&[&str]; 16] = [
        &["help"],
        &["check", "every_key.toml"],
        &["run", "every_key.toml"],
        &["run", "every_key.toml", "--json", "--seed", "2"],
        &["run", "every_key.toml", "--trace", "31"],
        &["run", "every_key.toml", "--trace", "999999"],
        &["run", "every_key.toml", "--policy", "unheard-of"],
        &["compare", "every_key.toml", "--policies", "module,random,round-robin,least,two+3", "--seeds", "1"],
        &["sweep", "every_key.toml", "--set", "tiers.1.slots=2,4", "--seeds", "1"],
        &["sweep", "every_key.toml", "--set", "tiers.9.slots=2"],
        &["sweep", "every_key.toml"],
        &["mesh", "mesh_every_key.toml", "--seed", "2"],
        &["mesh", "mesh_every_key.toml", "--json", "--seed", "2"],
        &["mesh", "sweep", "mesh_every_key.toml", "--nodes", "3,6", "--seed", "3"],
        &["mesh", "sweep", "mesh_every_key.toml"],
        &["unheard-of", "every_key.toml"],
    ];
    let output: String = commands.iter().map(|args| run(args)).collect();
    assert_eq!(output, include_str!("fixtures/output.txt"));
}

/// `deny_unknown_fields` refuses a key that lost its name, and an enum value that did.
#[test]
fn keys_and_values_of_scenario_files_are_unchanged() {
    let parsed = Scenario::parse(include_str!("fixtures/every_key.toml")).expect("every key is known");
    assert_eq!((parsed.tiers.len(), parsed.rule_sets.len(), parsed.faults.len()), (2, 3, 11));
    let parsed =
        MeshScenario::parse(include_str!("fixtures/mesh_every_key.toml")).expect("every key is known");
    assert_eq!((parsed.nodes, parsed.faults.len()), (6, 4));
    let scenarios = concat!(env!("CARGO_MANIFEST_DIR"), "/../rehearsals");
    for entry in std::fs::read_dir(scenarios).expect("scenario files") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a file");
        let is_mesh = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("mesh-"));
        let error = if is_mesh { MeshScenario::parse(&text).err() } else { Scenario::parse(&text).err() };
        assert_eq!(error, None, "{}", path.display());
    }
}

#[test]
fn wrong_scenarios_name_the_same_keys() {
    let text = include_str!("fixtures/every_key.toml");
    let error = |from: &str, to: &str| Scenario::parse(&text.replace(from, to)).expect_err("it is wrong");
    assert!(error("per_s = 40.0", "per_s = -1.0").contains("clients.per_s"));
    assert!(error("instances = 4", "instances = 0").contains("clients.instances"));
    assert!(error("loss = 0.01", "loss = 1.0").contains("fleet.loss"));
    assert!(error("sigma = 0.5", "sigma = -1.0").contains("sigma"));
    assert!(error("power = 2.5", "power = 1.0").contains("power"));
    let text = include_str!("fixtures/mesh_every_key.toml");
    let error = |from: &str, to: &str| MeshScenario::parse(&text.replace(from, to)).expect_err("it is wrong");
    assert!(error("loss = 0.001", "loss = 0.9").contains("link.loss"));
    assert!(error("bytes = 2000", "bytes = 0").contains("sheets.bytes"));
    assert!(error("repeats = 0.1", "repeats = 2.0").contains("claims.repeats"));
    assert!(error("turns_per_h = 300", "turns_per_h = -1").contains("upstreams.turns_per_h"));
}
