//! Benchmarks of learning, estimation and simulation of a job's end.

use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use std::hint::black_box;
use troutspindle_runtime_estimates::{Learner, Profile, RunObservations, remaining};

const CLASSES: usize = 300;

fn profile<'a>(job: &'a str, class: &'a str) -> Profile<'a> {
    let size = [4_000_000, 0, 14_000_000];
    Profile { job, class, team: "bank", image: "img-7", size, expect_s: 80.0, tasks: 50 }
}

fn learned(names: &[String]) -> Learner {
    let mut learner = Learner::default();
    for run in 0..30u32 {
        for (n, class) in names.iter().enumerate() {
            let mut observed = RunObservations::default();
            for task in 0..50u32 {
                observed.record_completed(60.0 + f64::from((task * 7 + run + n as u32) % 20));
            }
            learner.learn(&profile(&format!("wk-{run}-{n}"), class), &observed, run * 24);
        }
    }
    learner
}

fn estimates(c: &mut Criterion) {
    let names: Vec<String> = (0..CLASSES).map(|n| format!("class-{n}")).collect();
    let learner = learned(&names);
    let no_observations = RunObservations::default();
    let mut index = 0;
    c.bench_function("an estimate of one job of 300 classes", |b| {
        b.iter(|| {
            index = (index + 1) % names.len();
            learner.estimate(black_box(&profile("wk-x", &names[index])), &no_observations, 720)
        })
    });
    let mut group = c.benchmark_group("observations");
    group.throughput(Throughput::Elements(1000));
    group.bench_function("1000 tasks that ended", |b| {
        b.iter_batched_ref(
            RunObservations::default,
            |observed| {
                (0..1000u32)
                    .for_each(|n| observed.record_completed(black_box(40.0 + f64::from(n % 50))))
            },
            BatchSize::SmallInput,
        )
    });
    group.finish();
    let mut observed = RunObservations::default();
    (0..30u32).for_each(|n| observed.record_completed(60.0 + f64::from(n % 9)));
    let running: Vec<f64> = (0..100u32).map(f64::from).collect();
    c.bench_function("the end of a job of 1000 tasks, 100 of which run", |b| {
        b.iter(|| {
            let all = observed.with_running(&running);
            let estimate = learner.estimate(&profile("wk-x", &names[0]), &all, 720);
            estimate.map(|e| remaining(&e.distribution, &running, 870, 100).quantile(0.5))
        })
    });
}

criterion_group!(benches, estimates);
criterion_main!(benches);
