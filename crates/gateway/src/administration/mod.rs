//! The administration API: read-only reports of what this gateway knows and why it decides as it
//! does.

mod explain;
mod query;
mod report;
mod respond;
mod server;

pub use query::GaugeReport;
pub use query::StateAnswer;
pub use query::StateQuery;
pub use query::TargetCondition;
pub use query::answer_query;
pub use report::DryRunReport;
pub use report::ExplainReport;
pub use report::FleetReport;
pub use report::LinkReport;
pub use report::LoadReport;
pub use report::ObstacleReport;
pub use report::QuarantineReport;
pub use report::RefusalReport;
pub use report::SectionReport;
pub use report::StandingReport;
pub use report::TargetReport;
pub use respond::AdministrationKey;
pub use server::add_routes;
pub use server::refuse_path;
