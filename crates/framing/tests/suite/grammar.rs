//! A second reading of RFC 9112, of whole messages and without state, that the readers are compared with.

/// What follows the head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rest {
    /// The answer to the request is still to come.
    AfterInterim,
    Length(u64),
    Chunks,
    UntilClose,
}

/// A head up to its empty line, and what the bytes after it are.
pub fn answer_head(bytes: &[u8], is_to_head: bool) -> Option<Rest> {
    let (first, fields) = lines(bytes)?;
    let (version, status) = status_line(&first)?;
    let values = |wanted: &str| -> Vec<String> {
        let matching = fields.iter().filter(|(name, _)| name == wanted);
        matching.map(|(_, value)| value.clone()).collect()
    };
    let (codings, lengths) = (values("transfer-encoding"), values("content-length"));
    if codings.len() + lengths.len() > 1 || values("host").len() > 1 {
        return None;
    }
    let length = match lengths.first() {
        Some(text) if !text.is_empty() && text.chars().all(|c| c.is_ascii_digit()) => {
            Some(text.parse::<u64>().ok()?)
        }
        Some(_) => return None,
        None => None,
    };
    let is_chunked = match codings.first() {
        Some(coding) if coding.to_lowercase() == "chunked" && version == "HTTP/1.1" => true,
        Some(_) => return None,
        None => false,
    };
    let connection = values("connection").join(",").to_lowercase();
    let options: Vec<&str> = connection
        .split(',')
        .map(|o| o.trim_matches([' ', '\t']))
        .collect();
    let ends = match version.as_str() {
        "HTTP/1.1" => options.contains(&"close"),
        _ => !options.contains(&"keep-alive"),
    };
    let has_body = is_chunked || length.unwrap_or(0) > 0;
    match status {
        101 => None,
        100..=199 | 204 if has_body && !is_to_head => None,
        100..=199 => Some(Rest::AfterInterim),
        204 | 304 => Some(Rest::Length(0)),
        _ if is_to_head => Some(Rest::Length(0)),
        _ if is_chunked => Some(Rest::Chunks),
        _ => match length {
            Some(length) => Some(Rest::Length(length)),
            None => ends.then_some(Rest::UntilClose),
        },
    }
}

type Fields = Vec<(String, String)>;

/// The first line, and names in lower case with values.
fn lines(bytes: &[u8]) -> Option<(String, Fields)> {
    // One character for each byte.
    let text: String = bytes.iter().map(|byte| char::from(*byte)).collect();
    let text = text.strip_suffix("\r\n\r\n")?;
    let lines: Vec<&str> = text.split("\r\n").collect();
    if lines
        .iter()
        .any(|line| line.contains(['\r', '\n']) || line.is_empty())
    {
        return None;
    }
    let (first, rest) = lines.split_first()?;
    let fields = rest.iter().map(|line| field(line));
    Some((first.to_string(), fields.collect::<Option<_>>()?))
}

fn field(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    let token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz";
    let name = name.to_ascii_lowercase();
    let is_name = !name.is_empty() && name.chars().all(|c| token.contains(c));
    let is_value = value.chars().all(is_text);
    let value = value.trim_matches([' ', '\t']).to_string();
    (is_name && is_value).then_some((name, value))
}

fn is_text(c: char) -> bool {
    c == '\t' || (' '..='~').contains(&c) || ('\u{80}'..='\u{ff}').contains(&c)
}

fn status_line(line: &str) -> Option<(String, u16)> {
    let mut parts = line.splitn(3, ' ');
    let (version, status) = (parts.next()?, parts.next()?);
    let reason = parts.next().unwrap_or_default();
    let is_version = version == "HTTP/1.0" || version == "HTTP/1.1";
    let is_status = status.len() == 3 && status.chars().all(|c| c.is_ascii_digit());
    let status: u16 = status.parse().ok().filter(|_| is_status)?;
    let is_valid = is_version && (100..600).contains(&status) && reason.chars().all(is_text);
    is_valid.then(|| (version.to_string(), status))
}
