//! Describes the effect of a change of a template in lines of text for the operators' page.

use roseridge_ledger::TemplateEffect;
use roseridge_model::{
    ConfigRevision,
    JobId, //
};
use serde::Serialize;

/// The severity of a line. The page displays each severity in its own colour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LineKind {
    /// No objection to the change.
    Good,
    /// An effect that the operator should consider.
    Warn,
    /// The change would be refused or violate a guarantee.
    Bad,
}

/// One line of a check result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct CheckLine {
    kind: LineKind,
    text: String,
}

/// The result of checking a change of a template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct TemplateCheck<'a> {
    /// The revision of the configuration that the change was checked against.
    revision: ConfigRevision,
    lines: Vec<CheckLine>,
    effect: &'a TemplateEffect,
}

fn line(kind: LineKind, text: String) -> CheckLine {
    CheckLine { kind, text }
}

/// Describes the effect of a change.
pub(crate) fn template_check(effect: &TemplateEffect) -> TemplateCheck<'_> {
    let mut lines = vec![match &effect.refused {
        Some(reason) => line(LineKind::Bad, format!("it would be refused: {reason}")),
        None => line(
            LineKind::Good,
            format!("revision {} is still in force", effect.revision),
        ),
    }];
    let total = effect.satisfied as usize + effect.degraded.len();
    lines.push(match effect.degraded.is_empty() {
        true => line(LineKind::Good, format!("all {total} guarantees hold")),
        false => line(
            LineKind::Bad,
            format!("{} of {total} guarantees hold", effect.satisfied),
        ),
    });
    lines.extend(effect.degraded.iter().map(|shortfall| {
        let shape = shortfall.shape + 1;
        let text = format!(
            "shape {shape} of {} could not be kept now",
            shortfall.customer
        );
        line(LineKind::Bad, text)
    }));
    lines.push(match effect.stopped.is_empty() {
        true => line(LineKind::Good, "no job is stopped at once".to_owned()),
        false => line(
            LineKind::Warn,
            format!("stopped at once: jobs {}", job_list(&effect.stopped)),
        ),
    });
    if !effect.preemptible.is_empty() {
        let text = format!(
            "using the guarantee may stop jobs {}",
            job_list(&effect.preemptible)
        );
        lines.push(line(LineKind::Warn, text));
    }
    TemplateCheck {
        revision: effect.revision,
        lines,
        effect,
    }
}

fn job_list(jobs: &[JobId]) -> String {
    let jobs: Vec<_> = jobs.iter().map(ToString::to_string).collect();
    jobs.join(", ")
}
