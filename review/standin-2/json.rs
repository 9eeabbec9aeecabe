//! As much JSON as the stand-ins read.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = value(bytes, at)? else {
                            return None;
                        };
                        skip(bytes, at);
                        *at += 1;
                        fields.push((name, value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return Some(Json::Text(String::from_utf8_lossy(&text).into())),
                    b'\\' => {
                        let escaped = *bytes.get(*at)?;
                        *at += 1;
                        text.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            other => other,
                        });
                    }
                    other => text.push(other),
                }
            }
        }
        b't' => literal(at, 4, Json::Bool(true)),
        b'f' => literal(at, 5, Json::Bool(false)),
        b'n' => literal(at, 4, Json::Null),
        _ => {
            let start = *at;
            while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn literal(at: &mut usize, length: usize, value: Json) -> Option<Json> {
    *at += length;
    Some(value)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*part.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= part.len() {
                let digit = number >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
