//! Admission checks: whether gangs and guaranteed shapes fit the workers when nothing runs.

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
    resource_vector::ResourceVector, //
};

/// A guaranteed shape that can't be placed together with the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
#[snafu(display(
    "guaranteed shape {} of customer {customer} does not fit after the loss of {lost}: \
     {accelerators} accelerators of guaranteed shapes can't be placed",
    shape + 1
))]
pub struct UnsatisfiableGuarantee {
    /// The customer whose shape doesn't fit.
    pub customer: CustomerName,
    /// The position of the shape in the customer's template.
    pub shape: u16,
    /// The number of accelerators of all shapes that don't fit.
    pub accelerators: u64,
    /// The worker or failure domain whose loss is assumed.
    pub lost: String,
}

/// Returns whether a gang fits the workers when nothing else runs.
///
/// Returns `true` if there are no workers, since the capacity isn't known then.
pub fn fits_when_empty<'a>(
    workers: impl Iterator<Item = &'a WorkerShape>,
    gang: &GangShape,
) -> bool {
    let mut workers = workers.peekable();
    workers.peek().is_none() || fits_workers(workers, gang)
}

/// Returns whether a gang of a class could start if nothing else ran.
///
/// A job that can't be preempted must also leave enough capacity for the guarantees of other
/// customers. Returns `true` for a known class if there are no workers, since the capacity isn't
/// known then.
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
        false if !fits_workers(shapes, gang) => false,
        false if !rule.idempotent && !is_guaranteed => {
            starts_on_empty_cluster(templates, workers, template, (class, rule), gang)
        }
        _ => true,
    }
}

/// Returns whether a gang fits within a guaranteed shape.
fn is_within(gang: &GangShape, guaranteed: &GangShape) -> bool {
    gang.members <= guaranteed.members
        && guaranteed.member.can_hold(&gang.member)
        && (guaranteed.adjacency <= gang.adjacency || gang.members == 1)
}

/// Returns whether a scheduling pass over otherwise idle workers places a gang.
fn starts_on_empty_cluster(
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

/// Returns whether some workers that satisfy the adjacency rule can hold a gang when nothing else
/// runs.
pub(crate) fn fits_workers<'a>(
    workers: impl Iterator<Item = &'a WorkerShape>,
    gang: &GangShape,
) -> bool {
    let member = ResourceVector::from_task(&gang.member);
    let mut groups: BTreeMap<(Option<&DomainName>, Option<&RackName>, usize), u32> =
        BTreeMap::new();
    for (number, worker) in workers.enumerate() {
        let count = ResourceVector::new(&worker.total, worker.slots).count_fitting(&member);
        let domain = Some(&worker.domain);
        let group = match gang.adjacency {
            AdjacencyRule::Worker => (domain, Some(&worker.rack), number),
            AdjacencyRule::Rack => (domain, Some(&worker.rack), 0),
            AdjacencyRule::Domain => (domain, None, 0),
            AdjacencyRule::Any => (None, None, 0),
        };
        *groups.entry(group).or_default() += u32::from(count);
    }
    let largest = groups.values().max().copied().unwrap_or_default();
    largest >= u32::from(gang.members)
}

/// Checks that the guaranteed shapes of all templates fit the workers together, including after the
/// loss that each template's reserve names.
///
/// # Errors
///
/// For the loss that degrades the most accelerators, returns the shape that is degraded first and
/// the number of accelerators of all degraded shapes.
pub fn check_guarantees(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
    workers: &[(&WorkerName, &WorkerShape)],
) -> Result<(), UnsatisfiableGuarantee> {
    let mut worst: Option<UnsatisfiableGuarantee> = None;
    for (lost, remaining) in assumed_losses(templates, workers) {
        let applicable = match lost.reserve {
            LossReserve::Worker => templates.clone(),
            LossReserve::Domain => templates_reserving_domain(templates),
        };
        let unsatisfiable = find_unsatisfiable(&applicable, &remaining, lost.name);
        let size = |m: &Option<UnsatisfiableGuarantee>| m.as_ref().map_or(0, |m| m.accelerators);
        if size(&unsatisfiable) > size(&worst) {
            worst = unsatisfiable;
        }
    }
    worst.map_or(Ok(()), Err)
}

/// Returns the templates whose guarantees must survive the loss of a failure domain.
fn templates_reserving_domain(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
) -> BTreeMap<CustomerName, CustomerTemplate> {
    let reserved = templates
        .iter()
        .filter(|(_, t)| t.reserve == LossReserve::Domain);
    reserved.map(|(n, t)| (n.clone(), t.clone())).collect()
}

/// The assumed loss of a worker or a failure domain.
struct AssumedLoss {
    reserve: LossReserve,
    name: String,
}

type NamedShapes<'a> = Vec<(&'a WorkerName, &'a WorkerShape)>;

/// Returns the losses to check, each with the remaining workers.
///
/// Of workers with equal shapes, whose racks have equal members and whose failure domains have
/// equal sizes, only one is checked, since their losses are equivalent.
fn assumed_losses<'a>(
    templates: &BTreeMap<CustomerName, CustomerTemplate>,
    workers: &[(&'a WorkerName, &'a WorkerShape)],
) -> Vec<(AssumedLoss, NamedShapes<'a>)> {
    let rack_shapes = |w: &WorkerShape| {
        let rack_members = workers
            .iter()
            .filter(|(_, o)| o.rack == w.rack && o.domain == w.domain);
        let mut rack_members: Vec<_> = rack_members.map(|(_, o)| (o.total, o.slots)).collect();
        rack_members.sort_unstable();
        rack_members
    };
    let mut racks = BTreeMap::new();
    let mut seen = BTreeSet::new();
    let mut losses = Vec::new();
    for (name, shape) in workers {
        let rack = racks
            .entry((&shape.domain, &shape.rack))
            .or_insert_with(|| rack_shapes(shape));
        let domain_size = workers
            .iter()
            .filter(|(_, o)| o.domain == shape.domain)
            .count();
        if seen.insert((shape.total, shape.slots, rack.clone(), domain_size)) {
            let remaining = workers.iter().filter(|(n, _)| n != name).copied();
            let lost = AssumedLoss {
                reserve: LossReserve::Worker,
                name: name.to_string(),
            };
            losses.push((lost, remaining.collect()));
        }
    }
    if templates.values().any(|t| t.reserve == LossReserve::Domain) {
        let domains: BTreeSet<_> = workers.iter().map(|(_, w)| &w.domain).collect();
        for domain in domains {
            let remaining = workers.iter().filter(|(_, w)| w.domain != *domain).copied();
            let lost = AssumedLoss {
                reserve: LossReserve::Domain,
                name: domain.to_string(),
            };
            losses.push((lost, remaining.collect()));
        }
    }
    losses
}

/// Plans all guarantees on the remaining workers, and returns the shape that is degraded first if
/// not all of them fit.
fn find_unsatisfiable(
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
