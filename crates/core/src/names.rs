//! Indices for the names of machines, images, types and zones, and the catalog of machine types.
//!
//! Names are mapped to dense indices when messages arrive, and the core compares and stores indices.
//!
//! | module | what |
//! | --- | --- |
//! | `interner` | indices for names that become known at run time (machines, images) |
//! | `resources` | processors, GPUs and memory, of tasks and of machines |
//! | `catalog` | machine types of the cloud: their resources, prices and constraints |
use crate::ids::{ImageIdx, MachineIdx, ZoneIdx};
use leaddeal_wire::cloud::MachineType;
use leaddeal_wire::mesh;
use leaddeal_wire::user::JobKind;
use std::sync::Arc;

mod catalog;
mod interner;
mod resources;

pub use interner::Interner;
pub use resources::{thousandths, Resources};

/// Returns whether `machine` was created no later than `other`, judged by their names, which are
/// assigned in the order of creation.
pub fn created_no_later_than(machine: &str, other: &str) -> bool {
    (machine.len(), machine) <= (other.len(), other)
}

/// What a task needs, with names resolved.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The shape as it is sent between controllers.
    pub wire: Arc<mesh::Shape>,
    /// The resources that one task needs.
    pub need: Resources,
    /// The image that a task runs.
    pub image: ImageIdx,
}

impl Shape {
    /// Returns whether a task is expected to run for a long time: services and tasks with GPUs are.
    pub fn is_long_running(&self) -> bool {
        self.wire.kind == JobKind::Service || self.need.gpu > 0
    }
}

/// All names that this process knows.
///
/// Invariant: an index stays valid, and means the same name, as long as the process lives.
#[derive(Default, Debug)]
pub struct Names {
    machines: Interner,
    images: Interner,
    /// In the order of the settings.
    pub zones: Vec<String>,
    /// Machine types in the order in which they were first listed by the cloud.
    pub catalog: Vec<MachineType>,
    /// Resources of each type in the catalog, computed once because every look at a machine needs
    /// them.
    type_resources: Vec<Resources>,
}

impl Names {
    /// Returns the index of a machine, and assigns one to a new name.
    pub fn machine(&mut self, name: &str) -> MachineIdx {
        MachineIdx(self.machines.intern(name))
    }

    /// Returns the index of a machine; `None` if the name is not known.
    pub fn find_machine(&self, name: &str) -> Option<MachineIdx> {
        self.machines.find(name).map(MachineIdx)
    }

    /// Returns the name of a machine.
    pub fn machine_name(&self, machine: MachineIdx) -> &str {
        self.machines.name(machine.0)
    }

    /// Returns the index of a zone; `None` if it is not in the settings.
    pub fn zone(&self, name: &str) -> Option<ZoneIdx> {
        self.zones.iter().position(|zone| zone == name).map(|index| ZoneIdx(index as u8))
    }

    /// Resolves the names in a shape.
    pub fn resolve_shape(&mut self, wire: &Arc<mesh::Shape>) -> Shape {
        Shape {
            need: Resources::of(wire),
            image: ImageIdx(self.images.intern(&wire.image)),
            wire: wire.clone(),
        }
    }
}
