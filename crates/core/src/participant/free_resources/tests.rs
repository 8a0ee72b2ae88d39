use super::super::gpu_demand::GpuNeed;
use super::super::reservations::Reservation;
use super::*;
use crate::ids::{Attempt, Epoch, ImageIdx, Shard};
use crate::machine::{AttemptKey, StopRequest, TaskOnMachine};
use crate::names::Shape;
use leaddeal_wire::cloud::{Catalog, MachineType};
use leaddeal_wire::mesh::Shape as WireShape;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::user::{JobKind, Priority};
use leaddeal_wire::worker::TaskState;
use std::sync::Arc;

const GPU_TASK: GpuNeed = GpuNeed { cpu: 10_000, gpu: 2000, mem: 38_000 };
const WHOLE: Resources = Resources { cpu: 12_000, gpu: 2000, mem: 48_000 };

fn shape(kind: JobKind, cpu: u64) -> Shape {
    let wire = WireShape {
        kind,
        priority: Priority::Production,
        cpu,
        gpu: 0,
        mem: 1000,
        types: None,
        spot: false,
        image: "i".into(),
        image_gb: 1.0,
        save_s: 0.0,
        checkpoint_s: 0.0,
        estimate_s: 0.0,
    };
    let wire = Arc::new(wire);
    Shape { need: Resources::of(&wire), image: ImageIdx(0), wire }
}

/// Guards against replicas that fill a GPU machine for good because short tasks leave too little free for
/// GPU work at the moment.
#[test]
fn services_leave_capacity_for_gpu_work() {
    let mut participant = Participant::new(Shard(0), Epoch(1), 1, 3, 19_000);
    let service = shape(JobKind::Service, 2000);
    assert_eq!(
        participant
            .spare_for_service(WHOLE, GpuMachineAccess::BesideKnownGpuWork)
            .fit_count(service.need),
        0,
        "no GPU work is known yet"
    );
    participant.gpu_demand.note(GPU_TASK, Priority::Normal, 1);
    let mut machine = Machine::new(1);
    for (task, shape) in [(0, shape(JobKind::Array, 9000)), (1, service.clone())] {
        let placed = TaskOnMachine::new(Some(shape), TaskPhase::On(TaskState::Running), 1);
        machine.tasks.insert(AttemptKey { job: JobId(9), task, attempt: Attempt(1) }, placed);
    }
    machine.update_load();
    let empty = participant.long_term_free(MachineIdx(0), &Machine::new(1), WHOLE);
    assert_eq!(
        participant
            .spare_for_service(empty, GpuMachineAccess::BesideKnownGpuWork)
            .fit_count(service.need),
        1,
        "one replica fits beside the GPU task"
    );
    let later = participant.long_term_free(MachineIdx(0), &machine, WHOLE);
    assert_eq!(
        participant
            .spare_for_service(later, GpuMachineAccess::BesideKnownGpuWork)
            .fit_count(service.need),
        0
    );
    assert!(
        participant.spare_for_service(later, GpuMachineAccess::Unlimited).fit_count(service.need)
            > 0,
        "a service that waited for long may use all"
    );
}

/// Guards against several reservations of the same capacity: the capacity of one task that was being
/// stopped was reserved five times.
#[test]
fn capacity_of_stopped_task_is_reserved_once() {
    let mut names = Names::default();
    let (name, zones) = ("small".to_string(), vec!["a".to_string()]);
    let small = MachineType {
        name,
        zones,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 1.0,
    };
    names.set_catalog(Catalog { types: vec![small] });
    let mut machine = Machine::new(1);
    machine.machine_type = names.type_idx("small");
    for task in 0..4 {
        let mut placed =
            TaskOnMachine::new(Some(shape(JobKind::Array, 1000)), TaskPhase::Decided, 1);
        placed.stop = (task == 0).then_some(StopRequest { grace_s: 0.0, since: 1 });
        machine.tasks.insert(AttemptKey { job: JobId(9), task, attempt: Attempt(1) }, placed);
    }
    machine.update_load();
    let mut participant = Participant::new(Shard(0), Epoch(1), 1, 3, 19_000);
    let need = shape(JobKind::Service, 1000).need;
    let idx = MachineIdx(0);
    let tasks_that_fit = |participant: &Participant| {
        let soon = participant.free_after(
            machine.stopping(),
            idx,
            &machine,
            &names,
            JobId(u64::MAX),
            None,
        );
        soon.expect("all shapes are known").fit_count(need)
    };
    assert_eq!(tasks_that_fit(&participant), 1);
    let reservation =
        Reservation { job: JobId(5), need, expires_at: 9000, is_waiting: false, rank: None };
    participant.reservations.add(idx, reservation);
    assert_eq!(tasks_that_fit(&participant), 0);
}
