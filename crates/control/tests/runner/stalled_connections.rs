//! Connections that go silent for good while new ones work.

use roseridge_wire::ControlCall;

use crate::control_group::with_group;

/// Every open connection goes silent at once: the log goes on over new ones.
#[test]
fn log_goes_on_over_new_connections() {
    with_group(async |group| {
        group.wait_until_ready().await;
        let before: Vec<_> = group.proxies.values().map(|p| p.opened()).collect();
        group.proxies.values().for_each(|p| p.stall());
        let change = group.next_template_change("after-the-silence").await;
        group
            .call_until_ok(&ControlCall::ChangeTemplate(change))
            .await;
        let after: Vec<_> = group.proxies.values().map(|p| p.opened()).collect();
        let renewed = before.iter().zip(&after).filter(|(b, a)| a > b).count();
        assert!(
            renewed >= 2,
            "connections before {before:?} and after {after:?}"
        );
    });
}
