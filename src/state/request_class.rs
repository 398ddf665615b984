//! Request classes: their terms, and the observed running times of their requests.
use crate::endpoint::DeduplicationDomain;
use crate::ids::RequestClassId;
use crate::settings::{ClassSettings, DeduplicationScope, Settings};
use crate::time::Millis;
use crate::warm_state::ObservedMean;
use std::ops::{Index, IndexMut};

/// Lower bound on the longest latency objective of all classes, in milliseconds.
const MIN_MAX_OBJECTIVE: Millis = 1.0;

/// One request class.
pub(crate) struct RequestClass {
    pub terms: ClassSettings,
    /// Fixed part of the latency objective; [`ClassSettings::stretch`] adds a part in proportion to the running time.
    pub latency_objective: Millis,
    /// Time from the arrival of a request within which it must be answered.
    pub deadline: Millis,
    pub max_attempts: usize,
    /// Smoothed time from dispatch to result; initially the latency objective.
    pub response_time: ObservedMean,
    /// Smoothed time from start to result; from dispatch to result if executors do not report starts.
    pub service_time: ObservedMean,
}

impl RequestClass {
    fn new(terms: &ClassSettings, settings: &Settings, earlier: &[RequestClass]) -> Self {
        let latency_objective = terms.latency_objective.unwrap_or(0.0);
        let inherited = terms.inherits_from.and_then(|class| earlier.get(class.0 as usize));
        let unobserved = ObservedMean { mean: latency_objective, observations: 0.0 };
        RequestClass {
            terms: terms.clone(),
            latency_objective,
            deadline: terms.deadline.unwrap_or(0.0),
            max_attempts: settings.max_attempts(terms),
            response_time: inherited.map_or(unobserved, |class| class.response_time),
            service_time: inherited.map_or(unobserved, |class| class.service_time),
        }
    }

    /// Latency objective of a request with the mean running time `mean`; never less than the fixed part. The slack in
    /// `policy::outlier::sensitivity` is computed without that bound, so the two are not interchangeable.
    pub fn mean_objective(&self, mean: Millis) -> Millis {
        self.latency_objective + (self.terms.stretch - 1.0).max(0.0) * mean
    }

    /// Whether executors of both domains are known to recognize each other's repeats of deduplicated requests.
    pub fn is_same_deduplication_domain(&self, one: DeduplicationDomain, other: DeduplicationDomain) -> bool {
        match self.terms.deduplication_scope {
            DeduplicationScope::Zone => one.zone.is_some() && one.zone == other.zone,
            // With the scope `All` a retry may be dispatched anywhere, and this function is not called.
            _ => one.group.is_some() && one.group == other.group,
        }
    }
}

/// All request classes of a node, by their ids. Classes are added and never removed.
#[derive(Default)]
pub(crate) struct RequestClasses(Vec<RequestClass>);

impl RequestClasses {
    /// Adds the classes of the settings whose ids are new; existing classes retain their terms. The list ends at the
    /// first class without a deadline.
    pub fn add_new(&mut self, settings: &Settings) {
        let new = settings.classes.iter().skip(self.0.len());
        for terms in new.take_while(|terms| terms.deadline.is_some()) {
            self.0.push(RequestClass::new(terms, settings, &self.0));
        }
    }

    pub fn contains(&self, class: RequestClassId) -> bool {
        (class.0 as usize) < self.0.len()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Longest latency objective of all classes, not below 1 ms.
    pub fn max_objective(&self) -> Millis {
        let objectives = self.0.iter().map(|class| class.latency_objective);
        objectives.fold(MIN_MAX_OBJECTIVE, f64::max)
    }

    pub fn iter(&self) -> impl Iterator<Item = &RequestClass> {
        self.0.iter()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut RequestClass> {
        self.0.iter_mut()
    }
}

impl Index<RequestClassId> for RequestClasses {
    type Output = RequestClass;

    fn index(&self, class: RequestClassId) -> &RequestClass {
        &self.0[class.0 as usize]
    }
}

impl IndexMut<RequestClassId> for RequestClasses {
    fn index_mut(&mut self, class: RequestClassId) -> &mut RequestClass {
        &mut self.0[class.0 as usize]
    }
}
