//! Findings of a validation, collected with their places and reported together.

use std::fmt;

/// A problem found by a validation, and its place.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
#[display("{place}: {problem}")]
pub struct Finding {
    /// Path of the invalid value, such as `--listen` or `services.catalogo.profile`.
    pub place: String,
    /// Description of the problem.
    pub problem: String,
}

/// All findings of one validation. Never empty as an error.
///
/// # Examples
///
/// ```
/// use basilhaven::finding;
///
/// let mut findings = finding::Findings::default();
/// let slots = findings.ok_or_add("upstreams.u1.slots", "x".parse::<u32>());
/// assert_eq!(slots, None);
/// assert!(findings.into_result(()).is_err());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds one finding.
    pub fn add<P, M>(&mut self, place: P, problem: M)
    where
        P: Into<String>,
        M: fmt::Display,
    {
        self.0.push(Finding { place: place.into(), problem: problem.to_string() });
    }

    /// Returns the value of a result, or adds its error as a finding.
    pub fn ok_or_add<P, T, E>(&mut self, place: P, result: Result<T, E>) -> Option<T>
    where
        P: Into<String>,
        E: fmt::Display,
    {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(place, error);
                None
            }
        }
    }

    /// Adds all findings of a nested validation, with a prefix before their places.
    pub fn nest(&mut self, prefix: &str, inner: Findings) {
        for finding in inner.0 {
            self.add(format!("{prefix}.{}", finding.place), finding.problem);
        }
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the findings in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
