//! The cloud's catalog: resources, prices and constraints of machine types.
use super::{thousandths, Names, Resources};
use crate::ids::MachineTypeIdx;
use leaddeal_wire::cloud::{Catalog, MachineType};
use leaddeal_wire::mesh;
use leaddeal_wire::user::Priority;

/// Maximum number of types; further ones are ignored, since an index is one byte.
const MAX_TYPES: usize = 250;
/// Factor on the price of spot machines in comparisons, since they may be interrupted.
const SPOT_PRICE_FACTOR: f64 = 1.15;
/// Lower bound for the rate at which a type fetches images, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

impl Names {
    /// Returns the index of a machine type; `None` if it is not in the catalog.
    pub fn type_idx(&self, name: &str) -> Option<MachineTypeIdx> {
        self.catalog.iter().position(|known| known.name == name).map(|at| MachineTypeIdx(at as u8))
    }

    /// Applies a new catalog. Indices stay valid: known types keep theirs, new types come after them.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        for new in catalog.types {
            let is_full = self.catalog.len() >= MAX_TYPES;
            match self.catalog.iter_mut().find(|known| known.name == new.name) {
                Some(known) => *known = new,
                None if !is_full => self.catalog.push(new),
                None => {}
            }
        }
        let resources = |machine_type: &MachineType| Resources {
            cpu: thousandths(machine_type.cpus),
            gpu: thousandths(machine_type.gpus),
            mem: thousandths(machine_type.memory_gb),
        };
        self.type_resources = self.catalog.iter().map(resources).collect();
    }

    /// Returns the resources of an empty machine of this type.
    pub fn resources_of_type(&self, machine_type: MachineTypeIdx) -> Resources {
        self.type_resources[usize::from(machine_type.0)]
    }

    /// Returns how long a machine of this type takes to fetch an image of that size, in seconds.
    pub fn image_fetch_s(&self, machine_type: MachineTypeIdx, image_gb: f64) -> f64 {
        image_gb / self.type_info(machine_type).fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
    }

    /// Returns the price per hour of a machine of this type for comparisons. That of a spot machine
    /// includes a surcharge for its interruptions.
    pub fn price(&self, machine_type: MachineTypeIdx, spot: bool) -> f64 {
        let info = self.type_info(machine_type);
        if spot {
            info.spot_price * SPOT_PRICE_FACTOR
        } else {
            info.price
        }
    }

    /// Returns whether a task on such a machine costs no more than a multiple of its lowest price on
    /// a machine that is not spot, whether or not the cloud has capacity for that now. The multiple
    /// depends on the priority and on `urgent`.
    pub fn is_affordable(
        &self,
        shape: &mesh::Shape,
        machine_type: MachineTypeIdx,
        spot: bool,
        urgent: bool,
    ) -> bool {
        let types = (0..self.catalog.len()).map(|index| MachineTypeIdx(index as u8));
        let prices = types.filter_map(|any| self.price_per_task(shape, any, false));
        let lowest = prices.fold(f64::INFINITY, f64::min);
        let highest = lowest * max_price_factor(shape.priority, urgent);
        self.price_per_task(shape, machine_type, spot).is_some_and(|price| price <= highest)
    }

    /// Returns the price per hour of a machine divided by the number of tasks that fit on it; `None`
    /// if no task fits or may run there.
    fn price_per_task(
        &self,
        shape: &mesh::Shape,
        machine_type: MachineTypeIdx,
        spot: bool,
    ) -> Option<f64> {
        let tasks_per_machine =
            self.resources_of_type(machine_type).fit_count(Resources::of(shape));
        let possible = tasks_per_machine > 0 && self.allows(shape, machine_type, spot);
        possible.then(|| self.price(machine_type, spot) / tasks_per_machine as f64)
    }

    /// Returns whether the constraints of this shape allow machines of this type, and spot ones if
    /// `spot` is set.
    pub fn allows(&self, shape: &mesh::Shape, machine_type: MachineTypeIdx, spot: bool) -> bool {
        if spot && !shape.spot {
            return false;
        }
        let name = &self.type_info(machine_type).name;
        shape.types.as_ref().is_none_or(|allowed| allowed.iter().any(|other| other == name))
    }

    fn type_info(&self, machine_type: MachineTypeIdx) -> &MachineType {
        &self.catalog[usize::from(machine_type.0)]
    }
}

/// Returns how many times its lowest price a task may cost.
fn max_price_factor(priority: Priority, urgent: bool) -> f64 {
    match priority {
        Priority::Low if !urgent => 1.5,
        Priority::Low => 3.5,
        Priority::Normal | Priority::High => 4.5,
        Priority::Production if !urgent => 5.0,
        Priority::Production => 8.0,
    }
}
