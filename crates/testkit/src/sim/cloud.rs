//! The simulated cloud: it launches, lists and releases instances.
use super::event::Event;
use super::setup::machine_types;
use super::{Sabotage, Sim};
use crate::broken_rule::{BrokenRule, Rule};
use leaddeal_core::io::{CloudCall, CloudResult};
use leaddeal_wire::cloud::{Catalog, Instance, InstanceList, InstanceRequest, InstanceStatus};
use rand::Rng;

/// How long a call of the cloud takes beside its latency.
pub(super) const CLOUD_CALL_MS: u64 = 80;
/// How long an instance usually takes to come up.
const BOOT_MS: u64 = 5000;
/// The same where instances boot fast.
const FAST_BOOT_MS: std::ops::Range<u64> = 200..2000;
/// The age of running instances in the cloud's lists, in seconds.
const LISTED_AGE_S: f64 = 30.0;

/// An instance that was launched and is not up.
pub(super) struct StartingInstance {
    request: InstanceRequest,
    since: u64,
}

/// What an instance request asked for and was given.
pub(super) struct Launch {
    request: InstanceRequest,
    names: Vec<String>,
}

impl Sim {
    /// Carries out a call of the cloud.
    pub(super) fn cloud(&mut self, call: CloudCall) -> Result<CloudResult, BrokenRule> {
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
        if self.plan.sabotage == Sabotage::ReusedRequestNames {
            request.request = request.request.rsplit('-').next().unwrap_or_default().to_string();
        }
        // Asked again for the same, it answers the same; for something else, the name is
        // used twice, and whoever asked gets machines that it did not ask for.
        if let Some(launch) = self.launches.get(&request.request) {
            let first = &launch.request;
            if *first != request {
                let name = &request.request;
                return Err(
                    Rule::NameReused.broken(format!("{name} for {first:?} and {request:?}"))
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
        self.starting.insert(name.clone(), StartingInstance { request, since: self.now });
        if let Some(boot_ms) = self.boot_ms() {
            self.schedule(boot_ms, Event::InstanceUp { machine: name });
        }
        Ok(CloudResult::Launched(names))
    }

    /// How long an instance takes to come up, if it ever does.
    fn boot_ms(&mut self) -> Option<u64> {
        let fast = self.windows.fast_boots.strongest(self.now).is_some();
        match self.rng.random_range(0..20) {
            _ if fast => Some(self.rng.random_range(FAST_BOOT_MS)),
            0 if self.plan.faults => None,
            1 | 2 if self.plan.faults => Some(self.rng.random_range(15_000..40_000)),
            3 | 4 if self.plan.faults => Some(self.rng.random_range(100..1000)),
            _ => Some(BOOT_MS),
        }
    }

    /// An instance is up, unless it was released meanwhile.
    pub(super) fn instance_up(&mut self, name: &str) {
        if let Some(StartingInstance { request, .. }) = self.starting.remove(name) {
            self.boot_machine(name, &request.type_name, &request.zone, request.spot);
        }
    }

    fn release(&mut self, name: &str) {
        self.spare_instances += u32::from(self.starting.remove(name).is_some());
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
        let starting = self.starting.iter().map(|(name, starting)| Instance {
            id: name.clone(),
            addr: None,
            type_name: starting.request.type_name.clone(),
            zone: starting.request.zone.clone(),
            spot: starting.request.spot,
            status: InstanceStatus::Starting,
            age_s: (self.now - starting.since) as f64 / 1000.0,
        });
        InstanceList { machines: running.chain(starting).collect(), more: false }
    }
}
