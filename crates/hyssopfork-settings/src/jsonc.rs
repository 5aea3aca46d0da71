//! JSON with comments made plain, with every byte in its place, so that a parser of plain JSON
//! reports lines and columns of the file as it was written.

use crate::fault;
use jsonc_parser::common::Ranged;
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, ast, common};

/// What the files may hold beyond JSON: comments and trailing commas.
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

/// `text` as plain JSON of the same length; comments and trailing commas become blanks.
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
    Ok(String::from_utf8(json).expect("whole comments were blanked"))
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

/// Blanks bytes; line ends stay, so that lines keep their numbers.
fn overwrite_with_spaces(json: &mut [u8], range: common::Range) {
    let bytes = &mut json[range.start..range.end];
    bytes.iter_mut().filter(|byte| **byte != b'\n').for_each(|byte| *byte = b' ');
}
