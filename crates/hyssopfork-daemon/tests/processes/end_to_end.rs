//! End to end with separate processes: declaration, announcement, group formation, responses.

use crate::support::{client, fleet, operator};
use hyssopfork_wire::{number, patch};

#[actix_rt::test]
async fn a_request_is_served_from_end_to_end() {
    let fleet = fleet::Fleet::start(fleet::Plan::default());
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));

    let outcome = operator.submit("declare", 0, vec![declare]).await;
    operator.wait_for("a serving group", |status| operator::is_serving(status, "group-1")).await;
    operator
        .wait_for("all instances present", |status| operator::all_hold_current_view(status, 7))
        .await;
    let streamed = client::post(
        fleet.entry_addresses[0],
        "/v1/completions",
        None,
        &client::completion_body(8),
    )
    .await;
    let lodged =
        client::post(fleet.entry_addresses[1], "/lodge", Some("key-1"), "{\"reference\":\"a\"}")
            .await;
    let again =
        client::post(fleet.entry_addresses[0], "/lodge", Some("key-1"), "{\"reference\":\"a\"}")
            .await;

    assert_eq!(outcome, patch::Outcome::Accepted(number::Configuration(1)));
    assert!(streamed.is_complete_success(), "{streamed:?}");
    assert!(streamed.text().trim_end().ends_with("data: [DONE]"), "{streamed:?}");
    assert!(lodged.is_complete_success(), "{lodged:?}");
    assert_eq!(again.body, lodged.body);
    let ran: u64 = fleet
        .services
        .iter()
        .flat_map(|upstream| upstream.fake.runs_by_reference())
        .map(|(_, count)| count)
        .sum();
    assert_eq!(ran, 1);
}
