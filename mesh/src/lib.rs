//! What the processes of a mesh decide in common. It owns the operators' timetable as it is read and checked, how
//! members' routes are laid over it, the core's agreement on who is in it and on which keys have run, and the list of
//! upstreams. It does no I/O and knows no clock: times are told, chance is drawn from a seed, and what is to be written
//! or sent is handed out as acts.

pub mod budget;
pub mod calls;
pub mod claim_breaker;
pub mod delta;
pub mod fared;
pub mod health;
pub mod idle;
pub mod lay;
pub mod list;
pub mod members;
pub mod news;
pub mod office;
pub mod pace;
pub mod parcels;
pub mod shares;
pub mod slots;
pub mod timetable;
pub mod trial;
