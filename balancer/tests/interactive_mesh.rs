//! A mesh on the local machine for manual use, started with `make mesh`: three stewards, four attendants with stub
//! upstreams of two services, a configuration, and the path of one request. It runs until Enter is pressed, and is not
//! one of the tests that must pass.
#![allow(dead_code)]

mod helper;
#[path = "mesh/mesh_cluster.rs"]
mod mesh_cluster;

use mesh_cluster::*;

#[test]
#[ignore = "interactive: make mesh"]
fn interactive_mesh() {
    let cluster = MeshCluster::start_default();
    println!("three stewards, four attendants, the first configuration is in force everywhere\n");
    for (upstream, proxy) in cluster.upstreams.iter().zip(cluster.outbound_proxies()) {
        println!("attendant with its outbound proxy at {proxy} and upstream {}", upstream.id);
    }
    let (proxy, id) = (cluster.outbound_proxies()[0], new_request_id());
    let response = send_message(proxy, &request_bytes("GET /read/hello", &id, "", b"")).expect("a response");
    println!("\nGET /read/hello with id {id}, sent to {proxy}");
    for run in cluster.run_log.runs_by_id(&id) {
        println!(
            "  ran at upstream {} of service {}, for caller {}",
            run.upstream,
            run.service,
            run.request.header(CALLER_HEADER)
        );
    }
    println!(
        "  response: status {}, stamp {}: {}",
        response.status(),
        response.header(STAMP_HEADER),
        response.text()
    );
    println!(
        "\nTry: curl -H 'Host: town.example' -H 'Ochreshed-Consignment-Id: 1' http://{proxy}/read/hello"
    );
    println!("Press Enter to stop.");
    let _ = std::io::stdin().read_line(&mut String::new());
}
