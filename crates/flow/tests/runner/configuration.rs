//! The operator's whole configuration.

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

fn set(site: &mut SmallSite, config: SiteConfig) -> (u64, bool) {
    match site.apply(FlowChange::Configure(config)) {
        FlowOutcome::Configured { version, changed } => (version, changed),
        outcome => panic!("{outcome:?}"),
    }
}

#[test]
fn higher_version_takes_effect() {
    let mut site = SmallSite::new(0);
    assert_eq!(set(&mut site, config(7)), (7, true));
    assert_eq!(set(&mut site, config(4)), (7, false));
    let held = site.flows.config.as_ref().expect("a configuration");
    assert_eq!(held.text, "text 7", "an older one changed nothing");
}

#[test]
fn other_content_under_the_version_held_is_not_obeyed() {
    let mut site = SmallSite::new(0);
    set(&mut site, config(7));
    let other = SiteConfig {
        text: "other".to_owned(),
        queues: Vec::new(),
        ..config(7)
    };
    assert_eq!(set(&mut site, other), (7, false));
    let held = site.flows.config.as_ref().expect("a configuration");
    assert_eq!(held.text, "text 7");
    assert!(held.queue(&queue_key()).is_some());
}

#[test]
fn open_flows_follow_the_rules_of_their_queue() {
    let mut site = SmallSite::new(0);
    site.submit(1, vec![step(1)]);
    let changed = QueueRule {
        rank: 0,
        ..queue_rule()
    };
    set(
        &mut site,
        SiteConfig {
            queues: vec![changed],
            ..config(2)
        },
    );
    assert_eq!(site.flows.flows[&FlowId(1)].queue.rank, 0);
    // A queue that is dropped leaves its flows with the rules that were known last.
    set(
        &mut site,
        SiteConfig {
            queues: Vec::new(),
            ..config(3)
        },
    );
    assert_eq!(site.flows.flows[&FlowId(1)].queue.rank, 0);
}

/// A faulty configuration with the part of the message that names the fault.
struct FaultyConfig {
    change: fn(&mut SiteConfig),
    expected: &'static str,
}

fn check_refused(faulty: FaultyConfig) {
    let mut config = config(2);
    (faulty.change)(&mut config);
    let error: SiteConfigError = config.check().expect_err("a faulty configuration");
    let text = error.to_string();
    assert!(text.contains(faulty.expected), "{text}");
}

cases! {
    check_refused:
    unknown_service = FaultyConfig {
        change: |config| {
            config.queues[0].service = ServiceName::parse("nobody").expect("a name");
        },
        expected: "unknown service nobody",
    },
    two_queues_at_one_place = FaultyConfig {
        change: |config| config.queues.push(queue_rule()),
        expected: "two queues stand at host.example/queue/",
    },
    no_time_for_an_answer = FaultyConfig {
        change: |config| config.queues[0].answer_limit = DurationMs(0),
        expected: "allows no time",
    },
    shared_key = FaultyConfig {
        change: |config| {
            config.customers.push(CustomerRule {
                name: CustomerName::parse("other").expect("a name"),
                keys: vec!["key".to_owned()],
                guaranteed: 0,
            });
        },
        expected: "customer and other share a key",
    },
    two_services_of_one_name = FaultyConfig {
        change: |config| config.services.push(config.services[0].clone()),
        expected: "two services have the name service",
    },
    two_customers_of_one_name = FaultyConfig {
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
fn longest_prefix_wins_under_its_host() {
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
