//! The addresses of the process: its listeners (`counters`) and its upstream.

use std::net::SocketAddr;

use toml::de::DeTable;

use super::{SettingsReader, TomlValue, fields, value_in};

/// The addresses of the upstream and of the listeners.
pub(super) struct NodeAddresses {
    pub upstream: Option<SocketAddr>,
    pub inbound: Option<SocketAddr>,
    pub outbound: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
}

/// An address and its field.
struct AddressField<'f, 'd> {
    name: &'static str,
    address: Option<SocketAddr>,
    value: Option<&'f TomlValue<'d>>,
}

impl SettingsReader<'_> {
    pub(super) fn read_addresses(&mut self, file: &DeTable) -> NodeAddresses {
        let listeners = self.section(file, fields::LISTENERS);
        let upstream = AddressField {
            name: fields::UPSTREAM_ADDRESS,
            address: self.optional(file, fields::UPSTREAM_ADDRESS, Self::read_socket_address),
            value: file.get(fields::UPSTREAM_ADDRESS),
        };
        let inbound = self.read_listener(listeners, fields::INBOUND_LISTEN);
        let outbound = self.read_listener(listeners, fields::OUTBOUND_LISTEN);
        let readiness = self.read_listener(listeners, fields::READINESS_LISTEN);
        let control = self.read_listener(listeners, fields::CONTROL_LISTEN);
        let addresses = NodeAddresses {
            upstream: upstream.address,
            inbound: inbound.address,
            outbound: outbound.address,
            readiness: readiness.address,
            control: control.address,
        };
        self.check_distinct(&[upstream, inbound, outbound, readiness, control]);
        addresses
    }

    fn read_listener<'f, 'd>(
        &mut self,
        listeners: Option<&'f DeTable<'d>>,
        name: &'static str,
    ) -> AddressField<'f, 'd> {
        AddressField {
            name,
            address: self.optional_in(listeners, name, Self::read_socket_address),
            value: value_in(listeners, name),
        }
    }

    /// Reports duplicate addresses, because two listeners can't share one.
    fn check_distinct(&mut self, fields: &[AddressField]) {
        for (index, field) in fields.iter().enumerate() {
            let Some(address) = field.address else { continue };
            let duplicate = fields[..index].iter().find(|earlier| earlier.address == Some(address));
            if let (Some(earlier), Some(value)) = (duplicate, field.value) {
                let expected = format!("wants an address other than that of {}", earlier.name);
                self.reject(field.name, value, &expected);
            }
        }
    }
}
