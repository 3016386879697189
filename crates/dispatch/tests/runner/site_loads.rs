//! Loads like those of the first two installations: a payments company and a dispatch engine.

use roseridge_model::TaskShape;

use crate::site_simulation::{
    ClassLoad,
    SiteLoad, //
};

/// Short urgent gangs.
const URGENT: ClassLoad = ClassLoad {
    rank: 0,
    arrivals_per_second: 0.35,
    value: 4.0,
    late_value: 0.8,
    stretch_percent: 150,
    latency_target_ms: 250,
    attempt_limit: 2,
    work_ms: (2_500.0, 0.5, 8_000.0),
    width: (3.0, 0.8, 18.0),
    second_step_probability: 0.0,
    accelerator_choices: &[1, 2, 4, 8, 8],
    millicores: 3_700,
    memory_mib: 11_000,
    gang: true,
    one_rack_probability: 0.8,
    checkpointing_probability: 0.0,
    estimate_error: 0.3,
    failure_probability: 0.02,
    cancel_probability: 0.0,
};

/// Long gangs of large tasks.
const STUDY: ClassLoad = ClassLoad {
    rank: 1,
    arrivals_per_second: 0.45,
    value: 3.0,
    late_value: 0.9,
    stretch_percent: 300,
    latency_target_ms: 1_000,
    attempt_limit: 3,
    work_ms: (8_500.0, 0.3, 11_000.0),
    width: (1.5, 0.8, 9.0),
    millicores: 13_000,
    memory_mib: 38_000,
    one_rack_probability: 0.6,
    checkpointing_probability: 0.45,
    estimate_error: 0.9,
    failure_probability: 0.01,
    cancel_probability: 0.05,
    ..URGENT
};

/// Wide steps of small tasks.
const ROSTER: ClassLoad = ClassLoad {
    rank: 2,
    arrivals_per_second: 0.25,
    value: 1.0,
    late_value: 0.3,
    stretch_percent: 300,
    latency_target_ms: 3_000,
    attempt_limit: 3,
    work_ms: (6_500.0, 0.3, 11_000.0),
    width: (9.2, 0.8, 55.0),
    second_step_probability: 0.3,
    accelerator_choices: &[1],
    millicores: 2_800,
    memory_mib: 11_000,
    gang: false,
    one_rack_probability: 0.0,
    checkpointing_probability: 0.45,
    estimate_error: 0.9,
    failure_probability: 0.03,
    cancel_probability: 0.15,
};

/// Returns an installation like that of the payments company, with its arrival rates scaled by `load`.
pub(crate) fn payments(load: f64) -> SiteLoad {
    SiteLoad {
        workers: 11,
        workers_per_rack: 2,
        shape: TaskShape {
            millicores: 32_000,
            memory_mib: 131_072,
            accelerators: 8,
        },
        classes: vec![
            ClassLoad {
                arrivals_per_second: 0.6 * load,
                ..URGENT
            },
            ClassLoad {
                arrivals_per_second: 0.456 * load,
                ..STUDY
            },
            ClassLoad {
                arrivals_per_second: 0.275 * load,
                ..ROSTER
            },
        ],
        waste_price: 0.004,
    }
}

/// Returns an installation like that of the dispatch engine, with its arrival rates scaled by `load`.
pub(crate) fn dispatch(load: f64) -> SiteLoad {
    SiteLoad {
        workers: 11,
        workers_per_rack: 2,
        shape: TaskShape {
            millicores: 64_000,
            memory_mib: 131_072,
            accelerators: 8,
        },
        classes: vec![
            ClassLoad {
                arrivals_per_second: 0.3 * load,
                width: (3.4, 0.8, 21.0),
                millicores: 7_500,
                memory_mib: 15_000,
                estimate_error: 0.5,
                ..URGENT
            },
            ClassLoad {
                arrivals_per_second: 0.407 * load,
                millicores: 26_000,
                memory_mib: 68_000,
                attempt_limit: 4,
                ..STUDY
            },
            ClassLoad {
                arrivals_per_second: 0.196 * load,
                work_ms: (7_600.0, 0.3, 11_000.0),
                millicores: 5_600,
                memory_mib: 8_200,
                attempt_limit: 2,
                failure_probability: 0.005,
                ..ROSTER
            },
        ],
        waste_price: 0.0023,
    }
}
