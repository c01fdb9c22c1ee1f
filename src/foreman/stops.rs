//! Stopping less urgent work for urgent work that finds no room.

use super::*;

/// A task that could make way.
struct Victim {
    key: TaskAttempt,
    urgency: Urgency,
    need: Amount,
    /// Seconds of its work that are lost if it may save first, and if it may not; more for a job
    /// whose tasks made way before.
    saved_loss: f64,
    loss: f64,
    save_s: f64,
}

/// A machine with tasks that could make way, those first that lose least for their size.
struct Source {
    id: MachineId,
    index: u64,
    zone: usize,
    flavor: usize,
    spot: bool,
    free: Amount,
    victims: Vec<Victim>,
}

/// What could make way, looked up once for many asks and only if anything is to be stopped:
/// machines hold dozens of a guest's small tasks each.
#[derive(Default)]
pub(super) struct Stoppable(Option<Vec<Source>>);

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
        // Room that earlier stops are about to free. Its size counts: sixteen small tasks may
        // make room for one.
        let mut coming = self
            .machines
            .values()
            .flat_map(|machine| machine.entries.values())
            .filter(|entry| entry.state != TaskState::Exited)
            .filter(|entry| entry.stopped_for(PREEMPTED))
            .fold(Amount::default(), |sum, entry| sum.plus(&entry.need));
        // Looked up anew: the starts of this pass have taken room.
        let mut stoppable = Stoppable::default();
        for (count, ask) in unplaced {
            if ask.gang {
                continue;
            }
            let count = count.min(placement::copies(&room[ask.team], &ask.need) as usize);
            for _ in 0..count {
                if ask.need.fits(&coming) {
                    coming = coming.minus(&ask.need);
                } else if !self.preempt_one(&ask, false, &mut stoppable, cache, now) {
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

    fn sources(&self, cache: &Cache, now: Instant) -> Vec<Source> {
        let quiet = self.settings.report_every() * 2;
        let usable = |machine: &&Machine| {
            machine.life == Life::Up
                && machine.confirmed
                && machine.recorded
                && machine.recall_at.is_none()
                && !machine.faulty
                && machine.silent_for(now) < quiet
        };
        let mut sources = Vec::new();
        for machine in self.machines.values().filter(usable) {
            let mut victims: Vec<Victim> = machine
                .entries
                .iter()
                .filter(|(_, entry)| {
                    entry.urgency > Urgency::Production
                        && entry.stop.is_none()
                        && matches!(entry.state, TaskState::Running | TaskState::Fetching)
                })
                .filter_map(|(key, entry)| {
                    let spec = &cache.jobs.get(&key.0.job).and_then(Job::live)?.spec;
                    if spec.shape != Shape::Array {
                        return None;
                    }
                    let ran = entry
                        .running_since
                        .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
                    let saves = spec.checkpoint_s > 0.0;
                    // What made way before has lost enough: else the same small jobs are stopped
                    // again and again until they end late.
                    let before = self.work.get(&key.0.job).map_or(0, |work| work.made_way);
                    let weight = 1.0 + f64::from(before) / spec.tasks as f64;
                    Some(Victim {
                        key: key.clone(),
                        urgency: entry.urgency,
                        need: entry.need,
                        saved_loss: weight * if saves { spec.save_s } else { ran },
                        loss: weight * if saves { ran.min(spec.checkpoint_s / 2.0) } else { ran },
                        save_s: if saves { spec.save_s } else { 0.0 },
                    })
                })
                .collect();
            if victims.is_empty() {
                continue;
            }
            victims.sort_by(|a, b| a.saved_loss.min(a.loss).total_cmp(&b.saved_loss.min(b.loss)));
            sources.push(Source {
                id: machine.id.clone(),
                index: machine.index,
                zone: machine.zone,
                flavor: machine.flavor,
                spot: machine.spot,
                free: self.size(machine.flavor).minus(&machine.used()),
                victims,
            });
        }
        sources
    }

    /// With `warm`, only on a machine that has the image.
    pub(super) fn preempt_one(
        &mut self,
        ask: &Ask,
        warm: bool,
        stoppable: &mut Stoppable,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        // Saving goes on for as long as the urgent task waits for the room.
        let patience_s = ask.within_s.unwrap_or(f64::INFINITY) * SAVE_SHARE;
        let sources = stoppable.0.get_or_insert_with(|| self.sources(cache, now));
        let mut best: Option<(f64, f64, usize, Vec<usize>)> = None;
        for (at, source) in sources.iter().enumerate() {
            if !placement::allowed(ask, source.zone, source.flavor, source.spot)
                || ask.zone_room[source.zone] == 0
                || ask.avoid.contains(&source.index)
            {
                continue;
            }
            let known = |machine: &Machine| machine.image_ids.contains(&ask.image);
            let cold = !self.machines.get(&source.id).is_some_and(known);
            if warm && cold {
                continue;
            }
            let mut free = source.free;
            let mut chosen = Vec::new();
            let mut loss = 0.0;
            for (n, victim) in source.victims.iter().enumerate() {
                if ask.need.fits(&free) {
                    break;
                }
                if victim.urgency > ask.urgency {
                    // What matters is the work that is lost, not how many tasks it came in.
                    let share = victim.need.cpu as f64 / ask.need.cpu.max(1) as f64;
                    let saves = victim.save_s <= patience_s;
                    loss += share * if saves { victim.saved_loss } else { victim.loss };
                    free = free.plus(&victim.need);
                    chosen.push(n);
                }
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
                best = Some((price, loss, at, chosen));
            }
        }
        let Some((_, loss, at, chosen)) = best else { return false };
        let source = &mut sources[at];
        tracing::info!(machine = %source.id, tasks = chosen.len(), loss, "preempted");
        let Some(machine) = self.machines.get_mut(&source.id) else { return false };
        for n in chosen.into_iter().rev() {
            let victim = source.victims.remove(n);
            source.free = source.free.plus(&victim.need);
            let grace_s = if victim.save_s <= patience_s { victim.save_s } else { 0.0 };
            machine.stop(&victim.key, Stop { grace_s, reason: PREEMPTED });
            self.stops += 1;
        }
        source.free = source.free.minus(&ask.need);
        true
    }
}
