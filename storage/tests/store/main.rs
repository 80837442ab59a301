//! The store on a simulated disk that loses power, refuses calls, fills up and damages files, and on a real directory.

mod compaction;
mod crash_points;
mod damaged_files;
mod disk_full;
mod messages;
mod os_directory;
mod random;
mod records;
mod replica_state;
mod session_crash_points;
mod simulated_disk;
#[path = "../temp_directory/mod.rs"]
mod temp_directory;
mod tombstone_crash_points;
mod workload;
mod write_cost;
