//! What a change of a template would come to, in lines for the operators' page.

use roseridge_ledger::TemplateEffect;
use roseridge_model::{
    ConfigRevision,
    JobId, //
};
use serde::Serialize;

/// How grave a line is; the page has a colour for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LineKind {
    /// Nothing speaks against it.
    Good,
    /// It deserves a look.
    Warn,
    /// The change would be refused or harm someone.
    Bad,
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct CheckLine {
    kind: LineKind,
    text: String,
}

/// Everything that was found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct TemplateCheck<'a> {
    /// The revision that the check was made against.
    revision: ConfigRevision,
    lines: Vec<CheckLine>,
    effect: &'a TemplateEffect,
}

fn line(kind: LineKind, text: String) -> CheckLine {
    CheckLine { kind, text }
}

/// Puts an effect into words.
pub(crate) fn template_check(effect: &TemplateEffect) -> TemplateCheck<'_> {
    let mut lines = vec![match &effect.refused {
        Some(reason) => line(LineKind::Bad, format!("it would be refused: {reason}")),
        None => line(
            LineKind::Good,
            format!("revision {} is still in force", effect.revision),
        ),
    }];
    let all = effect.satisfied as usize + effect.degraded.len();
    lines.push(match effect.degraded.is_empty() {
        true => line(LineKind::Good, format!("all {all} guarantees hold")),
        false => line(
            LineKind::Bad,
            format!("{} of {all} guarantees hold", effect.satisfied),
        ),
    });
    lines.extend(effect.degraded.iter().map(|lost| {
        let shape = lost.shape + 1;
        let text = format!("shape {shape} of {} could not be kept now", lost.customer);
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
