//! Fixtures: valid values for tests.

use hyssopfork_wire::{attempt, change, configuration, fleet, name, number, patch};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Availability zones of [`configuration`].
pub const ZONES: [&str; 3] = ["ikeja", "lekki", "apapa"];
/// Pool of engines of [`configuration`].
pub const ENGINE_POOL: &str = "hyssop-pool";
/// Pool of plain services of [`configuration`].
pub const SERVICE_POOL: &str = "levy-desk";
/// Bearer token of the only team of [`configuration`].
pub const TOKEN: &str = "demo-token";
/// SHA-256 of [`TOKEN`].
pub const TOKEN_SHA256: &str = "7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c";

/// Returns the configuration of a small fleet: three zones, a pool of engines with one group of two,
/// and a pool of services.
pub fn configuration() -> configuration::Configuration {
    configuration::Configuration {
        number: number::Configuration(1),
        zones: ZONES.iter().map(|&zone| (zone.into(), configuration::Zone::default())).collect(),
        pools: BTreeMap::from([
            (ENGINE_POOL.into(), pool(configuration::Kind::Engine)),
            (SERVICE_POOL.into(), pool(configuration::Kind::Service)),
        ]),
        groups: BTreeMap::from([(name::Group::from("summaries-1"), group())]),
        routes: BTreeMap::from([
            ("completions".into(), route("/v1/completions", ENGINE_POOL, true)),
            ("lodgements".into(), route("/lodgements", SERVICE_POOL, false)),
        ]),
        teams: BTreeMap::from([(name::Team::from("tariff-desk"), team())]),
        drained: BTreeSet::new(),
    }
}

/// Returns a pool of `kind` in every zone.
pub fn pool(kind: configuration::Kind) -> configuration::Pool {
    configuration::Pool { kind, zones: BTreeSet::new() }
}

/// Returns a group of two engines.
pub fn group() -> configuration::Group {
    let model = name::Model::from("summary-70b");
    configuration::Group { pool: ENGINE_POOL.into(), model, size: 2, priority: 0 }
}

/// Returns a route of interactive requests with a deadline of 2 s.
pub fn route(prefix: &str, pool: &str, repeatable: bool) -> configuration::Route {
    configuration::Route {
        prefix: prefix.into(),
        pool: pool.into(),
        class: configuration::Class::Interactive,
        repeatable,
        deadline_ms: 2_000,
    }
}

/// Returns a team whose only token is [`TOKEN`].
pub fn team() -> configuration::Team {
    let token_sha256 = BTreeSet::from([TOKEN_SHA256.to_owned()]);
    configuration::Team { token_sha256, weight: 1 }
}

/// Returns the profile of an engine with all capabilities.
pub fn engine_profile() -> fleet::Profile {
    fleet::Profile {
        kind: configuration::Kind::Engine,
        checks_fence: true,
        resumes: true,
        cancels: true,
        accelerators: 4,
        concurrency: 8,
    }
}

/// Returns the profile of a plain service.
pub fn service_profile() -> fleet::Profile {
    fleet::Profile {
        kind: configuration::Kind::Service,
        checks_fence: false,
        resumes: false,
        cancels: false,
        accelerators: 0,
        concurrency: 32,
    }
}

/// Returns the announcement of an engine; `index` determines its name, ports and boot number.
pub fn announcement(zone: &str, domain: &str, index: u16) -> fleet::Announcement {
    fleet::Announcement {
        instance: name::Instance::new(format!("runner-{index}")),
        zone: zone.into(),
        domain: domain.into(),
        pool: ENGINE_POOL.into(),
        traffic: loopback(20_000 + index),
        peer: loopback(30_000 + index),
        profile: engine_profile(),
        boot: u64::from(index) + 1,
    }
}

/// Returns a present member with this announcement.
pub fn member(announcement: fleet::Announcement) -> fleet::Member {
    let incarnation = number::Incarnation(1);
    fleet::Member { announcement, incarnation, present: true, leaving: false }
}

/// Returns a view of [`configuration`] with `members` and without placements.
pub fn view(members: impl IntoIterator<Item = fleet::Member>) -> change::View {
    let members_by_name =
        members.into_iter().map(|member| (member.announcement.instance.clone(), member));
    change::View {
        version: number::Version(1),
        configuration: configuration(),
        members: members_by_name.collect(),
        placements: BTreeMap::new(),
    }
}

/// Returns a patch of one operation.
pub fn patch(identifier: &str, base: u64, operation: patch::Operation) -> patch::Patch {
    patch::Patch {
        identifier: patch::Identifier(identifier.into()),
        base: number::Configuration(base),
        author: "ada".into(),
        operations: vec![operation],
    }
}

/// Returns an offer of a completion request to the agent of `boot`.
pub fn offer(count: u64, boot: u64, group: Option<(name::Group, number::Fence)>) -> attempt::Offer {
    attempt::Offer {
        attempt: attempt::Identifier { boot: 1, count },
        boot,
        first: true,
        version: number::Version(1),
        group,
        team: "tariff-desk".into(),
        class: configuration::Class::Interactive,
        cost: 16,
        deadline: Duration::from_secs(2),
        resume_from: 0,
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: vec![("content-type".into(), "application/json".into())],
    }
}

/// Returns the loopback address with `port`.
pub fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
}
