//! Stations against what queueing theory says of them in closed form, within confidence intervals of batch means; and
//! the troubles that theory knows nothing of, as short traces.

use std::collections::BTreeMap;

use ochreshed_emulator::event_queue::EventQueue;
use ochreshed_emulator::random::{DurationDistribution, RandomStream};
use ochreshed_emulator::service_queue::{
    Admission, OverloadDegradation, QueueConfig, ServiceQueue, SlowStart,
};
use ochreshed_emulator::{MS, Nanos, S};

/// What jobs saw: how long each that was taken waited, and the part that was refused.
struct Seen {
    waits: Vec<f64>,
    refused: f64,
}

enum Event {
    Arrival,
    End(u64),
}

fn plain(slots: usize, room: usize) -> QueueConfig {
    QueueConfig { slots, queue_capacity: room, slow_start: None, degradation: None }
}

/// Lets so many jobs come without memory at a rate, with work drawn from a distribution. Waits in seconds.
fn play(build: QueueConfig, per_s: f64, work: DurationDistribution, jobs: u64) -> Seen {
    let (mut arrivals, mut works) = (RandomStream::new(11, "arrivals"), RandomStream::new(11, "work"));
    let mut station = ServiceQueue::new(build, 0);
    let mut events = EventQueue::new(0);
    let (mut came, mut refused) = (0, 0u64);
    let mut since = BTreeMap::<u64, Nanos>::new();
    let mut waits = Vec::new();
    events.schedule_at(0, Event::Arrival);
    while let Some(event) = events.pop_until(Nanos::MAX) {
        let now = events.now();
        match event {
            Event::Arrival if came < jobs => {
                came += 1;
                match station.submit(now, came, work.sample(&mut works)) {
                    Admission::Started { ends_at: ends } => {
                        waits.push(0.0);
                        events.schedule_at(ends, Event::End(came));
                    }
                    Admission::Queued => drop(since.insert(came, now)),
                    Admission::Rejected => refused += 1,
                }
                if let Some(gap) = arrivals.sample_arrival_gap(per_s) {
                    events.schedule_after(gap, Event::Arrival);
                }
            }
            Event::Arrival => {}
            Event::End(job) => {
                for (next, ends) in station.finish_job(now, job) {
                    let came = since.remove(&next).expect("it waited");
                    waits.push((now - came) as f64 / 1e9);
                    events.schedule_at(ends, Event::End(next));
                }
            }
        }
    }
    assert!(station.waiting_count() == 0 && station.running_count() == 0 && since.is_empty());
    Seen { waits, refused: refused as f64 / jobs as f64 }
}

/// The mean over batches, past a tenth to warm up, and half its 99.9% interval.
fn mean(waits: &[f64]) -> (f64, f64) {
    let waits = &waits[waits.len() / 10..];
    let batches: Vec<f64> =
        waits.chunks_exact(waits.len() / 30).map(|b| b.iter().sum::<f64>() / b.len() as f64).collect();
    let number = batches.len() as f64;
    let mean = batches.iter().sum::<f64>() / number;
    let variance = batches.iter().map(|batch| (batch - mean).powi(2)).sum::<f64>() / (number - 1.0);
    (mean, 3.66 * (variance / number).sqrt())
}

fn agrees(what: &str, waits: &[f64], theory: f64) {
    let (mean, half) = mean(waits);
    assert!(
        (mean - theory).abs() <= half,
        "{what}: {mean:.5} s waited, {theory:.5} by theory, {half:.5} to each side"
    );
    assert!(half < 0.15 * theory, "{what}: {half:.5} to each side of {theory:.5} tells nothing");
}

/// Erlang's B: the part refused by c slots without a queue, offered a of work a second.
fn erlang_b(slots: u32, offered: f64) -> f64 {
    (1..=slots).fold(1.0, |refused, slot| offered * refused / (f64::from(slot) + offered * refused))
}

/// Erlang's C: the part that waits.
fn erlang_c(slots: u32, offered: f64) -> f64 {
    let refused = erlang_b(slots, offered);
    let busy = offered / f64::from(slots);
    refused / (1.0 - busy * (1.0 - refused))
}

const MEAN: Nanos = 10 * MS;

#[test]
fn one_slot_without_memory_waits_as_m_m_1_does() {
    for busy in [0.5, 0.8] {
        let seen = play(
            plain(1, usize::MAX),
            busy * 100.0,
            DurationDistribution::Exponential { mean: MEAN },
            400_000,
        );
        agrees("M/M/1", &seen.waits, busy / (1.0 - busy) * 0.01);
    }
}

#[test]
fn one_slot_of_even_work_waits_half_as_long() {
    let seen = play(plain(1, usize::MAX), 80.0, DurationDistribution::Fixed { mean: MEAN }, 400_000);
    agrees("M/D/1", &seen.waits, 0.8 / (2.0 * (1.0 - 0.8)) * 0.01);
}

#[test]
fn a_long_tail_waits_as_pollaczek_and_khinchine_say() {
    let sigma = 0.8;
    let seen =
        play(plain(1, usize::MAX), 60.0, DurationDistribution::LogNormal { mean: MEAN, sigma }, 800_000);
    let squared = f64::exp(sigma * sigma);
    agrees("M/G/1", &seen.waits, 0.6 * squared / (2.0 * (1.0 - 0.6)) * 0.01);
}

#[test]
fn several_slots_wait_as_m_m_c_does() {
    for (slots, offered) in [(4, 3.2), (16, 14.0)] {
        let build = plain(slots as usize, usize::MAX);
        let seen = play(build, offered * 100.0, DurationDistribution::Exponential { mean: MEAN }, 600_000);
        let theory = erlang_c(slots, offered) * 0.01 / (f64::from(slots) - offered);
        agrees("M/M/c", &seen.waits, theory);
    }
}

#[test]
fn without_room_what_is_refused_is_erlangs_loss_whatever_the_work() {
    for work in [
        DurationDistribution::Exponential { mean: MEAN },
        DurationDistribution::Fixed { mean: MEAN },
        DurationDistribution::LogNormal { mean: MEAN, sigma: 1.0 },
    ] {
        let seen = play(plain(8, 0), 700.0, work.clone(), 400_000);
        let theory = erlang_b(8, 7.0);
        assert!(
            (seen.refused - theory).abs() < 0.005,
            "{work:?}: {:.4} refused, {theory:.4} by theory",
            seen.refused
        );
    }
}

#[test]
fn a_cold_station_speeds_up_evenly() {
    let cold = Some(SlowStart { initial_speed: 0.2, duration: 10 * S });
    let mut station = ServiceQueue::new(QueueConfig { slow_start: cold, ..plain(100, 0) }, 5 * S);
    let mut takes = |at: Nanos, job| match station.submit(at, job, MEAN) {
        Admission::Started { ends_at: ends } => (ends - at) / MS,
        other => panic!("{other:?}"),
    };
    assert_eq!([takes(5 * S, 1), takes(10 * S, 2), takes(15 * S, 3), takes(99 * S, 4)], [50, 16, 10, 10]);
}

#[test]
fn fatigue_comes_of_being_held_crowded_and_goes_only_with_rest() {
    let fatigue =
        Some(OverloadDegradation { min_waiting: 2, onset: S, speed: 0.5, recovery_idle_time: 20 * S });
    let mut station = ServiceQueue::new(QueueConfig { degradation: fatigue, ..plain(1, 10) }, 0);
    assert_eq!(station.submit(0, 1, 900 * MS), Admission::Started { ends_at: 900 * MS });
    for job in 2..6 {
        assert_eq!(station.submit(0, job, 900 * MS), Admission::Queued);
    }
    // Crowded from 0 on; after a second the next one starts slow.
    assert_eq!(station.finish_job(900 * MS, 1), [(2, 1_800 * MS)]);
    assert_eq!(station.finish_job(1_800 * MS, 2), [(3, 3_600 * MS)]);
    // Not crowded any more, and still slow, as long as there is anything to do.
    assert_eq!(station.finish_job(3_600 * MS, 3), [(4, 5_400 * MS)]);
    assert_eq!(station.finish_job(5_400 * MS, 4), [(5, 7_200 * MS)]);
    assert_eq!(station.finish_job(7_200 * MS, 5), []);
    // Idle, but not for long enough.
    assert_eq!(station.submit(20 * S, 6, 900 * MS), Admission::Started { ends_at: 21_800 * MS });
    assert_eq!(station.finish_job(21_800 * MS, 6), []);
    assert_eq!(station.submit(41_900 * MS, 7, 900 * MS), Admission::Started { ends_at: 42_800 * MS });
}

#[test]
fn a_pause_puts_ends_off_and_starts_nothing() {
    let mut station = ServiceQueue::new(plain(1, 2), 0);
    assert_eq!(station.submit(0, 1, 100 * MS), Admission::Started { ends_at: 100 * MS });
    assert_eq!(station.pause(50 * MS, 550 * MS), [(1, 600 * MS)]);
    // A second pause within the first adds only what reaches beyond it.
    assert_eq!(station.pause(60 * MS, 650 * MS), [(1, 700 * MS)]);
    assert_eq!(station.submit(70 * MS, 2, 100 * MS), Admission::Queued);
    assert_eq!(station.cancel_job(80 * MS, 1), (true, vec![]));
    assert_eq!(station.submit(90 * MS, 3, 100 * MS), Admission::Queued);
    assert_eq!(station.submit(90 * MS, 4, 100 * MS), Admission::Rejected);
    assert_eq!(station.cancel_job(95 * MS, 9), (false, vec![]));
    assert_eq!(station.start_waiting_jobs(650 * MS), [(2, 750 * MS)]);
    assert_eq!(station.cancel_job(700 * MS, 2), (true, vec![(3, 800 * MS)]));
}
