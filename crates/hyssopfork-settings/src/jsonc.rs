//! Conversion of JSON with comments (JSONC) to JSON.
//!
//! Byte offsets and line breaks are preserved, so that the lines and columns that a JSON parser
//! reports are those of the original file.

use crate::fault;
use jsonc_parser::common::Ranged;
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, ast, common};

/// Extensions to JSON that are accepted: comments and trailing commas.
pub(crate) fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Converts `text` to JSON of the same length by replacing comments and trailing commas with spaces.
pub fn to_json(text: &str) -> Result<String, Vec<fault::Fault>> {
    let collect_options =
        CollectOptions { comments: CommentCollectionStrategy::Separate, tokens: true };
    let result = match jsonc_parser::parse_to_ast(text, &collect_options, &parse_options()) {
        Ok(result) => result,
        Err(error) => return Err(syntax_fault(text, error.range(), error.kind())),
    };
    let mut json = text.as_bytes().to_vec();
    for comments in result.comments.iter().flat_map(|comments| comments.values()) {
        comments
            .iter()
            .for_each(|comment| overwrite_with_spaces(&mut json, comment_range(comment)));
    }
    let tokens = result.tokens.unwrap_or_default();
    for pair in tokens.windows(2) {
        let closes = matches!(pair[1].token, Token::CloseBrace | Token::CloseBracket);
        if closes && matches!(pair[0].token, Token::Comma) {
            overwrite_with_spaces(&mut json, pair[0].range);
        }
    }
    Ok(String::from_utf8(json)
        .expect("comments are overwritten whole, so no UTF-8 sequence is split"))
}

fn syntax_fault(
    text: &str,
    range: common::Range,
    kind: &jsonc_parser::errors::ParseErrorKind,
) -> Vec<fault::Fault> {
    let collector = fault::Collector::new(text);
    collector.add(range.start, format!("not JSON with comments: {kind}"));
    collector.into_faults()
}

fn comment_range(comment: &ast::Comment<'_>) -> common::Range {
    match comment {
        ast::Comment::Line(line) => line.range(),
        ast::Comment::Block(block) => block.range(),
    }
}

/// Overwrites a range with spaces; line breaks are kept to preserve the line numbers.
fn overwrite_with_spaces(json: &mut [u8], range: common::Range) {
    let bytes = &mut json[range.start..range.end];
    bytes.iter_mut().filter(|byte| **byte != b'\n').for_each(|byte| *byte = b' ');
}
