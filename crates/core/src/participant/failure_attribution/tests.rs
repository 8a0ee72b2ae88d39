use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A fleet with faulty machines and jobs with a mistake, tasks placed at random but on no machine
/// that is suspected or that failed the same job: all faulty machines are found, and healthy ones
/// are hardly ever shunned.
#[test]
fn faulty_machines_are_found_among_jobs_with_mistakes() {
    let (mut healthy_shunned, mut found, mut faulty) = (0, 0, 0);
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut b = FailureAttribution::default();
        let mut here: Vec<Vec<JobId>> = vec![Vec::new(); 20];
        let bad_machines = rng.random_range(0..3);
        let mistaken = |job: u64| job.is_multiple_of(8);
        let mut ever = BTreeSet::new();
        for now in 0..1500u64 {
            let job = JobId(now / 30 + rng.random_range(0..6));
            let m = rng.random_range(0..20usize);
            if b.suspects_machine(here[m].iter().copied()) || here[m].contains(&job) {
                continue;
            }
            if m < bad_machines || mistaken(job.0) {
                b.note_failure(job, MachineIdx(m as u32), now);
                here[m].push(job);
            } else {
                b.note_success(job, now);
                here[m].clear();
            }
            ever.extend((0..20).filter(|&i| b.suspects_machine(here[i].iter().copied())));
        }
        faulty += bad_machines;
        found += (0..bad_machines).filter(|i| ever.contains(i)).count();
        healthy_shunned += ever.iter().filter(|&&i| i >= bad_machines).count();
    }
    assert_eq!(found, faulty, "faulty machines");
    assert!(healthy_shunned <= 1, "{healthy_shunned} healthy machines of 2,000 were shunned");
}

#[test]
fn a_single_failure_is_no_verdict_and_later_evidence_takes_one_back() {
    let mut b = FailureAttribution::default();
    let m = MachineIdx;
    let here = [JobId(1), JobId(2), JobId(3)];
    b.note_failure(JobId(1), m(0), 0);
    assert!(!b.suspects_machine(here[..1].iter().copied()), "it fits both");
    b.note_failure(JobId(2), m(0), 1);
    b.note_failure(JobId(3), m(0), 2);
    assert!(b.suspects_machine(here.iter().copied()), "three strangers");
    for other in [1, 2] {
        b.note_failure(JobId(1), m(other), 3);
    }
    assert!(!b.suspects_machine(here.iter().copied()), "one of them fails everywhere");
    b.note_success(JobId(2), 4);
    assert!(b.suspects_machine(here.iter().copied()), "one of them ran well elsewhere");
    b.expire(EVIDENCE_RETENTION_MS + 10);
    assert!(b.jobs.is_empty());
}
