//! Routes, organisations and targets, as the platform publishes them.

mod routes;
mod table;
mod target;

pub use routes::CallKind;
pub use routes::CallerLimits;
pub use routes::EngineRule;
pub use routes::OrganisationRule;
pub use routes::RouteRule;
pub use routes::RouteTable;
pub use routes::ServiceRule;
pub use routes::ServiceShare;
pub use routes::TableVersion;
pub use table::TargetChange;
pub use table::TargetDeparture;
pub use table::TargetDifference;
pub use table::TargetTable;
pub use target::DirectoryRevision;
pub use target::TargetKey;
pub use target::TargetRecord;
pub use target::TargetState;

use std::rc::Rc;

use bytes::Bytes;

/// What a reader of the platform's directory tells the process.
#[derive(Debug, Clone)]
pub enum DirectoryEvent {
    /// A version of the routes was read.
    Routes {
        /// The decoded routes.
        table: Rc<RouteTable>,
        /// The text they were decoded from, which peers can be given.
        text: Bytes,
    },
    /// All targets, as they were listed.
    Listed {
        /// State of the directory at the end of the list.
        revision: DirectoryRevision,
        /// The targets.
        targets: Vec<TargetRecord>,
    },
    /// A target was added, or its record changed.
    Written(TargetRecord),
    /// A target's record was removed, or can't be read any more.
    Removed {
        /// Id under which it was registered.
        name: kingcupfall_core::ids::TargetName,
        /// State of the directory that no longer has it.
        revision: DirectoryRevision,
    },
    /// The directory does not answer.
    Lost,
    /// The directory answers again.
    Regained,
}
