//! Text from outside in log lines, metric labels and on terminals.
//!
//! Keys, ids, names and error texts are chosen by other processes. [`OneLine`] holds any text to one
//! line; [`Field`] and [`Quoted`] also hold a value to its own field. Ordinary text stays as it is.

use std::fmt::{self, Display, Write};

/// Most bytes of a field's value that are written, before `CUT_MARK`.
pub const MAX_VALUE: usize = 1024;
/// Ends a text that was cut.
pub const CUT_MARK: &str = "...";
/// Most bytes of an escaped character, as `\u{10ffff}`.
const MAX_ESCAPE: usize = 10;

/// True for characters that end a line, command a terminal or change the order of a line's text.
pub fn is_unprintable(c: char) -> bool {
    c.is_control()
        || matches!(c, '\u{2028}' | '\u{2029}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}

/// Writes a text with its unprintable characters escaped as in Rust's string literals.
#[derive(Debug, Clone, Copy)]
pub struct OneLine<T>(pub T);

impl<T: Display> Display for OneLine<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(Escaping(f), "{}", self.0)
    }
}

struct Escaping<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl Write for Escaping<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let mut rest = text;
        while let Some((at, c)) = rest.char_indices().find(|(_, c)| is_unprintable(*c)) {
            write!(self.0, "{}{}", &rest[..at], c.escape_default())?;
            rest = &rest[at + c.len_utf8()..];
        }
        self.0.write_str(rest)
    }
}

/// Writes a value of a field: as it is when it is one plain token, quoted otherwise.
#[derive(Debug, Clone, Copy)]
pub struct Field<T>(pub T);

impl<T: Display> Display for Field<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut plain = PlainToken { left: MAX_VALUE };
        match write!(plain, "{}", self.0) {
            Ok(()) => self.0.fmt(f),
            Err(_) => Quoted(&self.0).fmt(f),
        }
    }
}

/// Accepts the text of one plain token, and fails on any other.
struct PlainToken {
    /// Bytes that may still be written.
    left: usize,
}

impl Write for PlainToken {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let is_odd =
            |c: char| is_unprintable(c) || c.is_whitespace() || matches!(c, '"' | '\\' | '=');
        self.left = self.left.checked_sub(text.len()).ok_or(fmt::Error)?;
        match text.contains(is_odd) {
            true => Err(fmt::Error),
            false => Ok(()),
        }
    }
}

/// Writes a text in quotes, with quotes, backslashes and unprintable characters escaped, and cut
/// after [`MAX_VALUE`] bytes.
#[derive(Debug, Clone, Copy)]
pub struct Quoted<T>(pub T);

impl<T: Display> Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('"')?;
        let mut quoting = Quoting {
            out: f,
            left: Some(MAX_VALUE),
        };
        write!(quoting, "{}", self.0)?;
        f.write_char('"')
    }
}

struct Quoting<'a, 'b> {
    out: &'a mut fmt::Formatter<'b>,
    /// Bytes that may still be written; `None` once the text was cut.
    left: Option<usize>,
}

impl Quoting<'_, '_> {
    fn write_whole(&mut self, left: usize, text: impl Display, len: usize) -> fmt::Result {
        self.left = left.checked_sub(len);
        match self.left {
            Some(_) => write!(self.out, "{text}"),
            None => self.out.write_str(CUT_MARK),
        }
    }
}

impl Write for Quoting<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for c in text.chars() {
            let Some(left) = self.left else {
                return Ok(());
            };
            if is_unprintable(c) || matches!(c, '"' | '\\') {
                let escaped = c.escape_default();
                let len = escaped.len();
                self.write_whole(left, escaped, len)?;
            } else {
                self.write_whole(left, c, c.len_utf8())?;
            }
        }
        Ok(())
    }
}

/// The longest beginning of `text` of at most `max` bytes that ends inside no character and inside
/// no escape.
pub fn cut(text: &str, max: usize) -> &str {
    let mut end = 0;
    while let Some(len) = unit_len(&text[end..]) {
        if end + len > max {
            break;
        }
        end += len;
    }
    &text[..end]
}

/// Bytes of the first character or escape of `text`.
fn unit_len(text: &str) -> Option<usize> {
    let mut chars = text.chars();
    let first = chars.next()?.len_utf8();
    if !text.starts_with('\\') {
        return Some(first);
    }
    let escaped = chars.next().map_or(0, char::len_utf8);
    let code = text.strip_prefix("\\u{").and_then(|code| code.find('}'));
    let code_len = code.map(|at| "\\u{}".len() + at);
    Some(
        code_len
            .filter(|len| *len <= MAX_ESCAPE)
            .unwrap_or(first + escaped),
    )
}
