//! Members of the group: the published view of them and their control clients.

use std::time::{Duration, Instant};

use coordination::view::{GroupView, GroupWatermark, MemberView};
use slotmap::{SecondaryMap, SlotMap};
use state::document::GroupMember;
use state::keys::MemberKey;
use state::member::MemberReport;

use super::MonitorConfig;
use crate::services::ControlFactory;

/// Wait after a failed long poll before the next one, so that a member whose
/// calls fail immediately is not polled in a tight loop.
const AWAIT_RETRY: Duration = Duration::from_millis(20);

/// Members of a group by key. A member keeps its key as long as its name and
/// control address stay the same.
#[derive(Debug)]
pub(super) struct MemberTable<F: ControlFactory> {
    factory: F,
    view: GroupView,
    links: SecondaryMap<MemberKey, MemberLink<F::Control>>,
    timeout: Duration,
}

#[derive(Debug)]
struct MemberLink<M> {
    control: M,
    /// Whether a long poll is in flight.
    awaiting: bool,
    /// Earliest instant of the next long poll after a failed one.
    await_after: Option<Instant>,
    /// Whether a probe outside of the rounds is in flight.
    extra_probe: bool,
}

impl<F: ControlFactory> MemberTable<F> {
    pub(super) fn new(factory: F, group: &str) -> Self {
        Self {
            factory,
            view: GroupView {
                name: group.to_owned(),
                members: SlotMap::with_key(),
                watermarks: Vec::new(),
            },
            links: SecondaryMap::new(),
            timeout: Duration::ZERO,
        }
    }

    pub(super) fn view(&self) -> &GroupView {
        &self.view
    }

    /// Returns the members' keys.
    pub(super) fn keys(&self) -> Vec<MemberKey> {
        self.view.members.keys().collect()
    }

    /// Returns the control client of a member.
    pub(super) fn control(&self, member: MemberKey) -> Option<F::Control> {
        self.links.get(member).map(|link| link.control.clone())
    }

    /// Applies a configuration; returns whether the set of members changed.
    pub(super) fn apply(&mut self, config: &MonitorConfig) -> bool {
        let timeout = Duration::from_millis(config.timing.control_timeout_ms);
        let members = &config.group.member;
        let is_kept = |view: &MemberView| {
            members.iter().any(|member| {
                member.name == view.name && member.control_address == view.control_address
            })
        };
        let before = self.view.members.len();
        self.view.members.retain(|_, view| is_kept(view));
        let kept = self.view.members.len();
        let view = &self.view;
        self.links.retain(|key, _| view.members.contains_key(key));
        let renew_links = timeout != self.timeout;
        self.timeout = timeout;
        for member in members {
            self.apply_member(member, config, renew_links);
        }
        before != kept || kept != self.view.members.len()
    }

    fn apply_member(&mut self, member: &GroupMember, config: &MonitorConfig, renew_link: bool) {
        let known = self
            .view
            .members
            .iter()
            .find(|(_, view)| view.name == member.name)
            .map(|(key, _)| key);
        let Some(key) = known else {
            let key = self.view.members.insert(new_view(member, config));
            self.links.insert(key, self.new_link(member));
            return;
        };
        if renew_link {
            let control = self.factory.control(member.control_address, self.timeout);
            self.links[key].control = control;
        }
        let view = &mut self.view.members[key];
        *view = MemberView {
            reachable: view.reachable,
            report: view.report,
            reported_at: view.reported_at,
            ..new_view(member, config)
        };
    }

    fn new_link(&self, member: &GroupMember) -> MemberLink<F::Control> {
        MemberLink {
            control: self.factory.control(member.control_address, self.timeout),
            awaiting: false,
            await_after: None,
            extra_probe: false,
        }
    }

    /// Records a report; returns whether the view changed.
    pub(super) fn record_report(
        &mut self,
        member: MemberKey,
        report: &MemberReport,
        sent_at: Instant,
    ) -> bool {
        let Some(view) = self.view.members.get_mut(member) else {
            return false;
        };
        view.reachable = true;
        let is_later = view.reported_at.is_none_or(|known| sent_at >= known);
        // The answer to a long poll may be newer than that to a probe which was
        // sent later. A report that shows progress is therefore accepted even if
        // its request was sent earlier.
        let is_ahead = view.report.is_none_or(|known| {
            let progress = (report.promised_term, report.log, report.applied);
            progress > (known.promised_term, known.log, known.applied)
        });
        if !is_later && !is_ahead {
            return false;
        }
        view.report = Some(*report);
        view.reported_at = view.reported_at.max(Some(sent_at));
        true
    }

    /// Records a failed call; returns whether the view changed. The failure is
    /// ignored if its call was sent before that of the newest report.
    pub(super) fn record_failure(&mut self, member: MemberKey, sent_at: Instant) -> bool {
        let Some(view) = self.view.members.get_mut(member) else {
            return false;
        };
        if view.reported_at.is_some_and(|known| known > sent_at) || !view.reachable {
            return false;
        }
        view.reachable = false;
        true
    }

    /// Replaces the watermarks of the view.
    pub(super) fn set_watermarks(&mut self, watermarks: &[GroupWatermark]) {
        self.view.watermarks.clear();
        self.view.watermarks.extend_from_slice(watermarks);
    }

    /// Claims the only long poll that a member may have in flight; returns whether
    /// it may be sent now.
    pub(super) fn claim_await(&mut self, member: MemberKey, now: Instant) -> bool {
        let Some(link) = self.links.get_mut(member) else {
            return false;
        };
        if link.awaiting || link.await_after.is_some_and(|after| now < after) {
            return false;
        }
        link.awaiting = true;
        true
    }

    /// Releases the long poll of a member after its answer or failure.
    pub(super) fn release_await(&mut self, member: MemberKey, failed: bool, now: Instant) {
        if let Some(link) = self.links.get_mut(member) {
            link.awaiting = false;
            link.await_after = failed.then(|| now + AWAIT_RETRY);
        }
    }

    /// Returns the next instant at which a long poll may follow a failed one.
    pub(super) fn next_await_retry(&self, now: Instant) -> Option<Instant> {
        self.links
            .values()
            .filter_map(|link| link.await_after)
            .filter(|after| *after > now)
            .min()
    }

    /// Claims the only extra probe that a member may have in flight; returns
    /// whether it was free.
    pub(super) fn claim_extra_probe(&mut self, member: MemberKey) -> bool {
        let Some(link) = self.links.get_mut(member) else {
            return false;
        };
        !std::mem::replace(&mut link.extra_probe, true)
    }

    /// Releases the extra probe of a member. The answer or failure of any probe
    /// does so.
    pub(super) fn release_extra_probe(&mut self, member: MemberKey) {
        if let Some(link) = self.links.get_mut(member) {
            link.extra_probe = false;
        }
    }
}

fn new_view(member: &GroupMember, config: &MonitorConfig) -> MemberView {
    let region = config.regions.get(&member.data_centre);
    MemberView {
        name: member.name.clone(),
        data_centre: member.data_centre.clone(),
        region: region.cloned().unwrap_or_default(),
        address: member.address,
        control_address: member.control_address,
        slots: member.slots,
        connection_limit: member.connection_limit,
        leaving: member.leaving || config.leaving.contains(&member.name),
        reachable: false,
        report: None,
        reported_at: None,
    }
}
