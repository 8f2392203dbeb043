//! Parsing of server-sent events from chunks of any size.

use proptest::{prelude::*, test_runner::RngSeed};
use rosethread_entry::EventBuffer;

fn parse_chunks(chunks: &[&[u8]]) -> (Vec<(Option<u64>, String)>, bool) {
    let mut buffer = EventBuffer::default();
    let mut events = Vec::new();
    for chunk in chunks {
        buffer.push(chunk).unwrap();
        while let Some(event) = buffer.next_event().unwrap() {
            events.push((event.id, String::from_utf8(event.data.to_vec()).unwrap()));
        }
    }
    (events, buffer.has_partial())
}

fn check_parsing(text: &str, expected: &[(Option<u64>, &str)], has_partial: bool) {
    let expected: Vec<_> = expected.iter().map(|(id, data)| (*id, (*data).to_owned())).collect();
    assert_eq!(parse_chunks(&[text.as_bytes()]), (expected.clone(), has_partial));
    let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
    assert_eq!(parse_chunks(&bytes), (expected, has_partial), "byte by byte");
}

rosethread_cases::cases!(check_parsing {
    one_event: ("id: 1\ndata: a\n\n", &[(Some(1), "a")], false);
    two_events: ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", &[(Some(1), "a"), (Some(2), "b")], false);
    no_space_after_the_colon: ("id:7\ndata:x\n\n", &[(Some(7), "x")], false);
    carriage_returns: ("id: 1\r\ndata: a\r\n\r\n", &[(Some(1), "a")], false);
    several_data_lines: ("data: a\ndata: b\n\n", &[(None, "a\nb")], false);
    an_event_without_data: ("id: 3\n\n", &[(Some(3), "")], false);
    an_incomplete_event: ("id: 1\ndata: a\n\nid: 2\nda", &[(Some(1), "a")], true);
    an_id_that_is_not_a_number: ("id: x\ndata: a\n\n", &[(None, "a")], false);
    an_unknown_field_beside_others:
        ("weight-versions: 3\nid: 4\ndata: a\n\n", &[(Some(4), "a")], false);
    a_field_without_a_colon: ("id: 5\ndata\n\n", &[(Some(5), "")], false);
    a_comment: (": ping\n\ndata: a\n\n", &[(None, ""), (None, "a")], false);
});

/// Checks bytes that are no event, behind one that is.
fn check_no_event(bytes: &str) {
    let text = format!("id: 1\ndata: a\n\n{bytes}");
    for size in [1, text.len()] {
        let mut buffer = EventBuffer::default();
        let (mut events, mut errors) = (0, 0);
        for chunk in text.as_bytes().chunks(size) {
            buffer.push(chunk).unwrap();
            loop {
                match buffer.next_event() {
                    Ok(Some(_)) => events += 1,
                    Ok(None) => break,
                    Err(_) => errors += 1,
                }
            }
        }
        assert_eq!((events, errors), (1, 1), "in chunks of {size} bytes");
    }
}

rosethread_cases::cases!(check_no_event {
    // Guards against what a target in trouble writes into a stream being forwarded as an event.
    text: ("upstream failed\n\n");
    text_before_a_field: ("upstream failed\ndata: a\n\n");
    json: ("{\"error\":\"upstream failed\"}\n\n");
    a_word: ("failed\n\n");
    an_unknown_field_alone: ("error: failed\n\n");
    the_head_of_a_response: ("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n");
    a_head_inside_an_event: ("id: 2\ndata: HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n");
    the_end_of_chunks: ("0\r\n\r\n");
    bytes_that_are_no_text: ("\u{1}\u{2}\n\n");
});

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Chunk boundaries change neither the parsed events nor the bytes that are forwarded.
    #[test]
    fn chunk_boundaries_do_not_change_events(
        data in proptest::collection::vec("[a-z]{0,12}", 1..6),
        chunk_sizes in proptest::collection::vec(1_usize..9, 1..40),
    ) {
        let mut text = String::new();
        for (index, it) in data.iter().enumerate() {
            text.push_str(&format!("id: {index}\ndata: {it}\n\n"));
        }
        let mut buffer = EventBuffer::default();
        let mut rest = text.as_bytes();
        let mut parsed_data = Vec::new();
        let mut bytes = Vec::new();
        let mut chunk_sizes = chunk_sizes.iter().cycle();
        while !rest.is_empty() {
            let (head, tail) = rest.split_at((*chunk_sizes.next().unwrap()).min(rest.len()));
            rest = tail;
            buffer.push(head).unwrap();
            while let Some(event) = buffer.next_event().unwrap() {
                parsed_data.push(String::from_utf8(event.data.to_vec()).unwrap());
                bytes.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(parsed_data, data);
        prop_assert_eq!(bytes, text.as_bytes());
    }
}
