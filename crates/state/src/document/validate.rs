//! Validation of intent documents.

use std::collections::HashSet;

use super::{DatabaseGroup, GroupMember, IntentDocument, NeverRepeatRule, Result};
use crate::check::ProblemList;

/// Largest deadline in milliseconds.
const DEADLINE_MAX_MS: u64 = 600_000;
/// Largest staleness in milliseconds: one day.
const STALENESS_MAX_MS: u64 = 86_400_000;

/// Checks `document` and returns all its problems as the error.
pub(super) fn validate(document: &IntentDocument) -> Result<()> {
    let mut list = ProblemList::default();
    check_deadlines(document, &mut list);
    check_limits(document, &mut list);
    check_failover(document, &mut list);
    check_locations(document, &mut list);
    check_groups(document, &mut list);
    check_customers(document, &mut list);
    check_classes(document, &mut list);
    check_never_repeat(document, &mut list);
    list.finish(())
}

fn check_deadlines(document: &IntentDocument, list: &mut ProblemList) {
    let limits = &document.deadlines;
    list.require_range(
        "deadlines.statement_ms",
        limits.statement_ms,
        10,
        DEADLINE_MAX_MS,
    );
    list.require_range(
        "deadlines.confirm_ms",
        limits.confirm_ms,
        10,
        DEADLINE_MAX_MS,
    );
    list.require_range(
        "deadlines.replica_wait_ms",
        limits.replica_wait_ms,
        0,
        10_000,
    );
    list.require_range("deadlines.drain_ms", limits.drain_ms, 0, DEADLINE_MAX_MS);
}

fn check_limits(document: &IntentDocument, list: &mut ProblemList) {
    let limits = &document.limits;
    list.require_range("limits.queue_length", limits.queue_length, 1, 100_000);
    list.require_range(
        "limits.retry_budget_percent",
        limits.retry_budget_percent,
        0,
        100,
    );
    list.require_range(
        "limits.retry_floor_per_second",
        limits.retry_floor_per_second,
        0,
        10_000,
    );
    list.require_range(
        "limits.request_retention_s",
        limits.request_retention_s,
        60,
        31_536_000,
    );
    list.require_range("limits.takeover_after_s", limits.takeover_after_s, 1, 3_600);
}

fn check_failover(document: &IntentDocument, list: &mut ProblemList) {
    let timing = &document.failover;
    list.require_range(
        "failover.probe_interval_ms",
        timing.probe_interval_ms,
        50,
        10_000,
    );
    list.require_range(
        "failover.suspect_after_ms",
        timing.suspect_after_ms,
        100,
        60_000,
    );
    list.require_range(
        "failover.control_timeout_ms",
        timing.control_timeout_ms,
        10,
        10_000,
    );
    list.require_range("failover.lease_ms", timing.lease_ms, 100, 60_000);
    if timing.suspect_after_ms < timing.probe_interval_ms.saturating_mul(2) {
        list.push(
            "failover.suspect_after_ms",
            &timing.suspect_after_ms.to_string(),
            "at least twice failover.probe_interval_ms",
        );
    }
}

fn check_locations(document: &IntentDocument, list: &mut ProblemList) {
    let regions = unique_names(
        "region",
        document.region.iter().map(|region| region.name.as_str()),
        list,
    );
    let centres = unique_names(
        "data_centre",
        document
            .data_centre
            .iter()
            .map(|centre| centre.name.as_str()),
        list,
    );
    for (index, centre) in document.data_centre.iter().enumerate() {
        let path = format!("data_centre[{index}].region");
        require_known(
            &path,
            &centre.region,
            &regions,
            "the name of a region",
            list,
        );
    }
    unique_names(
        "entry_host",
        document.entry_host.iter().map(|host| host.name.as_str()),
        list,
    );
    for (index, host) in document.entry_host.iter().enumerate() {
        let path = format!("entry_host[{index}].data_centre");
        require_known(
            &path,
            &host.data_centre,
            &centres,
            "the name of a data centre",
            list,
        );
    }
}

fn check_groups(document: &IntentDocument, list: &mut ProblemList) {
    unique_names(
        "group",
        document.group.iter().map(|group| group.name.as_str()),
        list,
    );
    let centres: HashSet<&str> = document
        .data_centre
        .iter()
        .map(|centre| centre.name.as_str())
        .collect();
    let hosts = document.entry_host.len() as u64;
    for (index, group) in document.group.iter().enumerate() {
        check_group(&format!("group[{index}]"), group, &centres, hosts, list);
    }
    check_addresses(document, list);
}

fn check_group(
    path: &str,
    group: &DatabaseGroup,
    centres: &HashSet<&str>,
    hosts: u64,
    list: &mut ProblemList,
) {
    let members = group.member.len() as u64;
    list.require_range(&format!("{path}.member (count)"), members, 1, 9);
    unique_names(
        &format!("{path}.member"),
        group.member.iter().map(|member| member.name.as_str()),
        list,
    );
    for (index, member) in group.member.iter().enumerate() {
        let path = format!("{path}.member[{index}]");
        check_member(&path, member, hosts, list);
        let path = format!("{path}.data_centre");
        require_known(
            &path,
            &member.data_centre,
            centres,
            "the name of a data centre",
            list,
        );
    }
}

fn check_member(path: &str, member: &GroupMember, hosts: u64, list: &mut ProblemList) {
    list.require_range(&format!("{path}.slots"), member.slots, 1, 1_024);
    list.require_range(
        &format!("{path}.connection_limit"),
        member.connection_limit,
        1,
        10_000,
    );
    if member.connection_limit < hosts {
        list.push(
            &format!("{path}.connection_limit"),
            &member.connection_limit.to_string(),
            &format!("at least {hosts}, one connection for each entry host"),
        );
    }
}

fn check_addresses(document: &IntentDocument, list: &mut ProblemList) {
    let mut seen = HashSet::new();
    for (group_index, group) in document.group.iter().enumerate() {
        for (index, member) in group.member.iter().enumerate() {
            for address in [member.address, member.control_address] {
                if seen.insert(address) {
                    continue;
                }
                list.push(
                    &format!("group[{group_index}].member[{index}]"),
                    &format!("address {address} for the second time"),
                    "an address of its own for each backend server",
                );
            }
        }
    }
}

fn check_customers(document: &IntentDocument, list: &mut ProblemList) {
    unique_names(
        "customer",
        document
            .customer
            .iter()
            .map(|customer| customer.name.as_str()),
        list,
    );
    let groups: HashSet<&str> = document
        .group
        .iter()
        .map(|group| group.name.as_str())
        .collect();
    let mut users = HashSet::new();
    for (index, customer) in document.customer.iter().enumerate() {
        let path = format!("customer[{index}]");
        list.require_range(&format!("{path}.weight"), customer.weight, 1, 1_000);
        for name in &customer.group {
            require_known(
                &format!("{path}.group"),
                name,
                &groups,
                "names of groups",
                list,
            );
        }
        for user in &customer.user {
            if users.insert(user.as_str()) {
                continue;
            }
            list.push(
                &format!("{path}.user"),
                &format!("{user:?} for the second time"),
                "a user of one customer only",
            );
        }
    }
}

fn check_classes(document: &IntentDocument, list: &mut ProblemList) {
    unique_names(
        "read_class",
        document.read_class.iter().map(|class| class.name.as_str()),
        list,
    );
    if document.read_class.is_empty() {
        list.push("read_class", "none", "at least one read class");
    }
    let interval = document.failover.probe_interval_ms;
    for (index, class) in document.read_class.iter().enumerate() {
        let path = format!("read_class[{index}]");
        let staleness = class.max_staleness_ms;
        list.require_range(
            &format!("{path}.max_staleness_ms"),
            staleness,
            0,
            STALENESS_MAX_MS,
        );
        list.require_range(&format!("{path}.priority"), class.priority, 0, 9);
        // Ages are known to within one probe interval. With a tolerance between
        // zero (always the newest) and two intervals, replicas would alternate
        // between qualifying and not qualifying.
        if staleness > 0 && staleness < interval.saturating_mul(2) {
            list.push(
                &format!("{path}.max_staleness_ms"),
                &staleness.to_string(),
                "0, or at least twice failover.probe_interval_ms",
            );
        }
    }
}

fn check_never_repeat(document: &IntentDocument, list: &mut ProblemList) {
    for (index, rule) in document.never_repeat.iter().enumerate() {
        let NeverRepeatRule::User(user) = rule else {
            continue;
        };
        if document.find_customer(user).is_none() {
            list.push(
                &format!("never_repeat[{index}].user"),
                &format!("{user:?}"),
                "a user of a customer",
            );
        }
    }
}

fn unique_names<'a>(
    path: &str,
    names: impl Iterator<Item = &'a str>,
    list: &mut ProblemList,
) -> HashSet<&'a str> {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        let path = format!("{path}[{index}].name");
        list.require_name(&path, name);
        if !seen.insert(name) {
            list.push(
                &path,
                &format!("{name:?} for the second time"),
                "a unique name",
            );
        }
    }
    seen
}

fn require_known(
    path: &str,
    name: &str,
    known: &HashSet<&str>,
    allowed: &str,
    list: &mut ProblemList,
) {
    if !known.contains(name) {
        list.push(path, &format!("{name:?}"), allowed);
    }
}
