//! Requests to the cloud, and what their responses tell.

use crate::http::{Method, Request};
use crate::ids::MachineId;
use crate::wire::{self, ListedMachine, MachineIds, MachineType, RentalRequest};
use tokio::time::Instant;

/// Machines that are rented alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachinePool {
    /// Index of their type in the catalogue.
    pub flavor: usize,
    /// Index of their zone in the settings.
    pub zone: usize,
    /// They are spot machines.
    pub spot: bool,
}

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Reads the machine types and their prices.
    MachineTypes,
    /// Rents machines of a pool.
    ScaleOut(MachinePool, RentalRequest),
    /// Returns machines.
    ScaleIn(Vec<MachineId>),
    /// Reads a page of the rented machines.
    List {
        /// Name of the last machine of the page before; empty for the first page.
        after: String,
    },
}

impl CloudRequest {
    /// The request as it is sent.
    pub fn request(&self) -> Request {
        let post =
            |target: &str, body| Request { method: Method::Post, target: target.to_owned(), body };
        let get = |target: String| Request { method: Method::Get, target, body: Vec::new() };
        match self {
            CloudRequest::MachineTypes => get("/flavors".into()),
            CloudRequest::ScaleOut(_, rental) => post("/hosts", wire::encode(rental)),
            CloudRequest::ScaleIn(machines) => {
                post("/hosts/delete", wire::encode(&MachineIds { machines: machines.clone() }))
            }
            CloudRequest::List { after } if after.is_empty() => get("/hosts?most=500".into()),
            CloudRequest::List { after } => get(format!("/hosts?after={after}&most=500")),
        }
    }
}

/// All machines that the cloud lists.
#[derive(Debug)]
pub struct MachineListing {
    /// The machines.
    pub machines: Vec<ListedMachine>,
    /// When the first page was requested: later rentals may be missing.
    pub requested_at: Instant,
}

/// What a response of the cloud tells.
#[derive(Debug)]
pub enum CloudEvent {
    /// The machine types and their prices.
    MachineTypes(Vec<MachineType>),
    /// Machines of the pool were rented.
    MachinesRented(MachinePool, Vec<MachineId>),
    /// The pool has no more machines, or none at all.
    CapacityExhausted(MachinePool),
    /// Machines were returned.
    MachinesReturned(Vec<MachineId>),
    /// A complete listing.
    Listed(MachineListing),
}
