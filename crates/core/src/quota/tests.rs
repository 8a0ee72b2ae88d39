use super::*;

#[test]
fn shares_never_exceed_the_limit_and_wait_for_every_coordinator() {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 10.0, gpus: 0.0, gpus_max: 0.0 };
    let mut d = QuotaManager::new(Shard(0), &[team], 3);
    let ask = |cpu, more_cpu| [TeamUse { team: 0, cpu, gpu: 0, more_cpu, more_gpu: 0 }];
    let got = |v: Vec<TeamUse>| v[0].cpu;
    assert_eq!(got(d.report(Shard(0), Epoch(5), &ask(0, 9000))), 0, "others are unknown yet");
    assert_eq!(got(d.report(Shard(1), Epoch(6), &ask(4000, 0))), 0);
    assert_eq!(got(d.report(Shard(2), Epoch(7), &ask(0, 9000))), 6000);
    assert_eq!(got(d.report(Shard(0), Epoch(5), &ask(0, 9000))), 0, "all of it is given out");
    assert_eq!(got(d.report(Shard(2), Epoch(7), &ask(1000, 0))), 1000, "unused is given up");
    assert_eq!(got(d.report(Shard(0), Epoch(5), &ask(0, 9000))), 5000);
    let taken_over = got(d.report(Shard(1), Epoch(9), &ask(9000, 0)));
    assert!(taken_over <= 10_000 - 6000, "a grant keeps to the limit, whatever is in use");
    assert!(d.report(Shard(1), Epoch(3), &ask(0, 0)).is_empty(), "an old epoch says nothing");
}

#[cfg(feature = "guards")]
#[test]
fn its_guards_are_missed() {
    use crate::guards::{missed_by, Guard};
    missed_by(Guard::GrantsComplete, shares_never_exceed_the_limit_and_wait_for_every_coordinator);
    missed_by(Guard::GrantsShared, shares_never_exceed_the_limit_and_wait_for_every_coordinator);
}
