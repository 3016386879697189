//! Versions of the configuration, its checks and the lookup of queues.

use roseridge_flow::{
    FlowChange,
    FlowOutcome, //
};
use roseridge_model::{
    CustomerName,
    CustomerRule,
    DurationMs,
    FlowId,
    QueueRule,
    ServiceName,
    SiteConfig,
    SiteConfigError, //
};
use roseridge_testutils::cases;

use crate::small_site::{
    SmallSite,
    config,
    queue_key,
    queue_rule,
    step, //
};

/// Applies a configuration; returns the version in force and whether it changed.
fn configure(site: &mut SmallSite, config: SiteConfig) -> (u64, bool) {
    match site.apply(FlowChange::Configure(config)) {
        FlowOutcome::Configured { version, changed } => (version, changed),
        outcome => panic!("{outcome:?}"),
    }
}

/// Guards against a delayed request that restores an older configuration.
#[test]
fn only_a_higher_version_takes_effect() {
    let mut site = SmallSite::new(0);
    assert_eq!(configure(&mut site, config(7)), (7, true));
    assert_eq!(configure(&mut site, config(4)), (7, false));
    let current = site.flows.config.as_ref().expect("a configuration");
    assert_eq!(
        current.text, "text 7",
        "an older version must have no effect"
    );
}

#[test]
fn other_content_under_the_current_version_has_no_effect() {
    let mut site = SmallSite::new(0);
    configure(&mut site, config(7));
    let other = SiteConfig {
        text: "other".to_owned(),
        queues: Vec::new(),
        ..config(7)
    };
    assert_eq!(configure(&mut site, other), (7, false));
    let current = site.flows.config.as_ref().expect("a configuration");
    assert_eq!(current.text, "text 7");
    assert!(current.queue(&queue_key()).is_some());
}

#[test]
fn open_flows_follow_changed_rules_of_their_queue() {
    let mut site = SmallSite::new(0);
    site.submit(1, vec![step(1)]);
    let changed = QueueRule {
        rank: 0,
        ..queue_rule()
    };
    configure(
        &mut site,
        SiteConfig {
            queues: vec![changed],
            ..config(2)
        },
    );
    assert_eq!(site.flows.flows[&FlowId(1)].queue.rank, 0);
    // The flows of a removed queue keep its last known rules.
    configure(
        &mut site,
        SiteConfig {
            queues: Vec::new(),
            ..config(3)
        },
    );
    assert_eq!(site.flows.flows[&FlowId(1)].queue.rank, 0);
}

/// A change that makes a configuration invalid, and a part of the expected error message.
struct InvalidConfig {
    change: fn(&mut SiteConfig),
    expected: &'static str,
}

fn check_invalid(case: InvalidConfig) {
    let mut config = config(2);
    (case.change)(&mut config);
    let error: SiteConfigError = config.check().expect_err("an invalid configuration");
    let text = error.to_string();
    assert!(text.contains(case.expected), "{text}");
}

cases! {
    check_invalid:
    unknown_service = InvalidConfig {
        change: |config| {
            config.queues[0].service = ServiceName::parse("nobody").expect("a valid name");
        },
        expected: "unknown service nobody",
    },
    two_queues_with_one_address = InvalidConfig {
        change: |config| config.queues.push(queue_rule()),
        expected: "two queues have the address host.example/queue/",
    },
    no_time_for_answers = InvalidConfig {
        change: |config| config.queues[0].answer_limit = DurationMs(0),
        expected: "allows no time",
    },
    shared_key = InvalidConfig {
        change: |config| {
            config.customers.push(CustomerRule {
                name: CustomerName::parse("other").expect("a valid name"),
                keys: vec!["key".to_owned()],
                guaranteed: 0,
            });
        },
        expected: "customer and other share a key",
    },
    two_services_with_one_name = InvalidConfig {
        change: |config| config.services.push(config.services[0].clone()),
        expected: "two services have the name service",
    },
    two_customers_with_one_name = InvalidConfig {
        change: |config| {
            config.customers.push(CustomerRule {
                keys: Vec::new(),
                ..config.customers[0].clone()
            });
        },
        expected: "two customers have the name customer",
    },
}

#[test]
fn queue_with_the_longest_prefix_on_the_host_is_selected() {
    let mut config = config(1);
    let mut longer = queue_rule();
    longer.key.prefix = "/queue/long/".to_owned();
    let mut elsewhere = queue_rule();
    elsewhere.key.host = "other.example".to_owned();
    elsewhere.key.prefix = "/queue/long/er/".to_owned();
    config.queues.extend([longer, elsewhere]);
    let prefix = |host: &str, path: &str| {
        let queue = config.queue_for(host, path);
        queue.map(|queue| queue.key.prefix.clone())
    };
    assert_eq!(
        prefix("host.example", "/queue/long/er/1").as_deref(),
        Some("/queue/long/")
    );
    assert_eq!(
        prefix("HOST.example", "/queue/lo").as_deref(),
        Some("/queue/")
    );
    assert_eq!(prefix("host.example", "/que"), None);
    assert_eq!(prefix("nobody.example", "/queue/"), None);
}
