//! Routes, organisations and targets, as published in the platform's directory.

mod evacuations;
mod routes;
mod table;
mod target;

pub use evacuations::EvacuationTable;
pub use evacuations::ZoneEvacuation;
pub use routes::CallKind;
pub use routes::CallerLimits;
pub use routes::ColdRule;
pub use routes::EngineCapabilities;
pub use routes::OrganisationRule;
pub use routes::RouteRule;
pub use routes::RouteTable;
pub use routes::RouteTableVersion;
pub use routes::ServiceRule;
pub use routes::ServiceShare;
pub use table::MissingCause;
pub use table::TargetChange;
pub use table::TargetDelta;
pub use table::TargetDeparture;
pub use table::TargetTable;
pub use target::DirectoryRevision;
pub use target::TargetKey;
pub use target::TargetRecord;
pub use target::TargetState;

use std::rc::Rc;

use bytes::Bytes;
use kingcupfall_core::ids;

/// Event that a reader of the platform's directory reports to the process.
#[derive(Debug, Clone)]
pub enum DirectoryEvent {
    /// A version of the routes was read and decoded.
    Routes {
        /// The decoded routes.
        table: Rc<RouteTable>,
        /// Text from which they were decoded, for sending to peers.
        text: Bytes,
    },
    /// The complete list of targets was read.
    Listed {
        /// Directory revision that the list corresponds to.
        revision: DirectoryRevision,
        /// Records of all registered targets.
        targets: Vec<TargetRecord>,
    },
    /// A target was added, or its record changed.
    Written(TargetRecord),
    /// A target's record was removed, or its new content can't be decoded.
    Removed {
        /// Name under which the target was registered.
        name: ids::TargetName,
        /// Directory revision at which the record was removed or replaced.
        revision: DirectoryRevision,
    },
    /// The complete list of evacuated availability zones was read.
    EvacuationsListed {
        /// Directory revision that the list corresponds to.
        revision: DirectoryRevision,
        /// Evacuated zones, each with the revision at which its evacuation was written.
        zones: Vec<(ids::ZoneName, DirectoryRevision)>,
    },
    /// A zone was evacuated, or its evacuation was withdrawn.
    EvacuationChanged(ZoneEvacuation),
    /// All changes of targets up to the directory's last response have been reported.
    Confirmed,
    /// The directory stopped responding.
    Lost,
    /// The directory responds again.
    Regained,
    /// A response of the directory came late, or after a call without one.
    Disturbed,
}
