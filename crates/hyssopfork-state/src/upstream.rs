//! Upstreams that may take a pool's work, according to a view.

use hyssopfork_wire::{change, configuration, fleet, name, number};
use std::net;

/// An upstream that may take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream<'a> {
    /// Instance that receives the requests: a group's first member, or the service's own.
    pub instance: &'a name::Instance,
    /// Address at which its agent accepts attempts.
    pub traffic: net::SocketAddr,
    /// Boot number of its agent's process.
    pub boot: u64,
    /// Incarnation of its agent.
    pub incarnation: number::Incarnation,
    /// The group and the fencing number of its placement; `None` for a plain service.
    pub group: Option<(&'a name::Group, number::Fence)>,
    /// Capabilities of the back end.
    pub profile: &'a fleet::Profile,
    /// Availability zone.
    pub zone: &'a name::Zone,
}

/// Why an instance may take no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ineligibility {
    /// The instance has not announced itself.
    Unrecorded,
    /// Its pool is not declared.
    PoolUndeclared,
    /// Its back end is not of the pool's kind.
    KindDiffers,
    /// Its zone is not declared.
    ZoneUndeclared,
    /// Its zone has been taken out.
    ZoneOut,
    /// Its pool excludes its zone.
    ZoneNotAllowed,
    /// It was drained by operators.
    Drained,
    /// Its agent is leaving.
    Leaving,
    /// Its agent missed its renewals. Checked last: an agent that holds a lease is present again as
    /// soon as its next renewal is recorded.
    Absent,
}

/// Upstreams that may take the pool's work: for an engine pool the first member of each placed
/// group whose members may all take work, for a service pool each member that may.
pub fn of_pool<'a>(view: &'a change::View, pool: &name::Pool) -> Vec<Upstream<'a>> {
    match view.configuration.pools.get(pool).map(|declared| declared.kind) {
        Some(configuration::Kind::Engine) => group_upstreams(view, pool),
        Some(configuration::Kind::Service) => service_upstreams(view, pool),
        None => Vec::new(),
    }
}

/// Why `instance` may take no new work, its group aside; `None` when it may.
pub fn ineligibility(view: &change::View, instance: &name::Instance) -> Option<Ineligibility> {
    match view.members.get(instance) {
        None => Some(Ineligibility::Unrecorded),
        Some(member) => declared_ineligibility(&view.configuration, &member.announcement)
            .or_else(|| member.leaving.then_some(Ineligibility::Leaving))
            .or_else(|| (!member.present).then_some(Ineligibility::Absent)),
    }
}

/// Why the configuration alone excludes an instance from work; `None` when it does not.
pub fn declared_ineligibility(
    configuration: &configuration::Configuration,
    announcement: &fleet::Announcement,
) -> Option<Ineligibility> {
    let Some(pool) = configuration.pools.get(&announcement.pool) else {
        return Some(Ineligibility::PoolUndeclared);
    };
    if pool.kind != announcement.profile.kind {
        return Some(Ineligibility::KindDiffers);
    }
    let Some(zone) = configuration.zones.get(&announcement.zone) else {
        return Some(Ineligibility::ZoneUndeclared);
    };
    if zone.out {
        return Some(Ineligibility::ZoneOut);
    }
    if !pool.zones.is_empty() && !pool.zones.contains(&announcement.zone) {
        return Some(Ineligibility::ZoneNotAllowed);
    }
    configuration.drained.contains(&announcement.instance).then_some(Ineligibility::Drained)
}

/// The placement that contains `instance`, with its group and the instance's rank, starting at 0.
pub fn placement_of<'a>(
    view: &'a change::View,
    instance: &name::Instance,
) -> Option<(&'a name::Group, &'a fleet::Placement, usize)> {
    view.placements.iter().find_map(|(group, placement)| {
        let rank = placement.members.iter().position(|member| member == instance)?;
        Some((group, placement, rank))
    })
}

fn group_upstreams<'a>(view: &'a change::View, pool: &name::Pool) -> Vec<Upstream<'a>> {
    let of_pool = |group: &name::Group| {
        view.configuration.groups.get(group).is_some_and(|declared| declared.pool == *pool)
    };
    view.placements
        .iter()
        .filter(|(group, _)| of_pool(group))
        .filter(|(_, placement)| {
            placement.members.iter().all(|member| ineligibility(view, member).is_none())
        })
        .filter_map(|(group, placement)| {
            let first = view.members.get(placement.members.first()?)?;
            Some(upstream_of(first, Some((group, placement.fence))))
        })
        .collect()
}

fn service_upstreams<'a>(view: &'a change::View, pool: &name::Pool) -> Vec<Upstream<'a>> {
    view.members
        .values()
        .filter(|member| member.announcement.pool == *pool)
        .filter(|member| ineligibility(view, &member.announcement.instance).is_none())
        .map(|member| upstream_of(member, None))
        .collect()
}

fn upstream_of<'a>(
    member: &'a fleet::Member,
    group: Option<(&'a name::Group, number::Fence)>,
) -> Upstream<'a> {
    let announcement = &member.announcement;
    Upstream {
        instance: &announcement.instance,
        traffic: announcement.traffic,
        boot: announcement.boot,
        incarnation: member.incarnation,
        group,
        profile: &announcement.profile,
        zone: &announcement.zone,
    }
}
