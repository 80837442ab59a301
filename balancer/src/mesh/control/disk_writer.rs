//! The thread that writes log records to disk and acknowledges them to the event loop.
//!
//! Main types: [`DiskWriter`], the handle of the event loop; [`WriteBatch`], its input; [`PersistedBatches`], its
//! output; and [`DiskWriteCounts`] for metrics.
//!
//! Invariants: batches are written and acknowledged in the order of submission; the messages of a batch are returned
//! only after its records, and those of all earlier batches, are synced to disk.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use ochreshed_consensus::messages::{LogRecord, Message};
use ochreshed_storage::Store;
use tokio::sync::mpsc;

/// Wait before a failed write is retried.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Log records, and the messages that may be sent once the records are synced.
#[derive(Default)]
pub struct WriteBatch {
    pub records: Vec<LogRecord>,
    pub messages: Vec<(SocketAddr, Message)>,
}

impl WriteBatch {
    /// Whether the batch has neither records nor messages.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.messages.is_empty()
    }

    fn append(&mut self, next: WriteBatch) {
        self.records.extend(next.records);
        self.messages.extend(next.messages);
    }
}

/// One or more batches that are synced to disk.
pub struct PersistedBatches {
    /// The number of batches that were written together.
    pub count: usize,
    /// The messages of all batches, in order.
    pub messages: Vec<(SocketAddr, Message)>,
}

/// Totals since the start of the process.
#[derive(Default)]
pub struct DiskWriteCounts {
    writes: AtomicU64,
    records: AtomicU64,
}

impl DiskWriteCounts {
    /// Returns the number of writes, each of them synced.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes.load(Relaxed)
    }

    /// Returns the number of log records in all writes.
    #[must_use]
    pub fn records(&self) -> u64 {
        self.records.load(Relaxed)
    }

    fn add_write(&self, records: usize) {
        self.writes.fetch_add(1, Relaxed);
        self.records.fetch_add(records as u64, Relaxed);
    }
}

/// The event loop's handle of the writer thread. The thread ends when the handle is dropped.
pub struct DiskWriter {
    batches: Sender<WriteBatch>,
    persisted: mpsc::UnboundedReceiver<PersistedBatches>,
}

impl DiskWriter {
    /// Starts the writer thread for `store`.
    #[must_use]
    pub fn spawn(store: Store, counts: Arc<DiskWriteCounts>) -> DiskWriter {
        let (batches, submitted) = channel();
        let (acknowledge, persisted) = mpsc::unbounded_channel();
        std::thread::spawn(move || write_batches(store, &submitted, &acknowledge, &counts));
        DiskWriter { batches, persisted }
    }

    /// Queues a batch. It never blocks.
    pub fn submit(&self, batch: WriteBatch) {
        // The thread runs until this sender is dropped, so there is always a receiver.
        let _ = self.batches.send(batch);
    }

    /// Waits for the next batches that are synced to disk. Cancel safe.
    pub async fn next_persisted(&mut self) -> Option<PersistedBatches> {
        self.persisted.recv().await
    }
}

/// Writes all queued batches together, because each write costs a sync.
fn write_batches(
    mut store: Store,
    submitted: &Receiver<WriteBatch>,
    acknowledge: &mpsc::UnboundedSender<PersistedBatches>,
    counts: &DiskWriteCounts,
) {
    while let Ok(mut batch) = submitted.recv() {
        let mut count = 1;
        while let Ok(next) = submitted.try_recv() {
            batch.append(next);
            count += 1;
        }
        if !batch.records.is_empty() {
            write_until_persisted(&mut store, &batch.records);
            counts.add_write(batch.records.len());
        }
        if acknowledge.send(PersistedBatches { count, messages: batch.messages }).is_err() {
            return;
        }
    }
}

/// Retries a write until it succeeds. Nothing may be acknowledged before, and a replica can't work without its disk.
fn write_until_persisted(store: &mut Store, records: &[LogRecord]) {
    let mut failures = 0_u64;
    while let Err(error) = store.persist(records) {
        if failures == 0 {
            log::warn!("disk: write failed, repeated until it succeeds: error={error}");
        }
        failures += 1;
        std::thread::sleep(WRITE_RETRY_INTERVAL);
    }
    if failures > 0 {
        log::info!("disk: write succeeded: failures={failures}");
    }
}

#[cfg(test)]
#[path = "tests/disk_writer_tests.rs"]
mod disk_writer_tests;
