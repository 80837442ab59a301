//! Tests of the upstream's registration on loopback, with a scripted control plane: which drains and ends are acknowledged,
//! and what a restarted process makes of late heartbeats.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ochreshed_catalog::endpoints::UpstreamState;
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, TombstoneId};
use tokio::net::TcpListener;

use super::InboundProxy;
use super::registration::RegistrationError;
use super::tests::{forward, proxy_with_replicas, send_heartbeat};
use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::proxy::replica_pool::ReplicaPool;
use crate::mesh::rpc::{self, InternalRequest, InternalResponse};

/// A control plane of one replica, which keeps tombstones unless it has lost its majority.
#[derive(Default)]
struct ControlPlane {
    tombstones: BTreeSet<TombstoneId>,
    has_no_majority: bool,
}

impl ControlPlane {
    fn respond(&mut self, request: InternalRequest) -> Option<InternalResponse> {
        let response = match request {
            InternalRequest::Core(_) if self.has_no_majority => CoreResponse::Unavailable,
            InternalRequest::Core(CoreRequest::StoreTombstone(id)) => {
                self.tombstones.insert(id);
                CoreResponse::Accepted
            }
            InternalRequest::Core(CoreRequest::FindTombstone(id)) => {
                CoreResponse::Tombstone(self.tombstones.contains(&id))
            }
            _ => return None,
        };
        Some(InternalResponse::Core(response))
    }
}

/// A control plane, and the replicas as its nodes know them.
struct ScriptedControlPlane {
    state: Arc<Mutex<ControlPlane>>,
    address: SocketAddr,
}

impl ScriptedControlPlane {
    async fn start() -> ScriptedControlPlane {
        let state: Arc<Mutex<ControlPlane>> = Arc::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let served = state.clone();
        tokio::spawn(rpc::serve(listener, move |request| {
            let response = lock(&served).respond(request);
            async move { response }
        }));
        ScriptedControlPlane { state, address }
    }

    /// An inbound proxy that has just started, and its upstream's listener and address.
    async fn start_proxy(&self) -> (Arc<InboundProxy>, TcpListener, SocketAddr) {
        let replicas = ReplicaPool::new(Clock::new());
        replicas.set_replicas([self.address]);
        replicas.record_tombstone_support(self.address, true);
        proxy_with_replicas(Arc::new(replicas)).await
    }

    fn set_majority(&self, has_majority: bool) {
        lock(&self.state).has_no_majority = !has_majority;
    }
}

fn heartbeat(address: SocketAddr, sequence: u64, state: &str) -> String {
    let notice = r#"{"line":"x","edition":"v1","zone":"a","pigeonholes":2}"#;
    let status = format!(r#"{{"state":"{state}","postmark_seq":{sequence},"cold_left_ms":0}}"#);
    format!(r#"{{"address":"{address}","notice":{notice},"status":{status}}}"#)
}

async fn send_closing(proxy: &Arc<InboundProxy>, address: SocketAddr) -> Result<(), RegistrationError> {
    proxy.handle_heartbeat("i-1", heartbeat(address, 2, "closing").as_bytes()).await
}

async fn outcome(proxy: &Arc<InboundProxy>) -> &'static str {
    forward(proxy, "a", 0, 10_000).await.expect("no panic")
}

/// Guards against a drain that is acknowledged and then forgotten by a restart, because only processes remembered it.
#[tokio::test]
async fn a_drain_is_acknowledged_once_the_control_plane_has_recorded_it() {
    let control_plane = ScriptedControlPlane::start().await;
    let (proxy, _upstream, address) = control_plane.start_proxy().await;
    send_heartbeat(&proxy, address, "i-1", 1, 2, "open_for_post").await;
    control_plane.set_majority(false);
    assert_eq!(send_closing(&proxy, address).await, Err(RegistrationError::NotRecorded));
    // It takes effect at once.
    assert_eq!(proxy.endpoint_record().state, UpstreamState::Draining);
    control_plane.set_majority(true);
    assert_eq!(send_closing(&proxy, address).await, Ok(()));
    // Later ones need no majority.
    control_plane.set_majority(false);
    assert_eq!(send_closing(&proxy, address).await, Ok(()));
}

/// Guards against a late heartbeat that brings an ended upstream back for all nodes, after a kill of this process and of the
/// whole control plane: what was acknowledged is on the control plane's disks.
#[tokio::test]
async fn a_late_heartbeat_revives_no_incarnation_whose_end_was_recorded_before_a_restart() {
    for signs_off in [true, false] {
        let control_plane = ScriptedControlPlane::start().await;
        let (proxy, _upstream, address) = control_plane.start_proxy().await;
        send_heartbeat(&proxy, address, "i-1", 1, 2, "open_for_post").await;
        if signs_off {
            proxy.end_upstream("i-1");
            assert_eq!(proxy.record_end("i-1").await, Ok(()));
        } else {
            assert_eq!(send_closing(&proxy, address).await, Ok(()));
        }
        let (restarted, _upstream, address) = control_plane.start_proxy().await;
        send_heartbeat(&restarted, address, "i-1", 1, 2, "open_for_post").await;
        assert_eq!(restarted.endpoint_record().state, UpstreamState::Draining, "signs off: {signs_off}");
        assert_eq!(outcome(&restarted).await, "gone", "signs off: {signs_off}");
        // A new incarnation is not affected.
        send_heartbeat(&restarted, address, "i-2", 1, 2, "open_for_post").await;
        assert_eq!(restarted.endpoint_record().state, UpstreamState::Serving);
    }
}

/// Guards against an upstream that is not served while the control plane has no majority, and against one that is served
/// again for good because its end could not be looked up when its late heartbeat came.
#[tokio::test]
async fn without_a_majority_an_incarnation_is_registered_and_looked_up_later() {
    let control_plane = ScriptedControlPlane::start().await;
    let (proxy, _upstream, address) = control_plane.start_proxy().await;
    send_heartbeat(&proxy, address, "i-1", 1, 2, "open_for_post").await;
    assert_eq!(send_closing(&proxy, address).await, Ok(()));
    control_plane.set_majority(false);
    let (restarted, _upstream, address) = control_plane.start_proxy().await;
    send_heartbeat(&restarted, address, "i-1", 1, 2, "open_for_post").await;
    assert_eq!(restarted.endpoint_record().state, UpstreamState::Serving);
    control_plane.set_majority(true);
    let is_draining = async {
        while restarted.endpoint_record().state != UpstreamState::Draining {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), is_draining).await.expect("its end is looked up");
    assert_eq!(outcome(&restarted).await, "gone");
}

/// Guards against an operator's drain that only processes remember.
#[tokio::test]
async fn an_operators_drain_is_recorded_by_the_control_plane() {
    let control_plane = ScriptedControlPlane::start().await;
    let (proxy, _upstream, address) = control_plane.start_proxy().await;
    send_heartbeat(&proxy, address, "i-1", 1, 2, "open_for_post").await;
    proxy.drain("i-1");
    let is_recorded = async {
        while lock(&control_plane.state).tombstones.is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), is_recorded).await.expect("it is recorded");
    let (restarted, _upstream, address) = control_plane.start_proxy().await;
    send_heartbeat(&restarted, address, "i-1", 9, 2, "open_for_post").await;
    assert_eq!(restarted.endpoint_record().state, UpstreamState::Draining);
}
