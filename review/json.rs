//! A small JSON value with a parser and a printer.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a whole document; none if it isn't JSON.
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut parser = Parser { rest: text };
        let value = parser.value()?;
        parser.rest.trim().is_empty().then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(text) => write!(out, "{}", quote(text)),
            Json::List(list) => {
                write!(out, "[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(out, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Table(fields) => {
                write!(out, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    write!(out, "{}{}:{value}", if index > 0 { "," } else { "" }, quote(name))?;
                }
                write!(out, "}}")
            }
        }
    }
}

/// A JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            '\r' => quoted.push_str("\\r"),
            '\t' => quoted.push_str("\\t"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, token: &str) -> bool {
        self.skip();
        match self.rest.strip_prefix(token) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.rest.chars().next()? {
            '"' => self.string().map(Json::Text),
            '[' => self.list(),
            '{' => self.table(),
            't' => self.take("true").then_some(Json::Bool(true)),
            'f' => self.take("false").then_some(Json::Bool(false)),
            'n' => self.take("null").then_some(Json::Null),
            _ => self.number(),
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[");
        let mut list = Vec::new();
        if self.take("]") {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take("]") {
                return Some(Json::List(list));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take("{");
        let mut fields = Vec::new();
        if self.take("}") {
            return Some(Json::Table(fields));
        }
        loop {
            self.skip();
            let name = self.string()?;
            if !self.take(":") {
                return None;
            }
            fields.push((name, self.value()?));
            if self.take("}") {
                return Some(Json::Table(fields));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let end = self
            .rest
            .find(|c: char| !(c.is_ascii_digit() || matches!(c, '-' | '+' | '.' | 'e' | 'E')))
            .unwrap_or(self.rest.len());
        let (number, rest) = self.rest.split_at(end);
        self.rest = rest;
        number.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        let mut chars = self.rest.char_indices();
        if chars.next()?.1 != '"' {
            return None;
        }
        let mut text = String::new();
        while let Some((at, c)) = chars.next() {
            match c {
                '"' => {
                    self.rest = &self.rest[at + 1..];
                    return Some(text);
                }
                '\\' => match chars.next()?.1 {
                    'n' => text.push('\n'),
                    'r' => text.push('\r'),
                    't' => text.push('\t'),
                    'b' => text.push('\u{8}'),
                    'f' => text.push('\u{c}'),
                    'u' => {
                        let mut code = 0;
                        for _ in 0..4 {
                            code = code * 16 + chars.next()?.1.to_digit(16)?;
                        }
                        text.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                    }
                    other => text.push(other),
                },
                c => text.push(c),
            }
        }
        None
    }
}
