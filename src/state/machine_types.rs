//! The largest weight of each type of machine, from which capacities follow if weights fall with load.
use crate::endpoint::{Endpoint, EndpointState};
use crate::ids::MachineTypeId;
use crate::settings::{Settings, WeightSource};
use std::collections::BTreeMap;

/// The weights of one type of machine.
#[derive(Default)]
struct MachineTypeWeight {
    largest: f64,
    executors: usize,
}

/// The weights of all types of machines that executors have.
#[derive(Default)]
pub(crate) struct MachineTypes {
    /// Whether weights fall with load, so that the largest one of a type is its capacity.
    weights_fall_with_load: bool,
    weights: BTreeMap<MachineTypeId, MachineTypeWeight>,
}

impl MachineTypes {
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.weights_fall_with_load = settings.weight_source == WeightSource::Live;
    }

    /// The capacity of a type of machine, if weights have shown it.
    pub fn capacity(&self, machine_type: MachineTypeId) -> Option<f64> {
        self.weights.get(&machine_type).map(|weight| weight.largest).filter(|&largest| largest > 0.0)
    }

    /// Counts an executor's type of machine, which replaces its type `before`, and its weight.
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

    /// Removes one executor of this type of machine; the weight goes with the last one.
    pub fn remove(&mut self, machine_type: MachineTypeId) {
        let Some(weight) = self.weights.get_mut(&machine_type) else { return };
        weight.executors = weight.executors.saturating_sub(1);
        if weight.executors == 0 {
            self.weights.remove(&machine_type);
        }
    }
}
