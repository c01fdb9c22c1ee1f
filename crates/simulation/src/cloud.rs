//! The simulated cloud: rents, lists and terminates machines.

use crate::config::ZONES;
use crate::event::SimEvent;
use crate::model::Worker;
use crate::world::World;
use rand::Rng;
use std::collections::BTreeMap;
use troutspindle::cloud::{CloudRequest, NO_CAPACITY};
use troutspindle::controller::Event;
use troutspindle::http::{CallError, Response};
use troutspindle::ids::{FencingToken, MachineId};
use troutspindle::wire;
use troutspindle::wire::{
    ListedMachine, ListedMachineState, MachineIds, MachinePage, MachineType, MachineTypes,
    TaskState,
};

impl World {
    /// Handles a controller's request.
    pub fn on_cloud_request(
        &mut self,
        controller: usize,
        incarnation: u32,
        id: u64,
        call: CloudRequest,
    ) {
        if self.is_isolated(controller) {
            let timeout = Event::CloudResponse { id, result: Err(CallError::Unknown) };
            return self.schedule(
                self.now_ms + 4000,
                SimEvent::Controller(controller, incarnation, timeout),
            );
        }
        if self.cloud_unavailable {
            let body = wire::encode(&wire::CloudError { error: "trouble".into() });
            let refusal = Ok(Response::with(503, body));
            return self.schedule_soon(SimEvent::Controller(
                controller,
                incarnation,
                Event::CloudResponse { id, result: refusal },
            ));
        }
        let rents = matches!(call, CloudRequest::ScaleOut(..));
        let response = match call {
            CloudRequest::MachineTypes => Response::with(
                200,
                wire::encode(&MachineTypes {
                    types: vec![MachineType {
                        name: "f".into(),
                        cpus: 8.0,
                        gpus: 0.0,
                        ram_gb: 32.0,
                        cache_gb: 20.0,
                        fetch_gb_per_s: 1.0,
                        price: 1.0,
                        spot_price: 0.3,
                        boot_s: 4.0,
                        zones: ZONES.map(String::from).to_vec(),
                    }],
                }),
            ),
            CloudRequest::ScaleOut(pool, rental) => {
                let earlier = self.rentals.get(&rental.request_id).cloned();
                let is_in_pool =
                    |w: &&Worker| !w.terminated && w.zone == pool.zone && w.spot == pool.spot;
                let rented = self.workers.values().filter(is_in_pool).count();
                let limit = self.capacity[usize::from(pool.spot)];
                let count = limit.saturating_sub(rented).min(rental.count as usize);
                if earlier.is_none() && count == 0 {
                    let error = NO_CAPACITY.into();
                    Response::with(503, wire::encode(&wire::CloudError { error }))
                } else {
                    let machines = earlier.unwrap_or_else(|| {
                        (0..count).map(|_| self.rent(pool.zone, pool.spot)).collect()
                    });
                    self.rentals.insert(rental.request_id, machines.clone());
                    Response::with(200, wire::encode(&MachineIds { machines }))
                }
            }
            CloudRequest::ScaleIn(machines) => {
                for machine in machines {
                    if let Some(worker) = self.workers.get_mut(&machine)
                        && !worker.terminated
                    {
                        worker.terminated = true;
                        worker.terminated_idle =
                            worker.tasks.values().all(|r| r.state == TaskState::Exited);
                        worker.tasks.clear();
                    }
                }
                Response::empty(200)
            }
            CloudRequest::List { .. } => {
                let now_ms = self.now_ms;
                let rows = self
                    .workers
                    .iter()
                    .filter(|(_, w)| !w.terminated && w.booted_at + 2000 <= now_ms);
                let machines = rows
                    .map(|(id, worker)| ListedMachine {
                        machine: id.clone(),
                        address: Some("127.0.0.1:7".into()),
                        machine_type: "f".into(),
                        zone: ZONES[worker.zone].into(),
                        spot: worker.spot,
                        status: ListedMachineState::Running,
                        age_s: (now_ms - worker.booted_at) as f64 / 1000.0,
                    })
                    .collect();
                Response::with(200, wire::encode(&MachinePage { machines, truncated: false }))
            }
        };
        let response_lost = self.random.random_range(0..40) == 0;
        if rents && self.targeted_faults.fast_boots {
            // The machines boot and send heartbeats before the controller receives the response.
            let late = self.now_ms + self.random.random_range(300..3000);
            return self.schedule(
                late,
                SimEvent::Controller(
                    controller,
                    incarnation,
                    Event::CloudResponse { id, result: Ok(response) },
                ),
            );
        }
        let result = if response_lost { Err(CallError::Unknown) } else { Ok(response) };
        self.schedule_soon(SimEvent::Controller(
            controller,
            incarnation,
            Event::CloudResponse { id, result },
        ));
    }

    /// Adds a machine and schedules its boot.
    pub fn rent(&mut self, zone: usize, spot: bool) -> MachineId {
        self.next_machine += 1;
        let id = MachineId::new(&format!("i-{:06}", self.next_machine));
        let mut boot = self.random.random_range(1000..8000);
        if self.targeted_faults.fast_boots {
            boot = self.random.random_range(50..2000);
            self.targeted_faults.record_effect("fast boots");
        }
        let never_boots = self.failed_boots && self.random.random_range(0..3) == 0;
        let factor = if self.failed_boots { 3 } else { 1 };
        let booted_at = if never_boots { u64::MAX / 2 } else { self.now_ms + boot * factor };
        self.workers.insert(
            id.clone(),
            Worker {
                zone,
                spot,
                booted_at,
                terminated: false,
                agent_epoch: 1,
                seq: 0,
                token: FencingToken(0),
                lease_renewed_at: booted_at,
                target: self.random.random_range(0..self.controllers.len()),
                pending_heartbeat: None,
                next_heartbeat_at: booted_at,
                changed: false,
                images: Vec::new(),
                tasks: BTreeMap::new(),
                terminated_idle: false,
            },
        );
        self.schedule(booted_at, SimEvent::Worker(id.clone()));
        id
    }
}
