//! The cloud.

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
    pub fn cloud(&mut self, node: usize, incarnation: u32, id: u64, call: CloudRequest) {
        if self.is_isolated(node) {
            let gives_up = Event::CloudResponse { id, result: Err(CallError::Unknown) };
            return self.at(self.now_ms + 4000, SimEvent::Controller(node, incarnation, gives_up));
        }
        if self.cloud_out {
            let body = wire::encode(&wire::CloudError { error: "trouble".into() });
            let refusal = Ok(Response::with(503, body));
            return self.schedule_soon(SimEvent::Controller(
                node,
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
            CloudRequest::ScaleOut(kind, hire) => {
                let known = self.hired.get(&hire.request_id).cloned();
                let alike = |w: &&Worker| !w.gone && w.zone == kind.zone && w.spot == kind.spot;
                let held = self.workers.values().filter(alike).count();
                let most = self.capacity[usize::from(kind.spot)];
                let room = most.saturating_sub(held).min(hire.count as usize);
                if known.is_none() && room == 0 {
                    let error = NO_CAPACITY.into();
                    Response::with(503, wire::encode(&wire::CloudError { error }))
                } else {
                    let machines = known.unwrap_or_else(|| {
                        (0..room).map(|_| self.rent(kind.zone, kind.spot)).collect()
                    });
                    self.hired.insert(hire.request_id, machines.clone());
                    Response::with(200, wire::encode(&MachineIds { machines }))
                }
            }
            CloudRequest::ScaleIn(machines) => {
                for machine in machines {
                    if let Some(worker) = self.workers.get_mut(&machine)
                        && !worker.gone
                    {
                        worker.gone = true;
                        worker.tasks_left_empty =
                            worker.tasks.values().all(|r| r.state == TaskState::Exited);
                        worker.tasks.clear();
                    }
                }
                Response::empty(200)
            }
            CloudRequest::List { .. } => {
                let t = self.now_ms;
                let rows = self.workers.iter().filter(|(_, w)| !w.gone && w.up_at + 2000 <= t);
                let machines = rows
                    .map(|(id, worker)| ListedMachine {
                        machine: id.clone(),
                        address: Some("127.0.0.1:7".into()),
                        machine_type: "f".into(),
                        zone: ZONES[worker.zone].into(),
                        spot: worker.spot,
                        status: ListedMachineState::Running,
                        age_s: (t - worker.up_at) as f64 / 1000.0,
                    })
                    .collect();
                Response::with(200, wire::encode(&MachinePage { machines, truncated: false }))
            }
        };
        let lost = self.random.random_range(0..40) == 0;
        if rents && self.targeted_faults.quick_boots {
            // The machines are up and report before whoever rented them hears of them.
            let late = self.now_ms + self.random.random_range(300..3000);
            return self.at(
                late,
                SimEvent::Controller(
                    node,
                    incarnation,
                    Event::CloudResponse { id, result: Ok(response) },
                ),
            );
        }
        let result = if lost { Err(CallError::Unknown) } else { Ok(response) };
        self.schedule_soon(SimEvent::Controller(
            node,
            incarnation,
            Event::CloudResponse { id, result },
        ));
    }

    pub fn rent(&mut self, zone: usize, spot: bool) -> MachineId {
        self.next_machine += 1;
        let id = MachineId::new(&format!("i-{:06}", self.next_machine));
        let mut boot = self.random.random_range(1000..8000);
        if self.targeted_faults.quick_boots {
            boot = self.random.random_range(50..2000);
            self.targeted_faults.record_effect("quick boots");
        }
        let never = self.bad_boots && self.random.random_range(0..3) == 0;
        let factor = if self.bad_boots { 3 } else { 1 };
        let up_at = if never { u64::MAX / 2 } else { self.now_ms + boot * factor };
        self.workers.insert(
            id.clone(),
            Worker {
                zone,
                spot,
                up_at,
                gone: false,
                agent_epoch: 1,
                seq: 0,
                token: FencingToken(0),
                renewed: up_at,
                target: self.random.random_range(0..self.nodes.len()),
                asked: None,
                next_report: up_at,
                changed: false,
                images: Vec::new(),
                tasks: BTreeMap::new(),
                tasks_left_empty: false,
            },
        );
        self.at(up_at, SimEvent::Worker(id.clone()));
        id
    }
}
