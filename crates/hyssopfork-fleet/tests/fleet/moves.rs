//! Tests of the cost of changes of plan.

use hyssopfork_fleet::groups::moves::{self, Active, Source, Stock, Weights};
use hyssopfork_fleet::groups::plan;
use hyssopfork_wire::name;
use std::collections::BTreeMap;

fn models() -> Vec<plan::Model> {
    let model = |name: &str, size| plan::Model { name: name.into(), size, share: 0.5 };
    vec![model("large", 4), model("small", 2)]
}

fn layout(large: usize, small: usize) -> plan::Layout {
    [(("d".into(), "large".into()), large), (("d".into(), "small".into()), small)].into()
}

fn weights(last: &str, staged: &[&str]) -> Weights {
    let staged = staged.iter().map(|model| name::Model::from(*model)).collect();
    Weights { last: Some(last.into()), staged }
}

fn group(model: &str, members: Vec<Weights>) -> Active {
    Active { model: model.into(), members }
}

fn gains(
    current: &plan::Layout,
    next: &plan::Layout,
    stock: Stock,
) -> BTreeMap<name::Model, Vec<Source>> {
    moves::sources_of_gains(current, next, &models(), &[("d".into(), stock)].into())
}

/// Guards against a change of plan that counts on the engines which complete a lost group.
#[test]
fn engines_that_a_repair_needs_are_not_counted() {
    let free = vec![weights("large", &["small"]); 4];
    let whole = group("large", vec![weights("large", &[]); 4]);
    let (current, next) = (layout(2, 0), layout(2, 1));

    let intact = Stock { free: free.clone(), groups: vec![whole.clone(), whole.clone()] };
    let damaged = Stock { free, groups: vec![whole] };

    assert_eq!(gains(&current, &next, intact)[&"small".into()], [Source::Host]);
    assert_eq!(gains(&current, &next, damaged)[&"small".into()], [Source::Store]);
}

/// Guards against a group that is repaired only to be closed: the new plan has no place for it.
#[test]
fn engines_of_a_lost_group_that_the_new_plan_drops_are_counted() {
    let stock = Stock {
        free: vec![weights("large", &["small"]); 3],
        groups: vec![group("large", vec![weights("large", &[]); 4])],
    };

    let gains = gains(&layout(2, 0), &layout(1, 1), stock);

    assert_eq!(gains[&"small".into()], [Source::Host]);
}

/// Guards against one member without the second model that makes a whole change look expensive.
#[test]
fn groups_at_hand_are_told_from_those_that_load_weights() {
    let staged = weights("large", &["small"]);
    let mixed = vec![staged.clone(), staged, weights("large", &[]), weights("small", &[])];
    let bare = group("large", vec![weights("large", &[]); 4]);
    let groups = vec![bare, group("large", mixed)];
    let (current, next) = (layout(2, 1), layout(1, 3));

    let gains = gains(&current, &next, Stock { free: Vec::new(), groups });

    assert_eq!(gains[&"small".into()], [Source::Host, Source::Store]);
    let soon = moves::without_stored(&next, &gains);
    assert_eq!(plan::count_groups(&soon, &"small".into()), 2);
}
