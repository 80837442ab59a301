//! Readers for single types of values: names, numbers, addresses, and lists.

use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::PathBuf;

use toml::de::DeValue;

use super::super::bounds::MAX_NUMBER;
use super::{ReadValue, SettingsReader, TomlValue};

/// The maximum length of a name. Names are sent in messages between processes.
const MAX_NAME_BYTES: usize = 255;
const MAX_PATH_BYTES: usize = 4095;

impl<'t> SettingsReader<'t> {
    pub(super) fn read_name(&mut self, field: &str, value: &TomlValue) -> Option<String> {
        let name = value.get_ref().as_str().filter(|name| is_name(name)).map(str::to_owned);
        self.accept(field, value, name, &format!("wants a name of 1 to {MAX_NAME_BYTES} printable bytes"))
    }

    pub(super) fn read_names(&mut self, field: &str, value: &TomlValue) -> Option<Vec<String>> {
        self.read_list(field, value, Self::read_name)
    }

    /// Reports a zone whose name can't be sent in messages. `span` is the position of the name.
    pub(super) fn check_zone_name(&mut self, field: &str, name: &str, span: Range<usize>) {
        if !is_name(name) {
            let message = format!("wants zones with names of 1 to {MAX_NAME_BYTES} printable bytes");
            self.record(Some(span), field, message);
        }
    }

    pub(super) fn read_bool(&mut self, field: &str, value: &TomlValue) -> Option<bool> {
        self.accept(field, value, value.get_ref().as_bool(), "wants true or false")
    }

    pub(super) fn read_ip(&mut self, field: &str, value: &TomlValue) -> Option<IpAddr> {
        let ip = value.get_ref().as_str().and_then(|text| text.parse::<IpAddr>().ok());
        let ip = ip.filter(is_machine_address);
        self.accept(field, value, ip, "wants the IP number of a machine")
    }

    pub(super) fn read_socket_address(&mut self, field: &str, value: &TomlValue) -> Option<SocketAddr> {
        let address = value.get_ref().as_str().and_then(|text| text.parse::<SocketAddr>().ok());
        let address = address.filter(|address| is_machine_address(&address.ip()) && address.port() > 0);
        self.accept(field, value, address, "wants an IP number and a port")
    }

    pub(super) fn read_socket_addresses(
        &mut self,
        field: &str,
        value: &TomlValue,
    ) -> Option<Vec<SocketAddr>> {
        self.read_list(field, value, Self::read_socket_address)
    }

    pub(super) fn read_port(&mut self, field: &str, value: &TomlValue) -> Option<u16> {
        let port = parse_number(value).filter(|port| port.fract() == 0.0 && (1.0..=65_535.0).contains(port));
        self.accept(field, value, port.map(|port| port as u16), "wants a port, 1 to 65535")
    }

    pub(super) fn read_path(&mut self, field: &str, value: &TomlValue) -> Option<PathBuf> {
        let path = value.get_ref().as_str();
        let path = path.filter(|path| (1..=MAX_PATH_BYTES).contains(&path.len()) && !path.contains('\0'));
        self.accept(field, value, path.map(PathBuf::from), "wants a folder")
    }

    /// Reads every item and returns the valid ones.
    pub(super) fn read_list<T>(
        &mut self,
        field: &str,
        value: &TomlValue,
        read: ReadValue<'t, T>,
    ) -> Option<Vec<T>> {
        let items = self.accept(field, value, value.get_ref().as_array(), "wants a list")?;
        let mut list = Vec::new();
        for (index, item) in items.iter().enumerate() {
            list.extend(read(self, &format!("{field}[{index}]"), item));
        }
        Some(list)
    }

    pub(super) fn read_positive_number(&mut self, field: &str, value: &TomlValue) -> Option<f64> {
        let number = parse_number(value).filter(|number| *number > 0.0 && *number <= MAX_NUMBER);
        self.accept(field, value, number, "wants a number above zero")
    }

    /// Reads a non-negative integer, which may be written as a float such as `256.0`.
    pub(super) fn read_integer(&mut self, field: &str, value: &TomlValue) -> Option<u64> {
        let number = parse_number(value);
        let integer = number.filter(|number| number.fract() == 0.0 && (0.0..=MAX_NUMBER).contains(number));
        self.accept(field, value, integer.map(|number| number as u64), "wants a whole number, zero or above")
    }

    pub(super) fn read_positive_integer(&mut self, field: &str, value: &TomlValue) -> Option<u64> {
        let integer = self.read_integer(field, value)?;
        self.accept(field, value, (integer > 0).then_some(integer), "wants a whole number above zero")
    }

    pub(super) fn read_usize(&mut self, field: &str, value: &TomlValue) -> Option<usize> {
        let integer = self.read_integer(field, value)?;
        self.accept(field, value, usize::try_from(integer).ok(), "wants a smaller number")
    }
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control)
}

/// Whether this can be the address of a single machine.
fn is_machine_address(ip: &IpAddr) -> bool {
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// Parses integers and floats. NaN and infinity are returned as they are; the range checks of the callers reject them.
fn parse_number(value: &TomlValue) -> Option<f64> {
    match value.get_ref() {
        DeValue::Integer(integer) => {
            i64::from_str_radix(integer.as_str(), integer.radix()).ok().map(|integer| integer as f64)
        }
        DeValue::Float(float) => float.as_str().parse().ok(),
        _ => None,
    }
}
