//! Loads like those of the two early users.

use roseridge_model::TaskShape;

use crate::replay_world::{
    ClassLoad,
    SiteLoad, //
};

const URGENT: ClassLoad = ClassLoad {
    rank: 0,
    per_second: 0.35,
    worth: 4.0,
    late_worth: 0.8,
    stretch_percent: 150,
    target_ms: 250,
    attempts: 2,
    work_ms: (2_500.0, 0.5, 8_000.0),
    width: (3.0, 0.8, 18.0),
    second_step: 0.0,
    accelerators: &[1, 2, 4, 8, 8],
    millicores: 3_700,
    memory_mib: 11_000,
    gang: true,
    one_rack: 0.8,
    checkpointing: 0.0,
    estimate_off: 0.3,
    fails: 0.02,
    cancelled: 0.0,
};

const STUDY: ClassLoad = ClassLoad {
    rank: 1,
    per_second: 0.45,
    worth: 3.0,
    late_worth: 0.9,
    stretch_percent: 300,
    target_ms: 1_000,
    attempts: 3,
    work_ms: (8_500.0, 0.3, 11_000.0),
    width: (1.5, 0.8, 9.0),
    millicores: 13_000,
    memory_mib: 38_000,
    one_rack: 0.6,
    checkpointing: 0.45,
    estimate_off: 0.9,
    fails: 0.01,
    cancelled: 0.05,
    ..URGENT
};

const ROSTER: ClassLoad = ClassLoad {
    rank: 2,
    per_second: 0.25,
    worth: 1.0,
    late_worth: 0.3,
    stretch_percent: 300,
    target_ms: 3_000,
    attempts: 3,
    work_ms: (6_500.0, 0.3, 11_000.0),
    width: (9.2, 0.8, 55.0),
    second_step: 0.3,
    accelerators: &[1],
    millicores: 2_800,
    memory_mib: 11_000,
    gang: false,
    one_rack: 0.0,
    checkpointing: 0.45,
    estimate_off: 0.9,
    fails: 0.03,
    cancelled: 0.15,
};

/// An installation like that of the payments house, with its load times a factor.
pub(crate) fn payments(load: f64) -> SiteLoad {
    SiteLoad {
        workers: 11,
        per_rack: 2,
        shape: TaskShape {
            millicores: 32_000,
            memory_mib: 131_072,
            accelerators: 8,
        },
        classes: vec![
            ClassLoad {
                per_second: 0.6 * load,
                ..URGENT
            },
            ClassLoad {
                per_second: 0.456 * load,
                ..STUDY
            },
            ClassLoad {
                per_second: 0.275 * load,
                ..ROSTER
            },
        ],
        waste_price: 0.004,
    }
}

/// An installation like that of the dispatch engine, with its load times a factor.
pub(crate) fn dispatch(load: f64) -> SiteLoad {
    SiteLoad {
        workers: 11,
        per_rack: 2,
        shape: TaskShape {
            millicores: 64_000,
            memory_mib: 131_072,
            accelerators: 8,
        },
        classes: vec![
            ClassLoad {
                per_second: 0.3 * load,
                width: (3.4, 0.8, 21.0),
                millicores: 7_500,
                memory_mib: 15_000,
                estimate_off: 0.5,
                ..URGENT
            },
            ClassLoad {
                per_second: 0.407 * load,
                millicores: 26_000,
                memory_mib: 68_000,
                attempts: 4,
                ..STUDY
            },
            ClassLoad {
                per_second: 0.196 * load,
                work_ms: (7_600.0, 0.3, 11_000.0),
                millicores: 5_600,
                memory_mib: 8_200,
                attempts: 2,
                fails: 0.005,
                ..ROSTER
            },
        ],
        waste_price: 0.0023,
    }
}
