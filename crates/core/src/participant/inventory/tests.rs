use super::*;
use leaddeal_wire::cloud::{Catalog, MachineType};

fn names() -> Names {
    let small = MachineType {
        name: "small".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 5.0,
        zones: vec!["a".into()],
    };
    let mut names = Names::default();
    names.set_catalog(Catalog { types: vec![small] });
    names
}

fn summary() -> MachineSummary {
    MachineSummary {
        machine_type: TypeIdx(0),
        zone: None,
        spot: false,
        idle_since: None,
        dead: false,
        draining: false,
    }
}

/// How many machines the messages name as present, and as gone.
fn named(messages: &[ShardMessage]) -> (usize, usize) {
    let counts = messages.iter().map(|message| match message {
        ShardMessage::Inventory { machines, gone, .. } => (machines.len(), gone.len()),
        other => panic!("not an inventory: {other:?}"),
    });
    counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// (Found by reading: the messages ended with the last changed machine, so that of 1,500 machines that
/// were gone at once 500 stayed with the provisioner for good.)
#[test]
fn every_machine_that_is_gone_is_named_however_many_there_are() {
    const MACHINES: u32 = 1500;
    let mut names = names();
    let mut publisher = InventoryPublisher::default();
    for number in 0..MACHINES {
        let idx = names.machine(&format!("n-{number:06}"));
        publisher.set(idx, Some(summary()));
    }
    assert_eq!(named(&publisher.changes(0, &names)), (MACHINES as usize, 0));
    for number in 0..MACHINES {
        publisher.gone(MachineIdx(number));
    }
    assert_eq!(named(&publisher.changes(1000, &names)), (0, MACHINES as usize));
}
