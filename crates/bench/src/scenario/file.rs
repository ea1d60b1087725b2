//! The sections of a scenario file.

use std::fs;
use std::path::Path;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_model::EngineProfile;
use serde::Deserialize;

use super::DurationText;
use super::ScenarioError;

const DEFAULT_ENGINES: usize = 4;
const ENGINES_LIMIT: usize = 256;
const DEFAULT_REPORT_LAG: Duration = Duration::from_secs(1);

/// One scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Time in which requests arrive.
    pub duration: DurationText,
    /// The engines.
    #[serde(default)]
    pub engine: EngineSection,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSection>,
    /// Faults.
    #[serde(rename = "fault", default)]
    pub faults: Vec<FaultSection>,
}

/// The engines, all alike.
#[derive(Debug, Clone, Deserialize)]
#[serde(try_from = "toml::Table")]
pub struct EngineSection {
    /// Number of engines, named `engine-1` and on.
    pub count: usize,
    /// Age of a load report when the agent gets it.
    pub report_lag: Duration,
    /// Sizes and speeds of each engine.
    pub profile: EngineProfile,
}

/// A log-normal size.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeSection {
    /// Median, in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
}

/// A class of requests of one organisation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSection {
    /// Organisation of the callers.
    pub organisation: ids::OrganisationName,
    /// Name of the class.
    pub name: ids::ClassName,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Requests a second, as a Poisson process.
    pub rate_per_s: f64,
    /// Tokens of a prompt.
    pub prompt_tokens: SizeSection,
    /// Tokens of an answer.
    pub output_tokens: SizeSection,
    /// Tokens at the start of each prompt that are the same for the class.
    #[serde(default)]
    pub shared_prefix_tokens: u64,
    /// Whether tokens are sent as they come.
    #[serde(default = "default_true")]
    pub stream: bool,
    /// Whether a call may run more than once.
    #[serde(default = "default_true")]
    pub repeatable: bool,
}

/// What happens to a target or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The VM dies: agent, engine and links, without a word.
    Kill,
    /// Agent and engine are frozen.
    Pause,
    /// The target leaves; with `for`, it is replaced once it has finished after that time.
    Leave,
    /// The links open at that time carry nothing any more, for good; `for` has no effect.
    Silence,
    /// One request crashes each engine that runs it.
    Poison,
}

/// One fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSection {
    /// When it begins.
    pub at: DurationText,
    /// What happens.
    pub kind: FaultKind,
    /// Target that it happens to.
    pub target: Option<ids::TargetName>,
    /// Organisation of a poisonous request.
    pub organisation: Option<ids::OrganisationName>,
    /// Class of a poisonous request.
    pub class: Option<ids::ClassName>,
    /// How long it lasts; without it, for good.
    #[serde(rename = "for")]
    pub lasts: Option<DurationText>,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// The file can't be read, is malformed, or holds values outside their range.
    pub fn load(path: &Path) -> super::Result<Self> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// The text is malformed, or holds values outside their range.
    pub fn parse(text: &str) -> super::Result<Self> {
        let scenario: Self = toml::from_str(text)?;
        let findings = scenario.check();
        match findings.is_empty() {
            true => Ok(scenario),
            false => Err(ScenarioError::OutOfRange(findings.join("\n").into())),
        }
    }

    /// Returns the index of an engine by the name of its target.
    pub fn engine_index(&self, target: &ids::TargetName) -> Option<usize> {
        let number: usize = target.as_str().strip_prefix("engine-")?.parse().ok()?;
        let is_known = (1..=self.engine.count).contains(&number);
        is_known.then(|| number - 1)
    }

    fn check(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if !(1..=ENGINES_LIMIT).contains(&self.engine.count) {
            findings.push(format!("engine.count: must be 1 to {ENGINES_LIMIT}"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            check_class(index, class, &mut findings);
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(index, fault, &mut findings);
        }
        findings
    }

    fn check_fault(&self, index: usize, fault: &FaultSection, findings: &mut Vec<String>) {
        match fault.kind {
            FaultKind::Poison => {
                let is_known = self.classes.iter().any(|class| {
                    Some(&class.organisation) == fault.organisation.as_ref()
                        && Some(&class.name) == fault.class.as_ref()
                });
                if !is_known {
                    findings.push(format!("fault[{index}]: no such organisation and class"));
                }
            }
            FaultKind::Kill | FaultKind::Pause | FaultKind::Leave | FaultKind::Silence => {
                let engine = fault
                    .target
                    .as_ref()
                    .and_then(|name| self.engine_index(name));
                if engine.is_none() {
                    findings.push(format!("fault[{index}].target: no such engine"));
                }
            }
        }
    }
}

impl Default for EngineSection {
    fn default() -> Self {
        Self {
            count: DEFAULT_ENGINES,
            report_lag: DEFAULT_REPORT_LAG,
            profile: EngineProfile::default(),
        }
    }
}

impl TryFrom<toml::Table> for EngineSection {
    type Error = toml::de::Error;

    fn try_from(mut table: toml::Table) -> Result<Self, Self::Error> {
        let mut section = Self::default();
        if let Some(count) = table.remove("count") {
            section.count = count.try_into()?;
        }
        if let Some(lag) = table.remove("report_lag") {
            let lag: DurationText = lag.try_into()?;
            section.report_lag = lag.get();
        }

        section.profile = table.try_into()?;
        Ok(section)
    }
}

fn check_class(index: usize, class: &ClassSection, findings: &mut Vec<String>) {
    if !(class.rate_per_s > 0.0 && class.rate_per_s.is_finite()) {
        findings.push(format!("class[{index}].rate_per_s: must be over zero"));
    }
    for (name, size) in [
        ("prompt_tokens", class.prompt_tokens),
        ("output_tokens", class.output_tokens),
    ] {
        let is_valid = size.median >= 1.0 && (0.0..=4.0).contains(&size.sigma);
        if !is_valid {
            findings.push(format!(
                "class[{index}].{name}: needs a median of 1 or more and a sigma from 0 to 4"
            ));
        }
    }
}

fn default_true() -> bool {
    true
}
