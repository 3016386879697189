//! Whether shapes fit the workers when nothing runs.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    AdjacencyRule,
    ClassName,
    ClassRule,
    CustomerName,
    CustomerTemplate,
    DomainName,
    GangShape,
    JobId,
    LossReserve,
    RackName,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use crate::{
    ClusterView,
    PolicyDecision,
    PolicyMemory,
    WaitingJob,
    WorkerView,
    plan_guarantees,
    room::Room, //
};

/// A guaranteed shape that doesn't fit beside the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
#[snafu(display(
    "shape {} of {customer} does not fit once {lost} is lost: {accelerators} accelerators are \
     guaranteed too many",
    shape + 1
))]
pub struct UnsatisfiableGuarantee {
    /// The customer whose shape doesn't fit.
    pub customer: CustomerName,
    /// The position of the shape in its template.
    pub shape: u16,
    /// The accelerators of all shapes that don't fit.
    pub accelerators: u64,
    /// The worker or failure domain whose loss was assumed.
    pub lost: String,
}

/// Returns whether a gang fits the workers when nothing else runs; with no workers nobody can tell, and
/// it counts as fitting.
pub fn fits_when_empty<'a>(
    workers: impl Iterator<Item = &'a WorkerShape>,
    gang: &GangShape,
) -> bool {
    let mut workers = workers.peekable();
    workers.peek().is_none() || fits_some(workers, gang)
}

/// Returns whether a gang of a class could start if nothing else ran: work that can't be stopped must also
/// leave room for what is guaranteed to others.
pub fn can_ever_start(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
    workers: &[(&WorkerName, &WorkerShape)],
    customer: &CustomerName,
    class: &ClassName,
    gang: &GangShape,
) -> bool {
    let template = templates.get(customer);
    let rule = template.and_then(|t| t.classes.get(class));
    let (Some(template), Some(rule)) = (template, rule) else {
        return false;
    };
    let shapes = workers.iter().map(|(_, shape)| *shape);
    let is_guaranteed = template.guaranteed.iter().any(|g| is_within(gang, g));
    match workers.is_empty() {
        false if !fits_some(shapes, gang) => false,
        false if !rule.idempotent && !is_guaranteed => {
            starts_alone(templates, workers, template, (class, rule), gang)
        }
        _ => true,
    }
}

/// Returns whether a gang fits into a guaranteed shape.
fn is_within(gang: &GangShape, guaranteed: &GangShape) -> bool {
    gang.members <= guaranteed.members
        && guaranteed.member.can_hold(&gang.member)
        && (guaranteed.adjacency <= gang.adjacency || gang.members == 1)
}

fn starts_alone(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
    workers: &[(&WorkerName, &WorkerShape)],
    template: &CustomerTemplate,
    (class, rule): (&ClassName, &ClassRule),
    gang: &GangShape,
) -> bool {
    let memory = PolicyMemory::default();
    let mut workers = workers.to_vec();
    workers.sort_unstable_by_key(|(name, _)| *name);
    let empty = workers
        .iter()
        .map(|(name, shape)| WorkerView::empty(name, shape));
    let view = ClusterView {
        now: UnixMillis(0),
        templates,
        memory: &memory,
        workers: empty.collect(),
        waiting: vec![WaitingJob {
            job: JobId(0),
            customer: &template.customer,
            class,
            rule,
            gang,
            accepted: UnixMillis(0),
            declared_run: None,
        }],
        placed: Vec::new(),
    };
    let decisions = crate::decide(&view);
    decisions
        .iter()
        .any(|d| matches!(d, PolicyDecision::Place { .. }))
}

/// Returns whether there are workers that hold a gang when nothing else runs.
pub(crate) fn fits_some<'a>(
    workers: impl Iterator<Item = &'a WorkerShape>,
    gang: &GangShape,
) -> bool {
    let member = Room::of_task(&gang.member);
    let mut groups: BTreeMap<(Option<&DomainName>, Option<&RackName>, usize), u32> =
        BTreeMap::new();
    for (number, worker) in workers.enumerate() {
        let count = Room::new(&worker.total, worker.slots).count(&member);
        let domain = Some(&worker.domain);
        let group = match gang.adjacency {
            AdjacencyRule::Worker => (domain, Some(&worker.rack), number),
            AdjacencyRule::Rack => (domain, Some(&worker.rack), 0),
            AdjacencyRule::Domain => (domain, None, 0),
            AdjacencyRule::Any => (None, None, 0),
        };
        *groups.entry(group).or_default() += u32::from(count);
    }
    let most = groups.values().max().copied().unwrap_or_default();
    most >= u32::from(gang.members)
}

/// Checks that the guaranteed shapes of all templates fit together on some workers, also after the
/// loss that each template's reserve names.
///
/// # Errors
///
/// Returns the shape that is the first to be given up in the loss that hurts most, and by how much
/// too much is guaranteed.
pub fn check_guarantees(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
    workers: &[(&WorkerName, &WorkerShape)],
) -> Result<(), UnsatisfiableGuarantee> {
    let mut worst: Option<UnsatisfiableGuarantee> = None;
    for (lost, left) in losses(templates, workers) {
        let kept = match lost.reserve {
            LossReserve::Worker => templates.clone(),
            LossReserve::Domain => domain_reserved(templates),
        };
        let misfit = misfit_of(&kept, &left, lost.name);
        let size = |m: &Option<UnsatisfiableGuarantee>| m.as_ref().map_or(0, |m| m.accelerators);
        if size(&misfit) > size(&worst) {
            worst = misfit;
        }
    }
    worst.map_or(Ok(()), Err)
}

fn domain_reserved(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
) -> BTreeMap<CustomerName, CustomerTemplate> {
    let reserved = templates
        .iter()
        .filter(|(_, t)| t.reserve == LossReserve::Domain);
    reserved.map(|(n, t)| (n.clone(), t.clone())).collect()
}

/// The loss of a worker or a failure domain.
struct AssumedLoss {
    reserve: LossReserve,
    name: String,
}

type NamedShapes<'a> = Vec<(&'a WorkerName, &'a WorkerShape)>;

/// Returns the losses to check, with the workers that are left: workers of the same shape in racks and
/// domains of the same make-up stand for each other.
fn losses<'a>(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
    workers: &[(&'a WorkerName, &'a WorkerShape)],
) -> Vec<(AssumedLoss, NamedShapes<'a>)> {
    let in_rack = |w: &WorkerShape| {
        let mates = workers
            .iter()
            .filter(|(_, o)| o.rack == w.rack && o.domain == w.domain);
        let mut mates: Vec<_> = mates.map(|(_, o)| (o.total, o.slots)).collect();
        mates.sort_unstable();
        mates
    };
    let mut racks = BTreeMap::new();
    let mut seen = BTreeSet::new();
    let mut losses = Vec::new();
    for (name, shape) in workers {
        let rack = racks
            .entry((&shape.domain, &shape.rack))
            .or_insert_with(|| in_rack(shape));
        let domain_size = workers
            .iter()
            .filter(|(_, o)| o.domain == shape.domain)
            .count();
        if seen.insert((shape.total, shape.slots, rack.clone(), domain_size)) {
            let left = workers.iter().filter(|(n, _)| n != name).copied();
            let lost = AssumedLoss {
                reserve: LossReserve::Worker,
                name: name.to_string(),
            };
            losses.push((lost, left.collect()));
        }
    }
    if templates.values().any(|t| t.reserve == LossReserve::Domain) {
        let domains: BTreeSet<_> = workers.iter().map(|(_, w)| &w.domain).collect();
        for domain in domains {
            let left = workers.iter().filter(|(_, w)| w.domain != *domain).copied();
            let lost = AssumedLoss {
                reserve: LossReserve::Domain,
                name: domain.to_string(),
            };
            losses.push((lost, left.collect()));
        }
    }
    losses
}

fn misfit_of(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
    workers: &NamedShapes<'_>,
    lost: String,
) -> Option<UnsatisfiableGuarantee> {
    let memory = PolicyMemory::default();
    let view = ClusterView {
        now: UnixMillis(0),
        templates,
        memory: &memory,
        workers: workers
            .iter()
            .map(|(name, shape)| WorkerView::empty(name, shape))
            .collect(),
        waiting: Vec::new(),
        placed: Vec::new(),
    };
    let degraded = plan_guarantees(&view).degraded;
    let accelerators = degraded.iter().map(|d| d.accelerators).sum();
    let first = degraded.into_iter().next_back()?;
    Some(UnsatisfiableGuarantee {
        customer: first.customer,
        shape: first.shape,
        accelerators,
        lost,
    })
}
