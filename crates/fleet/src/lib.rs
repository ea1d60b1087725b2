//! Fleet membership and distribution of the configuration document.
//!
//! Each gateway and each agent runs one [`reducer::FleetReducer`]. Gateways gossip with a bounded
//! number of peers. Each agent receives updates from a few of the gateways that are linked to it.
//! In each zone a few gateways read the configuration service and the VM list on behalf of the
//! others.

pub mod members;
pub mod messages;
pub mod reducer;
pub mod sections;
pub mod shell;
pub mod simulation;
pub mod subset;
pub mod suspects;
pub mod validation;
