//! JSON with comments made plain keeps its places.

use hyssopfork_settings::plain;

#[test]
fn comments_and_trailing_commas_become_blanks_of_the_same_length() {
    let text = "{ // ä\n  \"a\": [1, /* b */ 2,],\n  \"c\": \"// kept,]\",\n}\n";

    let plain = plain::json(text).expect("well formed");

    assert_eq!(plain.len(), text.len());
    assert_eq!(plain.matches('\n').count(), text.matches('\n').count());
    let value: serde_json::Value = serde_json::from_str(&plain).expect("plain JSON");
    assert_eq!(value, serde_json::json!({ "a": [1, 2], "c": "// kept,]" }));
}

#[test]
fn broken_text_is_reported_with_its_place() {
    let faults = plain::json("{\n  \"a\": ]\n}").expect_err("broken");

    assert_eq!((faults[0].line, faults[0].column), (2, 8));
}
