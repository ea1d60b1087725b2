//! The sections of the document as typed values.
//!
//! Each section is a TOML table with its own owner, and is accepted or rejected as a whole,
//! independently of the others.

mod limits;
mod models;
mod name;
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
pub use name::SectionError;
pub use name::SectionName;
pub use organisations::OrganisationEntry;
pub use organisations::OrganisationSection;
pub use priorities::ClassEntry;
pub use priorities::PrioritySection;
pub use services::ServiceEntry;
pub use services::ServiceSection;
pub use targets::TargetEntry;
pub use targets::TargetKind;
pub use targets::TargetSection;

use crate::reader;

/// The values of all sections; a section that is left out is empty.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorDocument {
    /// Models and the versions to serve.
    pub models: ModelSection,
    /// Organisations and the hashes of their keys.
    pub organisations: OrganisationSection,
    /// Targets: engines and replicas of plain services.
    pub targets: TargetSection,
    /// Request classes of each organisation, with their priorities.
    pub priorities: PrioritySection,
    /// Plain services, and which of their calls may be repeated.
    pub services: ServiceSection,
    /// Call limits of each organisation.
    pub limits: LimitSection,
}

impl OperatorDocument {
    /// Replaces the value of `section` by that of `other`; the other sections stay.
    pub fn replace_section(&mut self, section: SectionName, other: Self) {
        match section {
            SectionName::Models => self.models = other.models,
            SectionName::Organisations => self.organisations = other.organisations,
            SectionName::Targets => self.targets = other.targets,
            SectionName::Priorities => self.priorities = other.priorities,
            SectionName::Services => self.services = other.services,
            SectionName::Limits => self.limits = other.limits,
        }
    }
}

impl reader::TableValue for OperatorDocument {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let document = Self {
            models: reader.optional_table("models").unwrap_or_default(),
            organisations: reader.optional_table("organisations").unwrap_or_default(),
            targets: reader.optional_table("targets").unwrap_or_default(),
            priorities: reader.optional_table("priorities").unwrap_or_default(),
            services: reader.optional_table("services").unwrap_or_default(),
            limits: reader.optional_table("limits").unwrap_or_default(),
        };

        add_organisation_references(reader, SectionName::Priorities);
        add_organisation_references(reader, SectionName::Limits);
        Some(document)
    }
}

/// Adds a reference from each entry of `section` to the organisation of the same name.
fn add_organisation_references(reader: &mut reader::TableReader<'_, '_, '_>, section: SectionName) {
    for name in reader.entry_names(section.as_str()) {
        let path = section.path_of(&name);
        let referenced_path = SectionName::Organisations.path_of(&name);
        reader.context().add_reference(&path, None, referenced_path);
    }
}
