//! Fixtures of encoded values: committed files of lines `name hex`, with which tests compare what the present code
//! encodes and decodes. A run with `WRITE_FIXTURES=1` rewrites the files and always fails, so that it can't be taken
//! for a test. Names in the files date from before types were renamed and must not change.

use std::fmt::Write;
use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub struct FrozenForms {
    path: PathBuf,
    /// Names and bytes in hex, as in the file.
    expected: Vec<(String, String)>,
    seen: Vec<(String, String)>,
    failures: Vec<String>,
}

pub fn writes_fixtures() -> bool {
    std::env::var_os("WRITE_FIXTURES").is_some_and(|value| value == "1")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at| u8::from_str_radix(text.get(at..at + 2).expect("two digits"), 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("the value can be encoded as CBOR");
    bytes
}

impl FrozenForms {
    /// Reads the fixture file `tests/fixtures/<name>.hex` of the crate under test.
    pub fn open(name: &str) -> FrozenForms {
        let path =
            PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(format!("{name}.hex"));
        let text = if writes_fixtures() {
            String::new()
        } else {
            std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
        };
        let pair = |line: &str| {
            let (name, bytes) = line.split_once(' ').expect("a name and its bytes");
            (name.to_owned(), bytes.to_owned())
        };
        let expected = text.lines().map(pair).collect();
        FrozenForms { path, expected, seen: Vec::new(), failures: Vec::new() }
    }

    /// Checks that the value is encoded as the fixture of that name, and that the fixture is decoded and encoded again
    /// to the same bytes.
    pub fn assert_encodes_as<T: Serialize + DeserializeOwned>(&mut self, name: &str, value: &T) {
        assert!(self.seen.iter().all(|(seen, _)| seen != name), "{name} is checked twice");
        let written = hex(&encoded(value));
        self.seen.push((name.to_owned(), written.clone()));
        if writes_fixtures() {
            return;
        }
        let Some((_, expected)) = self.expected.iter().find(|(known, _)| known == name) else {
            return self.failures.push(format!("{name}: no fixture"));
        };
        if *expected != written {
            self.failures.push(format!("{name}: encoded as {written}, expected {expected}"));
        }
        match ciborium::from_reader::<T, _>(&*unhex(expected)) {
            Err(error) => self.failures.push(format!("{name}: the fixture can't be decoded: {error}")),
            Ok(read) if hex(&encoded(&read)) != *expected => {
                self.failures.push(format!("{name}: decoded and encoded again as {}", hex(&encoded(&read))));
            }
            Ok(_) => {}
        }
    }

    /// Decodes the fixture of that name, where the present code may encode the same value to other bytes.
    #[allow(dead_code)]
    pub fn read_fixture<T: Serialize + DeserializeOwned>(&mut self, name: &str, value: &T) -> T {
        let written = hex(&encoded(value));
        self.seen.push((name.to_owned(), written.clone()));
        let fixture = self.expected.iter().find(|(known, _)| known == name).map(|(_, bytes)| bytes);
        let bytes = if writes_fixtures() { &written } else { fixture.expect("the value has a fixture") };
        ciborium::from_reader(&*unhex(bytes)).expect("the fixture can be read")
    }

    /// To be called after the last value: fails with all differences, and with fixtures that no value was compared
    /// with.
    pub fn finish(mut self) {
        if writes_fixtures() {
            let text: String = self.seen.iter().map(|(name, bytes)| format!("{name} {bytes}\n")).collect();
            std::fs::create_dir_all(self.path.parent().expect("a directory")).expect("directory created");
            std::fs::write(&self.path, text).expect("fixture written");
            panic!("fixtures written");
        }
        for (name, _) in &self.expected {
            if self.seen.iter().all(|(seen, _)| seen != name) {
                self.failures.push(format!("{name}: no value was compared with this fixture"));
            }
        }
        assert!(!self.seen.is_empty(), "no value was compared with {}", self.path.display());
        assert!(self.failures.is_empty(), "{}:\n{}", self.path.display(), self.failures.join("\n"));
    }
}
