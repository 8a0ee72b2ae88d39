//! Which machines the tasks of a request may be placed on, whatever is free there.
use super::capacity_index::MachineGroup;
use super::{Participant, FAILURE_EVIDENCE_MS};
use crate::context::Context;
use crate::ids::{MachineIdx, MachineTypeIdx};
use crate::machine::Machine;
use crate::names::{created_no_later_than, Names, Resources};
use leaddeal_wire::mesh::OfferRequest;
use leaddeal_wire::user::JobKind;

/// Whether a job may use machines of one type, either ordinary or spot ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Eligibility {
    /// Whether the job permits the type, and a task fits on an empty machine of it.
    pub is_allowed: bool,
    /// Whether it is a GPU machine that costs too much for this work, which needs no GPUs.
    is_too_expensive: bool,
}

#[derive(Clone, Copy, Debug)]
struct TypeEligibility {
    ordinary: Eligibility,
    spot: Eligibility,
}

/// The eligibility of all machine types for a job, computed once for a request.
#[derive(Clone, Debug)]
pub(super) struct EligibilityTable {
    by_type: Vec<TypeEligibility>,
}

impl EligibilityTable {
    /// Computes the table for the tasks of a request.
    pub fn of(names: &Names, request: &OfferRequest) -> EligibilityTable {
        let (shape, urgent) = (&request.shape, request.urgent);
        let need = Resources::of(shape);
        let eligibility = |machine_type: MachineTypeIdx, spot: bool| {
            let total = names.resources_of_type(machine_type);
            let wastes_gpus = shape.gpu == 0 && total.gpu > 0;
            Eligibility {
                is_allowed: names.allows(shape, machine_type, spot) && total.fit_count(need) > 0,
                is_too_expensive: wastes_gpus
                    && !names.is_affordable(shape, machine_type, spot, urgent),
            }
        };
        let types = (0..names.catalog.len() as u8).map(MachineTypeIdx);
        let by_type = types.map(|machine_type| TypeEligibility {
            ordinary: eligibility(machine_type, false),
            spot: eligibility(machine_type, true),
        });
        EligibilityTable { by_type: by_type.collect() }
    }

    /// Returns the eligibility of a type; `None` if the type was added to the catalog after the table was
    /// computed.
    fn of_type(&self, machine_type: MachineTypeIdx, spot: bool) -> Option<&Eligibility> {
        let of_type = self.by_type.get(machine_type.0 as usize)?;
        Some(if spot { &of_type.spot } else { &of_type.ordinary })
    }

    /// Returns whether the job may use machines of the group.
    pub fn allows(&self, group: MachineGroup) -> bool {
        self.of_type(group.machine_type, group.spot)
            .is_some_and(|eligibility| eligibility.is_allowed)
    }
}

impl Participant {
    /// Returns whether tasks of the request's job may be placed on a machine now, whatever is free on it.
    pub(super) fn is_eligible(
        &self,
        ctx: &Context,
        idx: MachineIdx,
        machine: &Machine,
        request: &OfferRequest,
        table: &EligibilityTable,
    ) -> bool {
        let machine_type = machine.machine_type;
        let Some(eligibility) = machine_type.and_then(|known| table.of_type(known, machine.spot))
        else {
            return false;
        };
        eligibility.is_allowed
            && self.accepts_new_tasks(ctx, idx, machine)
            && !has_failed_job(machine, request.job, ctx)
            && (!eligibility.is_too_expensive
                || self.causes_no_extra_cost(ctx, idx, machine, request))
    }

    fn accepts_new_tasks(&self, ctx: &Context, idx: MachineIdx, machine: &Machine) -> bool {
        !machine.draining
            && !machine.released
            && !machine.lease_expired
            && machine.token_confirmed
            && machine.interruption_at.is_none()
            && machine.reachability.unreachable_since().is_none()
            && machine.quarantined_until <= ctx.now
            && !self.is_suspected(idx, ctx.now)
            && ctx.now < machine.last_heartbeat_at + ctx.config.max_silence_ms
    }

    /// Returns whether a machine that is too expensive for the request causes no additional cost: it is
    /// kept for the GPU work on it, or it is never released.
    fn causes_no_extra_cost(
        &self,
        ctx: &Context,
        idx: MachineIdx,
        machine: &Machine,
        request: &OfferRequest,
    ) -> bool {
        // Services run for a long time and would keep the machine after the GPU work has ended.
        if request.shape.kind != JobKind::Service && machine.has_gpu_work() {
            return true;
        }
        let name = ctx.names.machine_name(idx);
        self.last_base.as_ref().is_some_and(|newest| created_no_later_than(name, newest))
    }
}

/// Returns whether a task of the job failed on the machine within `FAILURE_EVIDENCE_MS`.
fn has_failed_job(machine: &Machine, job: u64, ctx: &Context) -> bool {
    let mut failures = machine.recent_failures.iter();
    failures.any(|f| f.job.0 == job && f.first_at + FAILURE_EVIDENCE_MS > ctx.now)
}
