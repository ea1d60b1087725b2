//! The sections of the document as typed values.
//!
//! Each section is a TOML table with an owner of its own. A section is accepted or kept back as a
//! whole, independently of the others.

mod limits;
mod models;
mod organisations;
mod priorities;
mod services;
mod targets;

use serde::Deserialize;
use serde::Serialize;

pub use limits::LimitEntry;
pub use limits::LimitSection;
pub use models::ModelEntry;
pub use models::ModelSection;
pub use models::UpgradeWindow;
pub use organisations::OrganisationEntry;
pub use organisations::OrganisationSection;
pub use priorities::ClassEntry;
pub use priorities::PrioritySection;
pub use services::ServiceEntry;
pub use services::ServiceSection;
pub use targets::TargetEntry;
pub use targets::TargetKind;
pub use targets::TargetSection;

/// All sections with their accepted values.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorDocument {
    /// Models and the versions to serve.
    pub models: ModelSection,
    /// Organisations and the hashes of their keys.
    pub organisations: OrganisationSection,
    /// Targets: engines and replicas of plain services.
    pub targets: TargetSection,
    /// Classes of requests and their priorities.
    pub priorities: PrioritySection,
    /// Plain services and which of their calls may be repeated.
    pub services: ServiceSection,
    /// Limits of each organisation.
    pub limits: LimitSection,
}
