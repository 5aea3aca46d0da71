//! Conversion of JSON with comments to JSON preserves positions.

use hyssopfork_settings::jsonc;

#[test]
fn comments_and_trailing_commas_become_spaces_of_the_same_length() {
    let text = "{ // ä\n  \"a\": [1, /* b */ 2,],\n  \"c\": \"// kept,]\",\n}\n";

    let json = jsonc::to_json(text).expect("well formed");

    assert_eq!(json.len(), text.len());
    assert_eq!(json.matches('\n').count(), text.matches('\n').count());
    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON without comments");
    assert_eq!(value, serde_json::json!({ "a": [1, 2], "c": "// kept,]" }));
}

#[test]
fn syntax_error_is_reported_with_line_and_column() {
    let faults = jsonc::to_json("{\n  \"a\": ]\n}").expect_err("a syntax error");

    assert_eq!((faults[0].line, faults[0].column), (2, 8));
}
