//! The cloud.

use super::*;

impl World {
    pub fn cloud(&mut self, node: usize, incarnation: u32, id: u64, call: CloudRequest) {
        if self.on_island(node) {
            let gives_up = Event::CloudResponse { id, result: Err(CallError::Unknown) };
            return self.at(self.t + 4000, Due::Controller(node, incarnation, gives_up));
        }
        if self.cloud_out {
            let body = wire::encode(&wire::CloudError { error: "trouble".into() });
            let refusal = Ok(Response::with(503, body));
            return self.soon(Due::Controller(
                node,
                incarnation,
                Event::CloudResponse { id, result: refusal },
            ));
        }
        let rents = matches!(call, CloudRequest::RentalRequest(..));
        let response = match call {
            CloudRequest::MachineTypes => Response::with(
                200,
                wire::encode(&MachineTypes {
                    flavors: vec![MachineType {
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
            CloudRequest::RentalRequest(kind, hire) => {
                let known = self.hired.get(&hire.request).cloned();
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
                    self.hired.insert(hire.request, machines.clone());
                    Response::with(200, wire::encode(&MachineIds { machines }))
                }
            }
            CloudRequest::Delete(machines) => {
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
                let t = self.t;
                let rows = self.workers.iter().filter(|(_, w)| !w.gone && w.up_at + 2000 <= t);
                let machines = rows
                    .map(|(id, worker)| ListedMachine {
                        machine: id.clone(),
                        address: Some("127.0.0.1:7".into()),
                        flavor: "f".into(),
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
        if rents && self.aims.quick_boots {
            // The machines are up and report before whoever rented them hears of them.
            let late = self.t + self.random.random_range(300..3000);
            return self.at(
                late,
                Due::Controller(
                    node,
                    incarnation,
                    Event::CloudResponse { id, result: Ok(response) },
                ),
            );
        }
        let result = if lost { Err(CallError::Unknown) } else { Ok(response) };
        self.soon(Due::Controller(node, incarnation, Event::CloudResponse { id, result }));
    }

    pub fn rent(&mut self, zone: usize, spot: bool) -> MachineId {
        self.next_machine += 1;
        let id = MachineId::new(&format!("i-{:06}", self.next_machine));
        let mut boot = self.random.random_range(1000..8000);
        if self.aims.quick_boots {
            boot = self.random.random_range(50..2000);
            self.aims.took_effect("quick boots");
        }
        let never = self.bad_boots && self.random.random_range(0..3) == 0;
        let factor = if self.bad_boots { 3 } else { 1 };
        let up_at = if never { u64::MAX / 2 } else { self.t + boot * factor };
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
        self.at(up_at, Due::Worker(id.clone()));
        id
    }
}
