//! The simulated cloud provider, which launches, lists and releases instances.
use super::event::Event;
use super::setup::machine_types;
use super::{InjectedDefect, Sim};
use crate::broken_rule::{BrokenRule, Rule};
use leaddeal_core::io::{CloudCall, CloudResult};
use leaddeal_wire::cloud::{Catalog, Instance, InstanceList, InstanceRequest, InstanceStatus};
use rand::Rng;

/// Processing time of a call to the cloud, without the network latency.
pub(super) const CLOUD_CALL_MS: u64 = 80;
/// Usual time from the launch of an instance until it is up.
const BOOT_MS: u64 = 5000;
/// Time from the launch of an instance until it is up, during [`Fault::FastBoots`](crate::script::Fault::FastBoots).
const FAST_BOOT_MS: std::ops::Range<u64> = 200..2000;
/// Age that the cloud's lists give for every running instance.
const LISTED_AGE_S: f64 = 30.0;

/// An instance that was launched and is not up yet.
pub(super) struct StartingInstance {
    request: InstanceRequest,
    launched_at: u64,
}

/// An instance request that was granted, with the names of its instances.
pub(super) struct Launch {
    request: InstanceRequest,
    names: Vec<String>,
}

impl Sim {
    /// Executes a call to the cloud.
    ///
    /// # Errors
    /// [`Rule::NameReused`] if the name of an earlier request is used for a different one.
    pub(super) fn execute_cloud_call(
        &mut self,
        call: CloudCall,
    ) -> Result<CloudResult, BrokenRule> {
        match call {
            CloudCall::Catalog => {
                let types = machine_types(self.plan.has_gpus());
                Ok(CloudResult::Catalog(Catalog { types }))
            }
            CloudCall::Launch(request) => self.launch(request),
            CloudCall::Release(names) => {
                for name in names {
                    self.release(&name);
                }
                Ok(CloudResult::Released)
            }
            CloudCall::List { .. } => Ok(CloudResult::InstanceList(self.instance_list())),
        }
    }

    fn launch(&mut self, mut request: InstanceRequest) -> Result<CloudResult, BrokenRule> {
        if self.plan.defect == InjectedDefect::ReusedRequestNames {
            request.request = request.request.rsplit('-').next().unwrap_or_default().to_string();
        }
        // A repeated request gets the answer of the first one. A different request under the same name
        // would get machines that its sender did not ask for.
        if let Some(launch) = self.launches.get(&request.request) {
            let earlier = &launch.request;
            if *earlier != request {
                let name = &request.request;
                return Err(
                    Rule::NameReused.broken(format!("{name} for {earlier:?} and {request:?}"))
                );
            }
            return Ok(CloudResult::Launched(launch.names.clone()));
        }
        if self.spare_instances == 0 {
            return Ok(CloudResult::NoCapacity);
        }
        self.spare_instances -= 1;
        let name = self.next_machine_name();
        let names = vec![name.clone()];
        let launch = Launch { request: request.clone(), names: names.clone() };
        self.launches.insert(request.request.clone(), launch);
        self.starting_instances
            .insert(name.clone(), StartingInstance { request, launched_at: self.now });
        if let Some(boot_ms) = self.draw_boot_ms() {
            self.schedule(boot_ms, Event::InstanceUp { machine: name });
        }
        Ok(CloudResult::Launched(names))
    }

    /// Draws the boot time of an instance; `None` if it never comes up.
    fn draw_boot_ms(&mut self) -> Option<u64> {
        let fast = self.windows.fast_boots.strongest(self.now).is_some();
        match self.rng.random_range(0..20) {
            _ if fast => Some(self.rng.random_range(FAST_BOOT_MS)),
            0 if self.plan.random_faults => None,
            1 | 2 if self.plan.random_faults => Some(self.rng.random_range(15_000..40_000)),
            3 | 4 if self.plan.random_faults => Some(self.rng.random_range(100..1000)),
            _ => Some(BOOT_MS),
        }
    }

    /// Boots the machine of a launched instance, unless the instance was released meanwhile.
    pub(super) fn instance_up(&mut self, name: &str) {
        if let Some(StartingInstance { request, .. }) = self.starting_instances.remove(name) {
            self.boot_machine(name, &request.type_name, &request.zone, request.spot);
        }
    }

    fn release(&mut self, name: &str) {
        self.spare_instances += u32::from(self.starting_instances.remove(name).is_some());
        if let Some(worker) = self.workers.get_mut(name) {
            self.spare_instances += u32::from(!worker.gone);
            worker.lose_machine();
        }
    }

    fn instance_list(&self) -> InstanceList {
        let running = self.workers.values().filter(|w| !w.gone).map(|w| Instance {
            id: w.name.clone(),
            addr: None,
            type_name: w.type_name.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            status: InstanceStatus::Running,
            age_s: LISTED_AGE_S,
        });
        let starting = self.starting_instances.iter().map(|(name, starting)| Instance {
            id: name.clone(),
            addr: None,
            type_name: starting.request.type_name.clone(),
            zone: starting.request.zone.clone(),
            spot: starting.request.spot,
            status: InstanceStatus::Starting,
            age_s: (self.now - starting.launched_at) as f64 / 1000.0,
        });
        InstanceList { machines: running.chain(starting).collect(), more: false }
    }
}
