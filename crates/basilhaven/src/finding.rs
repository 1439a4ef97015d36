//! Findings of a check, collected with their place and reported together.

use std::fmt;

/// One thing that is wrong, and where.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
#[display("{place}: {problem}")]
pub struct Finding {
    /// Where it was found, such as `--listen` or `services.catalogo.profile`.
    pub place: String,
    /// What is wrong there.
    pub problem: String,
}

/// All findings of one check; as an error it is never empty.
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

    /// Takes the value of a good result, or adds its error as a finding.
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

    /// Adds all findings of a nested check, their places prefixed.
    pub fn nest(&mut self, prefix: &str, inner: Findings) {
        for finding in inner.0 {
            self.add(format!("{prefix}.{}", finding.place), finding.problem);
        }
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The findings, in the order in which they were made.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// The value when nothing was found.
    ///
    /// # Errors
    ///
    /// The findings, when there are any.
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
