//! The administration API: read-only reports of this gateway's state and of the reasons behind its
//! placement decisions.

mod explain;
mod query;
mod report;
mod respond;
mod server;

pub use query::GaugeReport;
pub use query::StateQuery;
pub use query::StateReply;
pub use query::TargetCondition;
pub use query::execute_query;
pub use report::CandidateReport;
pub use report::DryRunReport;
pub use report::ErrorReport;
pub use report::ExplainReport;
pub use report::FleetReport;
pub use report::LinkReport;
pub use report::LoadReport;
pub use report::ObstacleReport;
pub use report::QuarantineReport;
pub use report::SectionReport;
pub use report::TargetReport;
pub use respond::AdministrationKey;
pub use server::add_routes;
pub use server::refuse_path;
