//! A streamed answer, parsed event by event.

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::Value;

/// A streamed answer, parsed event by event.
#[derive(Debug)]
pub struct TokenStream {
    body: Incoming,
    unparsed: String,
    tokens: Vec<Value>,
    end: Option<Value>,
}

impl TokenStream {
    /// Reads the events of a response.
    pub fn new(response: Response<Incoming>) -> Self {
        Self {
            body: response.into_body(),
            unparsed: String::new(),
            tokens: Vec::new(),
            end: None,
        }
    }

    /// Reads until at least `count` tokens have arrived or the stream has ended.
    pub async fn read_tokens(&mut self, count: usize) {
        while self.tokens.len() < count && self.read_more().await {}
    }

    /// Reads to the end; returns the `end` event, or `None` if the stream broke off before it.
    pub async fn read_to_end(&mut self) -> Option<&Value> {
        while self.read_more().await {}
        self.end.as_ref()
    }

    /// Numbers of the tokens, in the order of arrival.
    pub fn token_numbers(&self) -> Vec<u64> {
        let numbers = self.tokens.iter().map(|token| token["token"].as_u64());
        numbers.map(|number| number.expect("a number")).collect()
    }

    /// Texts of the tokens, joined.
    pub fn text(&self) -> String {
        let texts = self.tokens.iter().map(|token| token["text"].as_str());
        texts.map(|text| text.expect("a text")).collect()
    }

    /// Reads the next frame; false once the stream has ended.
    async fn read_more(&mut self) -> bool {
        let Some(Ok(frame)) = self.body.frame().await else {
            return false;
        };
        if let Some(data) = frame.data_ref() {
            let text = std::str::from_utf8(data).expect("events in UTF-8");
            self.unparsed.push_str(text);
            self.parse_events();
        }
        true
    }

    fn parse_events(&mut self) {
        while let Some((event, rest)) = self.unparsed.split_once("\n\n") {
            let event = event.to_owned();
            self.unparsed = rest.to_owned();
            self.parse_event(&event);
        }
    }

    fn parse_event(&mut self, event: &str) {
        let (name, data) = event.split_once('\n').expect("an event has two lines");
        let data = data.strip_prefix("data: ").expect("an event has data");
        let data: Value = serde_json::from_str(data).expect("data in JSON");
        match name {
            "event: token" => self.tokens.push(data),
            "event: end" => self.end = Some(data),
            other => panic!("an event of unknown kind: {other}"),
        }
    }
}
