//! Validation of submissions: detects malformed ones and jobs that can never run.

use crate::api::routing::valid_id;
use crate::constants::MAX_TASKS_PER_JOB;
use crate::ids::Amount;
use crate::jobs::Jobs;
use crate::settings::Settings;
use crate::wire::{JobKind, JobSpec, MachineType};
use foldhash::{HashSet, HashSetExt};

/// Maximum length of a name in a submission, in bytes: far above any in use, and short enough for a stored record.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of machine types in a submission.
const MAX_MACHINE_TYPES: usize = 32;
/// Exclusive upper bound of every amount in a submission.
const AMOUNT_END: f64 = 1e9;

/// Reason why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Rejection {
    #[error("unknown team")]
    UnknownTeam,
    #[error("beyond its team's limit")]
    BeyondTeamLimit,
    #[error("unknown zone")]
    UnknownZone,
    #[error("fits no allowed machine type")]
    FitsNoMachineType,
    #[error("depends on a job that was never accepted")]
    UnknownDependency,
    #[error("depends on a service")]
    DependsOnService,
}

/// Returns whether every field has a value that the protocol allows.
pub(super) fn is_well_formed(spec: &JobSpec) -> bool {
    let text = |s: &str| !s.is_empty() && s.len() <= MAX_TEXT_BYTES;
    let amount = |x: f64| x.is_finite() && (0.0..AMOUNT_END).contains(&x);
    let amounts = [spec.cpus, spec.gpus, spec.ram_gb, spec.image_gb, spec.expect_s];
    let times = [spec.checkpoint_s, spec.save_s, spec.due_s.unwrap_or(0.0)];
    let machine_types =
        |list: &Vec<String>| list.len() <= MAX_MACHINE_TYPES && list.iter().all(|name| text(name));
    valid_id(spec.id.as_str())
        && text(&spec.class)
        && text(&spec.team)
        && spec.image.len() <= MAX_TEXT_BYTES
        && (1..=MAX_TASKS_PER_JOB).contains(&spec.tasks)
        && amounts.into_iter().chain(times).all(amount)
        && spec.machine_types.as_ref().is_none_or(machine_types)
        && spec.zone.as_ref().is_none_or(|zone| text(zone))
        && spec.depends_on.iter().flatten().all(|id| valid_id(id.as_str()))
}

/// Converts a submission to its stored form, in which each dependency occurs once and an empty list is absent.
pub(super) fn normalize(mut spec: JobSpec) -> JobSpec {
    if let Some(depends_on) = &mut spec.depends_on {
        let mut seen = HashSet::new();
        depends_on.retain(|id| seen.insert(id.clone()));
    }
    spec.depends_on.take_if(|depends_on| depends_on.is_empty());
    spec
}

/// Checks whether a job can ever run with the limit of its team, the zones and the machine types.
pub(super) fn check_runnable(
    spec: &JobSpec,
    settings: &Settings,
    machine_types: &[MachineType],
) -> Result<(), Rejection> {
    let params = &settings.platform.params;
    let team = params.teams.iter().find(|team| team.name == spec.team);
    let team = team.ok_or(Rejection::UnknownTeam)?;
    let request = Amount::request(spec.cpus, spec.gpus, spec.ram_gb);
    let tasks_at_once = match spec.kind {
        JobKind::Array => 1,
        JobKind::Service | JobKind::Gang => spec.tasks,
    };
    if !request.times(tasks_at_once).fits(&team.limit()) {
        return Err(Rejection::BeyondTeamLimit);
    }
    if spec.zone.as_ref().is_some_and(|zone| !params.zones.contains(zone)) {
        return Err(Rejection::UnknownZone);
    }
    let fits = machine_types.iter().any(|machine_type| {
        let capacity = Amount::capacity(machine_type.cpus, machine_type.gpus, machine_type.ram_gb);
        spec.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type.name))
            && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
            && request.fits(&capacity)
    });
    if fits { Ok(()) } else { Err(Rejection::FitsNoMachineType) }
}

/// Checks whether every dependency of a job is an accepted job other than a service. The cache may lack a job that
/// was accepted a moment ago.
pub(super) fn check_dependencies(spec: &JobSpec, known: &Jobs) -> Result<(), Rejection> {
    for id in spec.depends_on.iter().flatten() {
        match known.get(id) {
            None if known.is_unreadable(id) => {}
            None => return Err(Rejection::UnknownDependency),
            Some(job) => {
                if job.live().is_some_and(|live| live.spec.kind == JobKind::Service) {
                    return Err(Rejection::DependsOnService);
                }
            }
        }
    }
    Ok(())
}
