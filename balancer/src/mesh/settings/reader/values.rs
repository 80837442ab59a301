//! Values of a single kind: names, numbers, addresses, and lists of them.

use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::PathBuf;

use toml::de::DeValue;

use super::super::bounds::MAX_NUMBER;
use super::{ReadValue, SettingsReader, TomlValue};

/// The longest name, because names travel in messages between processes.
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

    /// Records a zone whose name can't travel in messages. `span` is where the name stands.
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
        let port = number_of(value).filter(|port| port.fract() == 0.0 && (1.0..=65_535.0).contains(port));
        self.accept(field, value, port.map(|port| port as u16), "wants a port, 1 to 65535")
    }

    pub(super) fn read_folder(&mut self, field: &str, value: &TomlValue) -> Option<PathBuf> {
        let path = value.get_ref().as_str();
        let path = path.filter(|path| (1..=MAX_PATH_BYTES).contains(&path.len()) && !path.contains('\0'));
        self.accept(field, value, path.map(PathBuf::from), "wants a folder")
    }

    /// Reads every item, and gives those that can be read.
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
        let number = number_of(value).filter(|number| *number > 0.0 && *number <= MAX_NUMBER);
        self.accept(field, value, number, "wants a number above zero")
    }

    /// Reads a whole number, zero or above. `256.0` is one.
    pub(super) fn read_integer(&mut self, field: &str, value: &TomlValue) -> Option<u64> {
        let number = number_of(value);
        let integer = number.filter(|number| number.fract() == 0.0 && (0.0..=MAX_NUMBER).contains(number));
        self.accept(field, value, integer.map(|number| number as u64), "wants a whole number, zero or above")
    }

    pub(super) fn read_positive_integer(&mut self, field: &str, value: &TomlValue) -> Option<u64> {
        let integer = self.read_integer(field, value)?;
        self.accept(field, value, (integer > 0).then_some(integer), "wants a whole number above zero")
    }

    pub(super) fn read_size(&mut self, field: &str, value: &TomlValue) -> Option<usize> {
        let integer = self.read_integer(field, value)?;
        self.accept(field, value, usize::try_from(integer).ok(), "wants a smaller number")
    }
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control)
}

/// Whether this can be the address of one machine.
fn is_machine_address(ip: &IpAddr) -> bool {
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// Gives integers and fractions alike. NaN and infinity pass here, and fail in whatever range is asked for.
fn number_of(value: &TomlValue) -> Option<f64> {
    match value.get_ref() {
        DeValue::Integer(integer) => {
            i64::from_str_radix(integer.as_str(), integer.radix()).ok().map(|integer| integer as f64)
        }
        DeValue::Float(fraction) => fraction.as_str().parse().ok(),
        _ => None,
    }
}
