//! The report of an experiment, which is printed as the last line of output, in JSON.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The result of one experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: String,
    /// The seed of the run.
    pub seed: u64,
    /// The measured values, by name.
    pub figures: IndexMap<String, serde_json::Value>,
    /// The values that they are compared with.
    pub baseline: IndexMap<String, serde_json::Value>,
    /// The targets, each with whether it was met.
    pub target: IndexMap<String, serde_json::Value>,
    /// Whether all targets were met.
    pub holds: bool,
}

impl Report {
    /// Returns an empty report, which holds until a target is missed.
    pub fn new(experiment: &str, seed: u64) -> Report {
        Report {
            experiment: experiment.to_owned(),
            seed,
            figures: IndexMap::new(),
            baseline: IndexMap::new(),
            target: IndexMap::new(),
            holds: true,
        }
    }

    /// Adds a measured value.
    pub fn figure<V>(&mut self, name: &str, value: V)
    where
        V: Serialize,
    {
        self.figures.insert(name.to_owned(), serde_json::json!(value));
    }

    /// Adds a value for comparison.
    pub fn baseline<V>(&mut self, name: &str, value: V)
    where
        V: Serialize,
    {
        self.baseline.insert(name.to_owned(), serde_json::json!(value));
    }

    /// Adds a target, and whether it was met.
    pub fn target<V>(&mut self, name: &str, value: V, met: bool)
    where
        V: Serialize,
    {
        self.target.insert(name.to_owned(), serde_json::json!({"value": value, "met": met}));
        self.holds &= met;
    }
}
