use super::*;
use crate::participant::tests::World;

fn summary() -> MachineSummary {
    MachineSummary {
        machine_type: MachineTypeIdx(0),
        zone: None,
        spot: false,
        idle_since: None,
        unusable: false,
        draining: false,
    }
}

/// Returns how many machines the messages list as present and as gone.
fn named(messages: &[ShardMessage]) -> (usize, usize) {
    let counts = messages.iter().map(|message| match message {
        ShardMessage::Inventory { machines, gone, .. } => (machines.len(), gone.len()),
        other => panic!("not an inventory: {other:?}"),
    });
    counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// Guards against messages that end with the last changed machine: of 1,500 machines that were removed at
/// once, 500 then stayed in the provisioner's list for good.
#[test]
fn lists_every_removed_machine() {
    const MACHINES: u32 = 1500;
    let mut names = World::new().names;
    let mut publisher = InventoryPublisher::default();
    for number in 0..MACHINES {
        let idx = names.machine(&format!("n-{number:06}"));
        publisher.set(idx, Some(summary()));
    }
    assert_eq!(named(&publisher.next_messages(0, &names)), (MACHINES as usize, 0));
    for number in 0..MACHINES {
        publisher.remove(MachineIdx(number));
    }
    assert_eq!(named(&publisher.next_messages(1000, &names)), (0, MACHINES as usize));
}
