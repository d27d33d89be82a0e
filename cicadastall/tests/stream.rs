//! Answer assembly from events in arbitrary order, split at arbitrary byte positions.

use cicadastall::{
    name::AttemptId,
    stream::{AnswerAssembler, EventScanner, StreamStep, encode_event},
    wire::{ChatChoice, ChatChunk, ChatDelta, END_MARKER},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Tokens of the whole answer.
const ANSWER_TOKENS: u32 = 6;

/// Next input of the assembler.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    /// The next token of the current attempt.
    Next,
    /// The token of the current attempt at this offset.
    Token(u32),
    /// A token of an earlier attempt or of another request.
    Foreign(u32),
    /// The end marker.
    End,
    /// An error of the current attempt.
    Error,
    /// An error of another request.
    ForeignError,
    /// Data that is neither a chunk nor an error body.
    Garbage,
    /// The next attempt resumes the answer.
    Resume,
}

impl Arbitrary for Arrival {
    fn arbitrary(random: &mut Gen) -> Self {
        let offset = u32::arbitrary(random) % (ANSWER_TOKENS + 1);
        match u8::arbitrary(random) % 20 {
            0..=7 => Self::Next,
            8..=9 => Self::Token(offset),
            10..=12 => Self::Foreign(offset),
            13..=14 => Self::End,
            15 => Self::Error,
            16 => Self::ForeignError,
            17 => Self::Garbage,
            _ => Self::Resume,
        }
    }
}

fn encode_token(attempt: &str, offset: u32, content: String) -> Vec<u8> {
    let finish = (offset + 1 == ANSWER_TOKENS).then(|| "stop".to_owned());
    let choice = ChatChoice { delta: ChatDelta { content }, finish_reason: finish };
    let chunk = ChatChunk { id: attempt.into(), offset, choices: vec![choice] };
    serde_json::to_vec(&chunk).expect("encode")
}

fn encode_error(attempt: &str) -> Vec<u8> {
    let error = serde_json::json!({
        "request": attempt,
        "error": { "code": "upstream_failed", "ran": "unknown", "message": "lost" },
    });
    error.to_string().into_bytes()
}

/// Encodes `data` as an event, feeds it to `scanner` in pieces of `piece_bytes`, and returns the data
/// that the scanner extracts.
fn scan_in_pieces(scanner: &mut EventScanner, data: &[u8], piece_bytes: usize) -> Vec<u8> {
    for piece in encode_event(data).chunks(piece_bytes) {
        scanner.push(piece);
    }
    scanner.scan_event().expect("a small event").expect("a whole event").to_vec()
}

/// Tokens assembled from `arrivals`, and whether the answer is complete.
fn assemble(arrivals: &[Arrival], piece_bytes: usize) -> (Vec<String>, bool) {
    let mut number = 1;
    let mut attempt = "request.1".to_owned();
    let mut scanner = EventScanner::default();
    let mut assembler = AnswerAssembler::new(AttemptId::new(attempt.as_str()));
    let mut tokens = Vec::new();
    let mut broken = false;
    for arrival in arrivals {
        let data = match arrival {
            Arrival::Resume => {
                number += 1;
                attempt = format!("request.{number}");
                assembler.resume(AttemptId::new(attempt.as_str()));
                broken = false;
                continue;
            }
            Arrival::Next => {
                let offset = assembler.next_offset();
                encode_token(&attempt, offset, format!("t{offset}"))
            }
            Arrival::Token(offset) => encode_token(&attempt, *offset, format!("t{offset}")),
            Arrival::Foreign(offset) => {
                let id = ["request.0", "another.1"][*offset as usize % 2];
                encode_token(id, *offset, "wrong".into())
            }
            Arrival::End => END_MARKER.as_bytes().to_vec(),
            Arrival::Error => encode_error(&attempt),
            Arrival::ForeignError => encode_error("another.1"),
            Arrival::Garbage => b"{\"id\":".to_vec(),
        };
        let event = scan_in_pieces(&mut scanner, &data, piece_bytes);
        if broken {
            continue;
        }
        let step = assembler.accept(&event);
        if matches!(arrival, Arrival::Foreign(_) | Arrival::ForeignError) {
            assert_eq!(step, StreamStep::Skip, "{arrival:?} changed the answer");
        }
        match step {
            StreamStep::Token(chunk) => tokens.push(chunk.choices[0].delta.content.to_string()),
            StreamStep::Skip => {}
            StreamStep::End => return (tokens, true),
            StreamStep::Failed(_) | StreamStep::Broken(_) => broken = true,
        }
    }
    (tokens, false)
}

#[test]
fn every_event_order_yields_a_prefix_or_the_complete_answer() {
    fn property(arrivals: Vec<Arrival>, piece_bytes: u8) -> bool {
        let (tokens, complete) = assemble(&arrivals, usize::from(piece_bytes).max(1));
        let expected: Vec<_> = (0..ANSWER_TOKENS).map(|offset| format!("t{offset}")).collect();
        let prefix = expected.starts_with(&tokens);
        prefix && (!complete || tokens.len() == expected.len())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(20_000)
        .quickcheck(property as fn(Vec<Arrival>, u8) -> bool);
}
