use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A fleet has faulty machines and faulty jobs. Tasks are placed at random, but not on a machine that is
/// suspected or on which the same job failed. All faulty machines must be suspected at some time, and
/// healthy ones hardly ever.
#[test]
fn suspects_faulty_machines_despite_faulty_jobs() {
    let (mut healthy_suspected, mut found, mut faulty) = (0, 0, 0);
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut attribution = FailureAttribution::default();
        let mut failed_jobs: Vec<Vec<JobId>> = vec![Vec::new(); 20];
        let faulty_machines = rng.random_range(0..3);
        let is_faulty_job = |job: u64| job.is_multiple_of(8);
        let mut ever_suspected = BTreeSet::new();
        for now in 0..1500u64 {
            let job = JobId(now / 30 + rng.random_range(0..6));
            let machine = rng.random_range(0..20usize);
            if attribution.suspects_machine(failed_jobs[machine].iter().copied())
                || failed_jobs[machine].contains(&job)
            {
                continue;
            }
            if machine < faulty_machines || is_faulty_job(job.0) {
                attribution.note_failure(job, MachineIdx(machine as u32), now);
                failed_jobs[machine].push(job);
            } else {
                attribution.note_success(job, now);
                failed_jobs[machine].clear();
            }
            ever_suspected.extend(
                (0..20).filter(|&i| attribution.suspects_machine(failed_jobs[i].iter().copied())),
            );
        }
        faulty += faulty_machines;
        found += (0..faulty_machines).filter(|i| ever_suspected.contains(i)).count();
        healthy_suspected += ever_suspected.iter().filter(|&&i| i >= faulty_machines).count();
    }
    assert_eq!(found, faulty, "faulty machines");
    assert!(healthy_suspected <= 1, "{healthy_suspected} healthy machines of 2,000 were suspected");
}

#[test]
fn needs_several_failures_and_reverses_verdicts() {
    let mut attribution = FailureAttribution::default();
    let machine = MachineIdx;
    let failed_jobs = [JobId(1), JobId(2), JobId(3)];
    attribution.note_failure(JobId(1), machine(0), 0);
    assert!(
        !attribution.suspects_machine(failed_jobs[..1].iter().copied()),
        "one failure is consistent with a faulty job"
    );
    attribution.note_failure(JobId(2), machine(0), 1);
    attribution.note_failure(JobId(3), machine(0), 2);
    assert!(
        attribution.suspects_machine(failed_jobs.iter().copied()),
        "three jobs of which nothing else is known"
    );
    for other in [1, 2] {
        attribution.note_failure(JobId(1), machine(other), 3);
    }
    assert!(
        !attribution.suspects_machine(failed_jobs.iter().copied()),
        "one of the jobs fails everywhere"
    );
    attribution.note_success(JobId(2), 4);
    assert!(
        attribution.suspects_machine(failed_jobs.iter().copied()),
        "one of the jobs succeeded elsewhere"
    );
    attribution.expire(EVIDENCE_RETENTION_MS + 10);
    assert!(attribution.jobs.is_empty());
}
