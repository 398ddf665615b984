//! The largest weight of each machine type, which is the capacity of its executors if weights fall with load.
use crate::endpoint::{Endpoint, EndpointState};
use crate::ids::MachineTypeId;
use crate::settings::{Settings, WeightSource};
use std::collections::BTreeMap;

/// The largest weight and the number of executors of one machine type.
#[derive(Default)]
struct MachineTypeWeight {
    largest: f64,
    executors: usize,
}

/// The weights of all machine types that executors have.
#[derive(Default)]
pub(crate) struct MachineTypes {
    /// Whether weights fall with load, so that the largest weight of a type is its capacity.
    weights_fall_with_load: bool,
    weights: BTreeMap<MachineTypeId, MachineTypeWeight>,
}

impl MachineTypes {
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.weights_fall_with_load = settings.weight_source == WeightSource::Live;
    }

    /// Capacity of a machine type in slots; `None` if no weight has shown it.
    pub fn capacity(&self, machine_type: MachineTypeId) -> Option<f64> {
        self.weights.get(&machine_type).map(|weight| weight.largest).filter(|&largest| largest > 0.0)
    }

    /// Counts an executor under its machine type instead of its type `before`, and records its weight.
    pub fn update(&mut self, before: Option<MachineTypeId>, endpoint: &Endpoint) {
        let machine_type = endpoint.machine_type;
        if before != Some(machine_type) {
            self.weights.entry(machine_type).or_default().executors += 1;
            before.into_iter().for_each(|before| self.remove(before));
        }
        if let Some(weight) = self.weights.get_mut(&machine_type)
            && self.weights_fall_with_load
            && endpoint.state == EndpointState::Ready
        {
            weight.largest = weight.largest.max(endpoint.weight);
        }
    }

    /// Removes one executor of this machine type, and the weight with the last one.
    pub fn remove(&mut self, machine_type: MachineTypeId) {
        let Some(weight) = self.weights.get_mut(&machine_type) else { return };
        weight.executors = weight.executors.saturating_sub(1);
        if weight.executors == 0 {
            self.weights.remove(&machine_type);
        }
    }
}
