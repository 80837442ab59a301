//! Fixtures of encoded values: files of lines `name hex`, committed, against which tests hold what the present code
//! writes and reads. A run with `WRITE_FIXTURES=1` writes the files anew and always fails, so that it can't be taken
//! for a test. Names in the files are those of main before the first rename and stay as they are.

use std::fmt::Write;
use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub struct FrozenForms {
    path: PathBuf,
    /// Names and bytes in hex, as the file has them.
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
    ciborium::into_writer(value, &mut bytes).expect("the value has a form in CBOR");
    bytes
}

impl FrozenForms {
    /// The forms of the file `tests/fixtures/<name>.hex` of the crate under test.
    pub fn open(name: &str) -> FrozenForms {
        let path =
            PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(format!("{name}.hex"));
        let text = if writes_fixtures() {
            String::new()
        } else {
            std::fs::read_to_string(&path).unwrap_or_else(|why| panic!("{}: {why}", path.display()))
        };
        let pair = |line: &str| {
            let (name, bytes) = line.split_once(' ').expect("a name and its bytes");
            (name.to_owned(), bytes.to_owned())
        };
        let expected = text.lines().map(pair).collect();
        FrozenForms { path, expected, seen: Vec::new(), failures: Vec::new() }
    }

    /// The value has the bytes of that name, and these are read back and written to the same bytes.
    pub fn assert_encodes_as<T: Serialize + DeserializeOwned>(&mut self, name: &str, value: &T) {
        assert!(self.seen.iter().all(|(seen, _)| seen != name), "{name} is there twice");
        let written = hex(&encoded(value));
        self.seen.push((name.to_owned(), written.clone()));
        if writes_fixtures() {
            return;
        }
        let Some((_, expected)) = self.expected.iter().find(|(known, _)| known == name) else {
            return self.failures.push(format!("{name}: has no fixture"));
        };
        if *expected != written {
            self.failures.push(format!("{name}: is written as {written}, not as {expected}"));
        }
        match ciborium::from_reader::<T, _>(&*unhex(expected)) {
            Err(why) => self.failures.push(format!("{name}: the fixture can't be read: {why}")),
            Ok(read) if hex(&encoded(&read)) != *expected => {
                self.failures.push(format!("{name}: is read and written again as {}", hex(&encoded(&read))));
            }
            Ok(_) => {}
        }
    }

    /// What the bytes of that name are read as, where others may be written for the same value.
    #[allow(dead_code)]
    pub fn read_fixture<T: Serialize + DeserializeOwned>(&mut self, name: &str, value: &T) -> T {
        let written = hex(&encoded(value));
        self.seen.push((name.to_owned(), written.clone()));
        let fixture = self.expected.iter().find(|(known, _)| known == name).map(|(_, bytes)| bytes);
        let bytes = if writes_fixtures() { &written } else { fixture.expect("the value has a fixture") };
        ciborium::from_reader(&*unhex(bytes)).expect("the fixture can be read")
    }

    /// To be called after the last value: tells of all that differed, and of fixtures that no value was held against.
    pub fn finish(mut self) {
        if writes_fixtures() {
            let text: String = self.seen.iter().map(|(name, bytes)| format!("{name} {bytes}\n")).collect();
            std::fs::create_dir_all(self.path.parent().expect("a folder")).expect("made");
            std::fs::write(&self.path, text).expect("written");
            panic!("fixtures written");
        }
        for (name, _) in &self.expected {
            if self.seen.iter().all(|(seen, _)| seen != name) {
                self.failures.push(format!("{name}: no value was held against this fixture"));
            }
        }
        assert!(!self.seen.is_empty(), "nothing was held against {}", self.path.display());
        assert!(self.failures.is_empty(), "{}:\n{}", self.path.display(), self.failures.join("\n"));
    }
}
