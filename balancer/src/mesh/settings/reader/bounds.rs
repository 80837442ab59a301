//! The list `bounds`, whose items are strings of the form `name=value`.

use std::collections::BTreeSet;

use super::super::OperatingBounds;
use super::{SettingsReader, TomlValue};

impl SettingsReader<'_> {
    pub(super) fn read_bounds(&mut self, field: &str, value: &TomlValue) -> Option<OperatingBounds> {
        let items = self.accept(field, value, value.get_ref().as_array(), "wants a list")?;
        let mut bounds = OperatingBounds::default();
        let mut seen = BTreeSet::new();
        for (index, item) in items.iter().enumerate() {
            let pair = item.get_ref().as_str().and_then(|text| text.split_once('='));
            let Some((name, number)) = pair else {
                self.reject(&format!("{field}[{index}]"), item, "wants name=value as text");
                continue;
            };
            let (name, number) = (name.trim(), number.trim());
            if !OperatingBounds::is_known(name) {
                continue;
            }
            let field = format!("{field}.{name}");
            if !seen.insert(name) {
                self.reject(&field, item, "wants to be told once");
            }
            if let Err(error) = bounds.set(name, number) {
                self.reject(&field, item, &error.to_string());
            }
        }
        Some(bounds)
    }
}
