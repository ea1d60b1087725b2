//! Sections of a scenario file and their validation.

use std::fs;
use std::path::Path;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_model::EngineProfile;
use serde::Deserialize;

use super::DurationText;
use super::ScenarioError;

const DEFAULT_ENGINE_COUNT: usize = 4;
const MAX_ENGINES: usize = 256;
const DEFAULT_REPORT_LAG: Duration = Duration::from_secs(1);

/// A scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random draws: requests, engines and policies.
    pub seed: u64,
    /// Time span over which requests arrive.
    pub duration: DurationText,
    /// Number and profile of the engines; defaults apply without this section.
    #[serde(default)]
    pub engine: EngineSection,
    /// Classes of requests, each with its own arrival rate and sizes.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSection>,
    /// Faults that are injected during the run.
    #[serde(rename = "fault", default)]
    pub faults: Vec<FaultSection>,
}

/// Section of the engines, which all share one profile.
#[derive(Debug, Clone, Deserialize)]
#[serde(try_from = "toml::Table")]
pub struct EngineSection {
    /// Number of engines, which are named `engine-1`, `engine-2` and so on.
    pub count: usize,
    /// Age of a load report when the agent receives it.
    pub report_lag: Duration,
    /// Memory and speed of each engine.
    pub profile: EngineProfile,
}

/// Log-normal distribution of a number of tokens.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeSection {
    /// Median, in tokens.
    pub median: f64,
    /// Standard deviation of the natural logarithm.
    pub sigma: f64,
}

/// Section of one class of requests of one organisation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSection {
    /// Organisation that the callers belong to.
    pub organisation: ids::OrganisationName,
    /// Name of the class within the organisation.
    pub name: ids::ClassName,
    /// Priority; requests with a higher number go first.
    pub priority: u8,
    /// Mean requests per second of the Poisson arrival process.
    pub rate_per_s: f64,
    /// Distribution of the prompt length.
    pub prompt_tokens: SizeSection,
    /// Distribution of the response length.
    pub output_tokens: SizeSection,
    /// Length of the prefix that all prompts of the class share, in tokens; zero for none.
    #[serde(default)]
    pub shared_prefix_tokens: u64,
    /// Whether responses are streamed; otherwise they are buffered.
    #[serde(default = "default_true")]
    pub stream: bool,
    /// Whether a request may run more than once.
    #[serde(default = "default_true")]
    pub repeatable: bool,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The VM stops at once with its agent and engine, and sends nothing to its peers.
    Kill,
    /// Agent and engine are suspended, and resume when the fault ends.
    Pause,
    /// The target starts to leave. With `for`, its agent is ordered to stop after that time, and
    /// the VM is restarted once the agent has exited.
    Leave,
    /// Links that are open when the fault begins silently drop everything from then on. They never
    /// recover; `for` has no effect.
    Silence,
    /// One request of the given organisation and class crashes each engine that runs it.
    Poison,
}

/// One fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSection {
    /// When it begins, from the start of the arrivals.
    pub at: DurationText,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Affected target; required for all kinds but poison.
    pub target: Option<ids::TargetName>,
    /// Organisation of the poisonous request; required for poison.
    pub organisation: Option<ids::OrganisationName>,
    /// Class of the poisonous request; required for poison.
    pub class: Option<ids::ClassName>,
    /// How long it lasts; `None` if it never ends.
    #[serde(rename = "for")]
    pub duration: Option<DurationText>,
}

impl Scenario {
    /// Reads and validates a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is malformed, or has values out of range.
    pub fn load(path: &Path) -> super::Result<Self> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Parses and validates the text of a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is malformed or has values out of range; the error lists all of
    /// these values.
    pub fn parse(text: &str) -> super::Result<Self> {
        let scenario: Self = toml::from_str(text)?;
        let findings = scenario.validate();
        match findings.is_empty() {
            true => Ok(scenario),
            false => Err(ScenarioError::OutOfRange(findings.join("\n").into())),
        }
    }

    /// Returns the index of the engine whose target has this name, or `None` if there is none.
    pub fn engine_index(&self, target: &ids::TargetName) -> Option<usize> {
        let number: usize = target.as_str().strip_prefix("engine-")?.parse().ok()?;
        let is_known = (1..=self.engine.count).contains(&number);
        is_known.then(|| number - 1)
    }

    fn validate(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if !(1..=MAX_ENGINES).contains(&self.engine.count) {
            findings.push(format!("engine.count: must be 1 to {MAX_ENGINES}"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            validate_class(index, class, &mut findings);
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.validate_fault(index, fault, &mut findings);
        }
        findings
    }

    fn validate_fault(&self, index: usize, fault: &FaultSection, findings: &mut Vec<String>) {
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
            count: DEFAULT_ENGINE_COUNT,
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

fn validate_class(index: usize, class: &ClassSection, findings: &mut Vec<String>) {
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
