//! The administration API: read-only reports of what this gateway knows and why it decides as it
//! does.

mod query;
mod report;
mod server;

pub use query::StateAnswer;
pub use query::StateQuery;
pub use query::answer_query;
pub use report::ExplainReport;
pub use report::LinkReport;
pub use report::LoadReport;
pub use report::ObstacleReport;
pub use report::QuarantineReport;
pub use report::StandingReport;
pub use report::TargetReport;
pub use server::AdministrationKey;
pub use server::add_routes;
