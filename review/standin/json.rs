//! A small JSON reader.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(text: &str) -> Result<Json, String> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        if reader.at == reader.bytes.len() { Ok(value) } else { Err(format!("extra text at {}", reader.at)) }
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> Option<&str> {
        if let Json::Text(text) = self { Some(text) } else { None }
    }

    pub fn number(&self) -> Option<f64> {
        if let Json::Number(number) = self { Some(*number) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Result<(), String> {
        if self.bytes[self.at..].starts_with(word.as_bytes()) {
            self.at += word.len();
            Ok(())
        } else {
            Err(format!("expected {word} at {}", self.at))
        }
    }

    fn value(&mut self) -> Result<Json, String> {
        self.space();
        match self.bytes.get(self.at) {
            Some(b'{') => self.object(),
            Some(b'[') => self.array(),
            Some(b'"') => self.string().map(Json::Text),
            Some(b't') => self.take("true").map(|()| Json::Bool(true)),
            Some(b'f') => self.take("false").map(|()| Json::Bool(false)),
            Some(b'n') => self.take("null").map(|()| Json::Null),
            Some(_) => self.number(),
            None => Err("the text ended".to_owned()),
        }
    }

    fn number(&mut self) -> Result<Json, String> {
        let from = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[from..self.at]).unwrap_or_default();
        text.parse().map(Json::Number).map_err(|_| format!("no value at {from}"))
    }

    fn string(&mut self) -> Result<String, String> {
        self.take("\"")?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at).ok_or("the string ended")?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).map_err(|error| error.to_string()),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at).ok_or("the string ended")?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let code = std::str::from_utf8(&self.bytes[self.at..self.at + 4]).unwrap_or("0");
                            let code = u32::from_str_radix(code, 16).unwrap_or(0);
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let character = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(character.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn array(&mut self) -> Result<Json, String> {
        self.take("[")?;
        let mut list = Vec::new();
        loop {
            self.space();
            if self.bytes.get(self.at) == Some(&b']') {
                self.at += 1;
                return Ok(Json::List(list));
            }
            if !list.is_empty() {
                self.take(",")?;
            }
            list.push(self.value()?);
        }
    }

    fn object(&mut self) -> Result<Json, String> {
        self.take("{")?;
        let mut fields = BTreeMap::new();
        loop {
            self.space();
            if self.bytes.get(self.at) == Some(&b'}') {
                self.at += 1;
                return Ok(Json::Object(fields));
            }
            if !fields.is_empty() {
                self.take(",")?;
                self.space();
            }
            let name = self.string()?;
            self.space();
            self.take(":")?;
            fields.insert(name, self.value()?);
        }
    }
}
