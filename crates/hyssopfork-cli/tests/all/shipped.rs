//! The load plans of the shipped examples match their declarations.

use hyssopfork_cli::{declaration, load::plan};
use std::path::{Path, PathBuf};

fn file(example: &str, name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(example).join(name)
}

#[test]
fn plans_agree_with_the_declared_routes_and_teams() {
    for example in ["levy-reporting", "sports-day"] {
        let declared = declaration::read(&file(example, "fleet.json")).expect("well formed");

        let plan: plan::Plan =
            declaration::read_json(&file(example, "load.json")).expect("well formed");

        assert_eq!(plan.validate(), [""; 0]);
        assert_eq!(plan.routes.len(), declared.routes.len());
        assert_eq!(plan.teams.len(), declared.teams.len());
        assert!(plan.teams.iter().all(|team| declared.teams.contains_key(&team.team)));
        for route in &plan.routes {
            let known = &declared.routes[&route.route];
            assert!(route.path.starts_with(&known.prefix), "{}", route.path);
            assert_eq!(route.repeatable, known.repeatable, "{}", route.route);
            assert_eq!(route.class, known.class, "{}", route.route);
        }
    }
}
