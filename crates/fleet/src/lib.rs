//! Membership of the fleet and spread of the configuration document.
//!
//! Each gateway and each agent runs one [`reducer::FleetReducer`]. Gateways gossip with a bounded
//! number of peers; agents are fed by some of the gateways that have links to them. A few gateways
//! of each zone read the configuration service and the VM list for all.

pub mod members;
pub mod messages;
pub mod reducer;
pub mod sections;
pub mod shell;
pub mod simulation;
pub mod subset;
pub mod suspects;
pub mod validation;
