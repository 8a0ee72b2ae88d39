use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};

fn rent(count: u32) -> InstanceRequest {
    let (type_name, zone) = ("mule".to_string(), "a".to_string());
    InstanceRequest { request: String::new(), type_name, zone, spot: false, count }
}

/// A cloud that executes requests and loses the answers, answers late, refuses, runs out: every
/// machine that it rents out is heard of once, and no name means two things.
#[test]
fn every_machine_rented_is_heard_of_once() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut r = InstanceRequests::default();
        let mut cloud: HashMap<String, (u32, Vec<String>)> = HashMap::new();
        let mut heard = BTreeSet::new();
        let mut late: Vec<(u64, CloudResult)> = Vec::new();
        let (mut machines, mut most) = (0, 0);
        for step in 0..3000u64 {
            let now = step * 100;
            if step < 2000 && r.room() > 0 && rng.random_bool(0.5) {
                r.add(Epoch(7), rent(rng.random_range(0..80)), now);
            }
            if let Some((number, rent)) = r.send(now) {
                assert!((1..=MOST_A_CALL).contains(&rent.count));
                let refused = rng.random_bool(0.1);
                let result = match cloud.get(&rent.request) {
                    _ if refused => CloudResult::Refused,
                    Some((count, names)) => {
                        assert_eq!(*count, rent.count, "a name means one thing");
                        CloudResult::Launched(names.clone())
                    }
                    None if rng.random_bool(0.2) => CloudResult::NoCapacity,
                    None => {
                        let n = rng.random_range(1..=rent.count);
                        let names: Vec<String> =
                            (0..n).map(|i| format!("n-{}", machines + i)).collect();
                        machines += n;
                        cloud.insert(rent.request.clone(), (rent.count, names.clone()));
                        CloudResult::Launched(names)
                    }
                };
                let lost = step < 2500 && rng.random_bool(0.3);
                late.push((number, if lost { CloudResult::Unknown } else { result }));
            }
            most = most.max(r.coming().count());
            while !late.is_empty() && rng.random_bool(0.5) {
                let (number, result) = late.swap_remove(rng.random_range(0..late.len()));
                if let RequestOutcome::Machines(_, names) = r.take(now, number, result) {
                    for n in names {
                        assert!(heard.insert(n), "seed {seed}: heard of twice");
                    }
                }
            }
        }
        assert_eq!(heard.len(), machines as usize, "seed {seed}: rented and not heard of");
        assert!(most > 10 && most <= MOST && r.coming().count() == 0, "{most} under way");
    }
}
