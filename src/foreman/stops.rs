//! Stopping less urgent work for urgent work that finds no room.

use super::*;

impl Foreman {
    /// Stops less urgent tasks where that makes room for urgent ones that found none: on a
    /// machine that has the image if there is one, and those that lose least.
    pub(super) fn preempt(
        &mut self,
        unplaced: Vec<(usize, Ask)>,
        room: &[Amount],
        cache: &Cache,
        now: Instant,
    ) {
        // Room that earlier preemptions are about to free.
        let mut coming = self
            .machines
            .values()
            .flat_map(|machine| machine.entries.values())
            .filter(|entry| entry.state != TaskState::Exited)
            .filter(|entry| entry.stopped_for(PREEMPTED))
            .count();
        for (count, ask) in unplaced {
            if ask.gang {
                continue;
            }
            let count = count.min(placement::copies(&room[ask.team], &ask.need) as usize);
            for _ in 0..count {
                if coming > 0 {
                    coming -= 1;
                } else if !self.preempt_one(&ask, false, cache, now) {
                    break;
                }
            }
        }
    }

    /// Whether a start on a machine without the image misses its class's tightest aim.
    pub(super) fn fetch_is_late(&self, job: &JobId, machine: &MachineId, cache: &Cache) -> bool {
        let Some(live) = cache.jobs.get(job).and_then(Job::live) else { return false };
        let Some(machine) = self.machines.get(machine) else { return false };
        let rate = self.flavors[machine.flavor].fetch_gb_per_s;
        let Some(within_s) = self.settings.tightest_wait(&live.spec.class) else { return false };
        live.spec.urgency == Urgency::Production
            && rate > 0.0
            && live.spec.image_gb / rate > within_s * FETCH_SHARE
    }

    /// With `warm`, only on a machine that has the image.
    pub(super) fn preempt_one(
        &mut self,
        ask: &Ask,
        warm: bool,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        let patience_s = ask.within_s.unwrap_or(f64::INFINITY) * SAVE_SHARE;
        let quiet = self.settings.report_every() * 2;
        let mut best: Option<(f64, f64, MachineId, Vec<TaskAttempt>)> = None;
        for machine in self.machines.values() {
            let fits = machine.life == Life::Up
                && machine.confirmed
                && machine.recorded
                && machine.recall_at.is_none()
                && !machine.faulty
                && machine.silent_for(now) < quiet
                && placement::allowed(ask, machine.zone, machine.flavor, machine.spot)
                && ask.zone_room[machine.zone] > 0
                && !ask.avoid.contains(&machine.index);
            let has = |image: &Arc<str>| self.images.get(image) == Some(&ask.image);
            let cold = !machine.images.iter().any(has);
            if !fits || (warm && cold) {
                continue;
            }
            // What each less urgent task here would lose by being stopped.
            let mut victims: Vec<(f64, &TaskId, Attempt, Amount)> = machine
                .entries
                .iter()
                .filter(|(_, entry)| {
                    entry.stop.is_none()
                        && matches!(entry.state, TaskState::Running | TaskState::Fetching)
                })
                .filter_map(|((task, attempt), entry)| {
                    let live = cache.jobs.get(&task.job).and_then(Job::live)?;
                    let spec = &live.spec;
                    if spec.urgency <= ask.urgency || spec.shape != Shape::Array {
                        return None;
                    }
                    let ran = entry
                        .running_since
                        .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
                    let loses = match spec.checkpoint_s > 0.0 {
                        true if spec.save_s <= patience_s => spec.save_s,
                        true => ran.min(spec.checkpoint_s / 2.0),
                        false => ran,
                    };
                    // What matters is the work that is lost, not how many tasks it came in.
                    let share = entry.need.cpu as f64 / ask.need.cpu.max(1) as f64;
                    Some((loses * share, task, *attempt, entry.need))
                })
                .collect();
            victims.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut free = self.size(machine.flavor).minus(&machine.used());
            let mut chosen = Vec::new();
            let mut loss = 0.0;
            for (loses, task, attempt, need) in victims {
                if ask.need.fits(&free) {
                    break;
                }
                free = free.plus(&need);
                loss += loses;
                chosen.push((task.clone(), attempt));
            }
            if !ask.need.fits(&free) || chosen.is_empty() {
                continue;
            }
            // An image at hand is worth some repeated work, but not any amount of it.
            let price = if cold { loss + IMAGE_WORTH_S } else { loss };
            if warm && loss > IMAGE_WORTH_S {
                continue;
            }
            if best.as_ref().is_none_or(|(least, ..)| price < *least) {
                best = Some((price, loss, machine.id.clone(), chosen));
            }
        }
        let Some((_, loss, id, chosen)) = best else { return false };
        tracing::info!(machine = %id, tasks = chosen.len(), loss, "preempted");
        for key in chosen {
            let save_s = cache.jobs.get(&key.0.job).and_then(Job::live).map(|l| l.spec.save_s);
            // Saving goes on for as long as the urgent task waits for the room.
            let grace_s = save_s.filter(|save_s| *save_s <= patience_s).unwrap_or(0.0);
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.stop(&key, Stop { grace_s, reason: PREEMPTED });
                self.stops += 1;
            }
        }
        true
    }
}
