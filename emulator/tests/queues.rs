//! Service queues against the closed forms of queueing theory, within confidence intervals of batch means; and slow start,
//! degradation and pauses as short traces.

use std::collections::BTreeMap;

use ochreshed_emulator::event_queue::EventQueue;
use ochreshed_emulator::random::{DurationDistribution, RandomStream};
use ochreshed_emulator::service_queue::{
    Admission, OverloadDegradation, QueueConfig, ServiceQueue, SlowStart,
};
use ochreshed_emulator::{MS, Nanos, S};

/// Waiting times of the accepted jobs in seconds, and the fraction of rejected jobs.
struct QueueMetrics {
    waits: Vec<f64>,
    refused: f64,
}

enum Event {
    Arrival,
    End(u64),
}

fn queue_config(slots: usize, room: usize) -> QueueConfig {
    QueueConfig { slots, queue_capacity: room, slow_start: None, degradation: None }
}

/// Simulates Poisson arrivals with work drawn from a distribution.
fn simulate_queue(build: QueueConfig, per_s: f64, work: DurationDistribution, jobs: u64) -> QueueMetrics {
    let (mut arrivals, mut works) = (RandomStream::new(11, "arrivals"), RandomStream::new(11, "work"));
    let mut queue = ServiceQueue::new(build, 0);
    let mut events = EventQueue::new(0);
    let (mut arrived, mut refused) = (0, 0u64);
    let mut since = BTreeMap::<u64, Nanos>::new();
    let mut waits = Vec::new();
    events.schedule_at(0, Event::Arrival);
    while let Some(event) = events.pop_until(Nanos::MAX) {
        let now = events.now();
        match event {
            Event::Arrival if arrived < jobs => {
                arrived += 1;
                match queue.submit(now, arrived, work.sample(&mut works)) {
                    Admission::Started { ends_at: ends } => {
                        waits.push(0.0);
                        events.schedule_at(ends, Event::End(arrived));
                    }
                    Admission::Queued => drop(since.insert(arrived, now)),
                    Admission::Rejected => refused += 1,
                }
                if let Some(gap) = arrivals.sample_arrival_gap(per_s) {
                    events.schedule_after(gap, Event::Arrival);
                }
            }
            Event::Arrival => {}
            Event::End(job) => {
                for (next, ends) in queue.finish_job(now, job) {
                    let arrived = since.remove(&next).expect("it waited");
                    waits.push((now - arrived) as f64 / 1e9);
                    events.schedule_at(ends, Event::End(next));
                }
            }
        }
    }
    assert!(queue.waiting_count() == 0 && queue.running_count() == 0 && since.is_empty());
    QueueMetrics { waits, refused: refused as f64 / jobs as f64 }
}

/// Mean over batches without the first tenth (warm-up), and half of its 99.9% confidence interval.
fn mean(waits: &[f64]) -> (f64, f64) {
    let waits = &waits[waits.len() / 10..];
    let batches: Vec<f64> =
        waits.chunks_exact(waits.len() / 30).map(|b| b.iter().sum::<f64>() / b.len() as f64).collect();
    let number = batches.len() as f64;
    let mean = batches.iter().sum::<f64>() / number;
    let variance = batches.iter().map(|batch| (batch - mean).powi(2)).sum::<f64>() / (number - 1.0);
    (mean, 3.66 * (variance / number).sqrt())
}

fn assert_mean_wait(what: &str, waits: &[f64], theory: f64) {
    let (mean, half) = mean(waits);
    assert!(
        (mean - theory).abs() <= half,
        "{what}: {mean:.5} s waited, {theory:.5} by theory, {half:.5} to each side"
    );
    assert!(half < 0.15 * theory, "{what}: {half:.5} to each side of {theory:.5} tells nothing");
}

/// Erlang B: fraction rejected by `slots` servers without a queue at this offered load.
fn erlang_b(slots: u32, offered: f64) -> f64 {
    (1..=slots).fold(1.0, |refused, slot| offered * refused / (f64::from(slot) + offered * refused))
}

/// Erlang C: fraction that waits.
fn erlang_c(slots: u32, offered: f64) -> f64 {
    let refused = erlang_b(slots, offered);
    let busy = offered / f64::from(slots);
    refused / (1.0 - busy * (1.0 - refused))
}

const MEAN_WORK: Nanos = 10 * MS;

#[test]
fn m_m_1_waits_match_theory() {
    for busy in [0.5, 0.8] {
        let metrics = simulate_queue(
            queue_config(1, usize::MAX),
            busy * 100.0,
            DurationDistribution::Exponential { mean: MEAN_WORK },
            400_000,
        );
        assert_mean_wait("M/M/1", &metrics.waits, busy / (1.0 - busy) * 0.01);
    }
}

#[test]
fn m_d_1_waits_match_theory() {
    let metrics = simulate_queue(
        queue_config(1, usize::MAX),
        80.0,
        DurationDistribution::Fixed { mean: MEAN_WORK },
        400_000,
    );
    assert_mean_wait("M/D/1", &metrics.waits, 0.8 / (2.0 * (1.0 - 0.8)) * 0.01);
}

#[test]
fn m_g_1_waits_match_pollaczek_khinchine() {
    let sigma = 0.8;
    let metrics = simulate_queue(
        queue_config(1, usize::MAX),
        60.0,
        DurationDistribution::LogNormal { mean: MEAN_WORK, sigma },
        800_000,
    );
    let squared = f64::exp(sigma * sigma);
    assert_mean_wait("M/G/1", &metrics.waits, 0.6 * squared / (2.0 * (1.0 - 0.6)) * 0.01);
}

#[test]
fn m_m_c_waits_match_theory() {
    for (slots, offered) in [(4, 3.2), (16, 14.0)] {
        let build = queue_config(slots as usize, usize::MAX);
        let metrics = simulate_queue(
            build,
            offered * 100.0,
            DurationDistribution::Exponential { mean: MEAN_WORK },
            600_000,
        );
        let theory = erlang_c(slots, offered) * 0.01 / (f64::from(slots) - offered);
        assert_mean_wait("M/M/c", &metrics.waits, theory);
    }
}

#[test]
fn rejections_without_a_queue_match_erlang_b_for_any_distribution() {
    for work in [
        DurationDistribution::Exponential { mean: MEAN_WORK },
        DurationDistribution::Fixed { mean: MEAN_WORK },
        DurationDistribution::LogNormal { mean: MEAN_WORK, sigma: 1.0 },
    ] {
        let metrics = simulate_queue(queue_config(8, 0), 700.0, work.clone(), 400_000);
        let theory = erlang_b(8, 7.0);
        assert!(
            (metrics.refused - theory).abs() < 0.005,
            "{work:?}: {:.4} refused, {theory:.4} by theory",
            metrics.refused
        );
    }
}

#[test]
fn slow_start_raises_the_speed_linearly() {
    let cold = Some(SlowStart { initial_speed: 0.2, duration: 10 * S });
    let mut queue = ServiceQueue::new(QueueConfig { slow_start: cold, ..queue_config(100, 0) }, 5 * S);
    let mut takes = |at: Nanos, job| match queue.submit(at, job, MEAN_WORK) {
        Admission::Started { ends_at: ends } => (ends - at) / MS,
        other => panic!("{other:?}"),
    };
    assert_eq!([takes(5 * S, 1), takes(10 * S, 2), takes(15 * S, 3), takes(99 * S, 4)], [50, 16, 10, 10]);
}

#[test]
fn degradation_starts_with_overload_and_ends_only_after_idle_time() {
    let fatigue =
        Some(OverloadDegradation { min_waiting: 2, onset: S, speed: 0.5, recovery_idle_time: 20 * S });
    let mut queue = ServiceQueue::new(QueueConfig { degradation: fatigue, ..queue_config(1, 10) }, 0);
    assert_eq!(queue.submit(0, 1, 900 * MS), Admission::Started { ends_at: 900 * MS });
    for job in 2..6 {
        assert_eq!(queue.submit(0, job, 900 * MS), Admission::Queued);
    }
    // Overloaded since 0; a job that starts after a second is slow.
    assert_eq!(queue.finish_job(900 * MS, 1), [(2, 1_800 * MS)]);
    assert_eq!(queue.finish_job(1_800 * MS, 2), [(3, 3_600 * MS)]);
    // No longer overloaded, but still slow until the queue has been idle for long enough.
    assert_eq!(queue.finish_job(3_600 * MS, 3), [(4, 5_400 * MS)]);
    assert_eq!(queue.finish_job(5_400 * MS, 4), [(5, 7_200 * MS)]);
    assert_eq!(queue.finish_job(7_200 * MS, 5), []);
    // Idle, but not for long enough.
    assert_eq!(queue.submit(20 * S, 6, 900 * MS), Admission::Started { ends_at: 21_800 * MS });
    assert_eq!(queue.finish_job(21_800 * MS, 6), []);
    assert_eq!(queue.submit(41_900 * MS, 7, 900 * MS), Admission::Started { ends_at: 42_800 * MS });
}

#[test]
fn a_pause_postpones_ends_and_starts_no_job() {
    let mut queue = ServiceQueue::new(queue_config(1, 2), 0);
    assert_eq!(queue.submit(0, 1, 100 * MS), Admission::Started { ends_at: 100 * MS });
    assert_eq!(queue.pause(50 * MS, 550 * MS), [(1, 600 * MS)]);
    // An overlapping pause adds only what exceeds the first one.
    assert_eq!(queue.pause(60 * MS, 650 * MS), [(1, 700 * MS)]);
    assert_eq!(queue.submit(70 * MS, 2, 100 * MS), Admission::Queued);
    assert_eq!(queue.cancel_job(80 * MS, 1), (true, vec![]));
    assert_eq!(queue.submit(90 * MS, 3, 100 * MS), Admission::Queued);
    assert_eq!(queue.submit(90 * MS, 4, 100 * MS), Admission::Rejected);
    assert_eq!(queue.cancel_job(95 * MS, 9), (false, vec![]));
    assert_eq!(queue.start_waiting_jobs(650 * MS), [(2, 750 * MS)]);
    assert_eq!(queue.cancel_job(700 * MS, 2), (true, vec![(3, 800 * MS)]));
}
