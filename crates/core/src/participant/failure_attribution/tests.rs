use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A fleet has faulty machines and faulty jobs. Tasks are placed at random, but not on a machine that is
/// suspected or on which the same job failed. All faulty machines must be suspected at some time, and
/// healthy ones hardly ever.
#[test]
fn faulty_machines_are_found_among_jobs_with_mistakes() {
    let (mut healthy_shunned, mut found, mut faulty) = (0, 0, 0);
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut attribution = FailureAttribution::default();
        let mut here: Vec<Vec<JobId>> = vec![Vec::new(); 20];
        let bad_machines = rng.random_range(0..3);
        let mistaken = |job: u64| job.is_multiple_of(8);
        let mut ever = BTreeSet::new();
        for now in 0..1500u64 {
            let job = JobId(now / 30 + rng.random_range(0..6));
            let machine = rng.random_range(0..20usize);
            if attribution.suspects_machine(here[machine].iter().copied())
                || here[machine].contains(&job)
            {
                continue;
            }
            if machine < bad_machines || mistaken(job.0) {
                attribution.note_failure(job, MachineIdx(machine as u32), now);
                here[machine].push(job);
            } else {
                attribution.note_success(job, now);
                here[machine].clear();
            }
            ever.extend((0..20).filter(|&i| attribution.suspects_machine(here[i].iter().copied())));
        }
        faulty += bad_machines;
        found += (0..bad_machines).filter(|i| ever.contains(i)).count();
        healthy_shunned += ever.iter().filter(|&&i| i >= bad_machines).count();
    }
    assert_eq!(found, faulty, "faulty machines");
    assert!(healthy_shunned <= 1, "{healthy_shunned} healthy machines of 2,000 were suspected");
}

#[test]
fn a_single_failure_is_no_verdict_and_later_evidence_takes_one_back() {
    let mut attribution = FailureAttribution::default();
    let machine = MachineIdx;
    let here = [JobId(1), JobId(2), JobId(3)];
    attribution.note_failure(JobId(1), machine(0), 0);
    assert!(
        !attribution.suspects_machine(here[..1].iter().copied()),
        "one failure is consistent with a faulty job"
    );
    attribution.note_failure(JobId(2), machine(0), 1);
    attribution.note_failure(JobId(3), machine(0), 2);
    assert!(
        attribution.suspects_machine(here.iter().copied()),
        "three jobs of which nothing else is known"
    );
    for other in [1, 2] {
        attribution.note_failure(JobId(1), machine(other), 3);
    }
    assert!(
        !attribution.suspects_machine(here.iter().copied()),
        "one of the jobs fails everywhere"
    );
    attribution.note_success(JobId(2), 4);
    assert!(
        attribution.suspects_machine(here.iter().copied()),
        "one of the jobs ran well elsewhere"
    );
    attribution.expire(EVIDENCE_RETENTION_MS + 10);
    assert!(attribution.jobs.is_empty());
}
