//! Requests to the cloud and the events that result from its responses.

use crate::http::{Method, Request};
use crate::ids::MachineId;
use crate::wire::{self, ListedMachine, MachineIds, MachineType, RentalRequest};
use tokio::time::Instant;

/// Machines of one type, in one zone, that are all spot or all ordinary machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachinePool {
    /// Index of the machine type in the list of machine types.
    pub machine_type: usize,
    /// Index of the zone in the settings.
    pub zone: usize,
    /// True for spot machines, false for ordinary ones.
    pub spot: bool,
}

/// Request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Reads the machine types and their prices.
    MachineTypes,
    /// Rents machines of a pool.
    ScaleOut(MachinePool, RentalRequest),
    /// Terminates machines.
    ScaleIn(Vec<MachineId>),
    /// Reads a page of the rented machines.
    List {
        /// Name of the last machine of the previous page; empty for the first page.
        after: String,
    },
}

impl CloudRequest {
    /// Encodes the request for HTTP.
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

/// Complete listing of the rented machines.
#[derive(Debug)]
pub struct MachineListing {
    /// Listed machines of all pages.
    pub machines: Vec<ListedMachine>,
    /// Time at which the first page was requested. Machines rented later may be missing.
    pub requested_at: Instant,
}

/// Event that results from a response of the cloud.
#[derive(Debug)]
pub enum CloudEvent {
    /// The machine types and their prices.
    MachineTypes(Vec<MachineType>),
    /// Machines of the pool were rented.
    MachinesRented(MachinePool, Vec<MachineId>),
    /// The cloud rented fewer machines of the pool than requested, or none.
    CapacityExhausted(MachinePool),
    /// The cloud confirmed the termination of these machines.
    MachinesReturned(Vec<MachineId>),
    /// A complete listing.
    Listed(MachineListing),
}
