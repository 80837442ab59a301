//! Tests of the acknowledgements of the disk writer and their order.

use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_consensus::messages::{LogRecord, Message, MessageBody, RegisterName, ReplicaId};
use ochreshed_storage::Store;

use super::{DiskWriteCounts, DiskWriter, WriteBatch};

fn message(epoch: u64) -> (SocketAddr, Message) {
    let address = SocketAddr::from(([127, 0, 0, 1], 7620));
    let from = ReplicaId { address, disk_id: 0 };
    (address, Message { from, epoch, body: MessageBody::ListRegisters(RegisterName::from("")) })
}

#[tokio::test]
async fn messages_are_returned_in_order_after_their_records_are_written() {
    const BATCHES: u64 = 20;
    let directory = std::env::temp_dir().join(format!("ochreshed-disk-writer-{}", std::process::id()));
    let (store, _) = Store::open(&directory).expect("open the store");
    let counts: Arc<DiskWriteCounts> = Arc::default();
    let mut disk = DiskWriter::spawn(store, counts.clone());
    for epoch in 0..BATCHES {
        let records = vec![LogRecord::LeaseReleased(u128::from(epoch), 1)];
        disk.submit(WriteBatch { records, messages: vec![message(epoch)] });
    }
    let (mut batches, mut epochs) = (0, Vec::new());
    while batches < BATCHES as usize {
        let persisted = disk.next_persisted().await.expect("an acknowledgement");
        batches += persisted.count;
        epochs.extend(persisted.messages.iter().map(|(_, message)| message.epoch));
        assert!(counts.records() >= epochs.len() as u64, "acknowledged before it was written");
    }
    std::fs::remove_dir_all(&directory).expect("remove the directory");
    assert_eq!(epochs, (0..BATCHES).collect::<Vec<_>>());
    assert_eq!(counts.records(), BATCHES);
    assert!((1..=BATCHES).contains(&counts.writes()));
}
