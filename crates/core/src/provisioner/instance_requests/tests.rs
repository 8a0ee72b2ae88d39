use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};

fn request(count: u32) -> InstanceRequest {
    let (type_name, zone) = ("mule".to_string(), "a".to_string());
    InstanceRequest { request: String::new(), type_name, zone, spot: false, count }
}

/// The cloud loses or delays responses to requests that it executed, refuses requests, or has no
/// capacity. Every instance that it launches must be reported once, and no name may be used for two
/// requests.
#[test]
fn every_launched_instance_is_reported_once() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut requests = InstanceRequests::default();
        let mut cloud: HashMap<String, (u32, Vec<String>)> = HashMap::new();
        let mut known = BTreeSet::new();
        let mut answers: Vec<(u64, CloudResult)> = Vec::new();
        let (mut machines, mut most_pending) = (0, 0);
        for step in 0..3000u64 {
            let now = step * 100;
            if step < 2000 && requests.available() > 0 && rng.random_bool(0.5) {
                requests.add(Epoch(7), request(rng.random_range(0..80)), now);
            }
            if let Some((number, request)) = requests.next_to_send(now) {
                assert!((1..=MAX_INSTANCES_PER_REQUEST).contains(&request.count));
                let refused = rng.random_bool(0.1);
                let result = match cloud.get(&request.request) {
                    _ if refused => CloudResult::Refused,
                    Some((count, names)) => {
                        assert_eq!(*count, request.count, "a name is used for one request");
                        CloudResult::Launched(names.clone())
                    }
                    None if rng.random_bool(0.2) => CloudResult::NoCapacity,
                    None => {
                        let n = rng.random_range(1..=request.count);
                        let names: Vec<String> =
                            (0..n).map(|i| format!("n-{}", machines + i)).collect();
                        machines += n;
                        cloud.insert(request.request.clone(), (request.count, names.clone()));
                        CloudResult::Launched(names)
                    }
                };
                let lost = step < 2500 && rng.random_bool(0.3);
                answers.push((number, if lost { CloudResult::Unknown } else { result }));
            }
            most_pending = most_pending.max(requests.pending().count());
            while !answers.is_empty() && rng.random_bool(0.5) {
                let (number, result) = answers.swap_remove(rng.random_range(0..answers.len()));
                if let RequestOutcome::Launched { instances, .. } =
                    requests.on_result(now, number, result)
                {
                    for name in instances {
                        assert!(known.insert(name), "seed {seed}: reported twice");
                    }
                }
            }
        }
        assert_eq!(known.len(), machines as usize, "seed {seed}: launched and not reported");
        assert!(
            most_pending > 10
                && most_pending <= MAX_PENDING_REQUESTS
                && requests.pending().count() == 0,
            "{most_pending} pending"
        );
    }
}
