//! Frames between nodes: nodes of the last release and this one understand each other.

use std::{sync::Arc, time::Duration};

use rosethread_entry::{
    AskProgram, ClientLimits, GrantId, GrantRequest, HeldGrant, KeyDigest, Organisation,
    Organisations, PathRequest, PeerReply, PeerRequest, QuotaAsk, QuotaReply, Route, RouteKind,
    Routes, Settlement, Target, TargetStatus, Verdict, WeightedService,
};
use rosethread_types::{Incarnation, Revision};

/// The reply to request 7 with [`target`] as the last release sent it.
const LAST_RELEASE_TARGETS: &str = "07060103742d3103737663000a00000150017a0800e807030080e59a77f403";

/// The request 8 for the targets as the last release sent it.
const LAST_RELEASE_REQUEST: &str = "0807";

fn target(software: Option<&str>) -> Target {
    Target {
        name: "t-1".parse().unwrap(),
        service: "svc".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 8,
        status: TargetStatus::Ready,
        start: Incarnation(1_000),
        version: 3,
        software: software.map(|it| it.parse().unwrap()),
        cold: Duration::from_millis(250),
    }
}

fn reply(software: Option<&str>) -> PeerReply {
    PeerReply::Targets { targets: vec![target(software), target(None)], age_ms: 500 }
}

// Guards against a change of the encoding that hosts of the last release don't understand, or whose
// frames aren't understood, while hosts are replaced in turn.
#[test]
fn a_reply_of_the_last_release_is_understood() {
    let bytes = hex::decode(LAST_RELEASE_TARGETS).unwrap();
    let expected = PeerReply::Targets { targets: vec![target(None)], age_ms: 500 };
    assert_eq!(PeerReply::decode(&bytes).unwrap(), (7, expected));
}

#[test]
fn a_request_of_the_last_release_is_understood() {
    let bytes = hex::decode(LAST_RELEASE_REQUEST).unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok((8_u64, PeerRequest::Targets)));
    assert_eq!(postcard::to_stdvec(&(8_u64, PeerRequest::Targets)).unwrap(), bytes);
}

/// The request 6 for the tokens of a turn as the last release sent it.
const LAST_RELEASE_ASK: &str = "060003017001730172ac026407";

fn ask(is_stored: bool) -> PeerRequest {
    let ask = GrantRequest {
        program: "p".parse().unwrap(),
        session: "s".parse().unwrap(),
        request: "r".parse().unwrap(),
        budget: 300,
        tokens: 100,
        grant: GrantId(7),
        is_stored,
    };
    PeerRequest::Ask { shard: 3, ask }
}

/// Owners of the last release don't look at what follows a request, and this one reads theirs.
fn check_ask(is_stored: bool) {
    let frame = ask(is_stored).encode(6).unwrap();
    let (id, request): (u64, &[u8]) = postcard::take_from_bytes(&frame).unwrap();
    assert_eq!((id, PeerRequest::decode(request)), (6, Ok(ask(is_stored))));
    let last_release = hex::decode(LAST_RELEASE_ASK).unwrap();
    assert_eq!(frame[..last_release.len()], last_release);
    assert_eq!(postcard::from_bytes(request), Ok(ask(false)));
}

rosethread_cases::cases!(check_ask {
    a_request_for_a_turn_is_that_of_the_last_release: (false);
    a_request_for_a_stored_turn_begins_like_that_of_the_last_release: (true);
});

/// The request 6 to settle a turn, and the reply to request 6 that grants one, as the last release sent them.
const LAST_RELEASE_SETTLE: &str = "060103017001730172320101740007";
const LAST_RELEASE_GRANT: &str = "06000001017401";

/// Owners of the last release don't look at what follows a settlement, and this one reads theirs.
fn check_settle(held: Option<HeldGrant>) {
    let settle = |held| PeerRequest::Settle {
        shard: 3,
        settlement: Settlement {
            program: "p".parse().unwrap(),
            session: "s".parse().unwrap(),
            request: "r".parse().unwrap(),
            used: 50,
            target: Some("t".parse().unwrap()),
            failed: None,
            grant: GrantId(7),
        },
        held,
    };
    let frame = settle(held).encode(6).unwrap();
    let (id, request): (u64, &[u8]) = postcard::take_from_bytes(&frame).unwrap();
    assert_eq!((id, PeerRequest::decode(request)), (6, Ok(settle(held))));
    let last_release = hex::decode(LAST_RELEASE_SETTLE).unwrap();
    assert_eq!(frame[..last_release.len()], last_release);
    assert_eq!(postcard::from_bytes(request), Ok(settle(None)));
}

rosethread_cases::cases!(check_settle {
    a_settlement_is_that_of_the_last_release: (None);
    a_held_settlement_begins_like_that_of_the_last_release:
        (Some(HeldGrant { tokens: 100, epoch: 1 << 50, is_kept: true }));
});

/// Hosts of the last release don't look at what follows the grant of a turn, and this one reads theirs.
fn check_grant(reserved: Option<u64>) {
    let grant = |reserved| {
        let home = Some("t".parse().unwrap());
        PeerReply::Verdict(Verdict::Granted { home, underway: true, reserved })
    };
    let frame = grant(reserved).encode(6).unwrap();
    assert_eq!(PeerReply::decode(&frame).unwrap(), (6, grant(reserved)));
    let last_release = hex::decode(LAST_RELEASE_GRANT).unwrap();
    assert_eq!(frame[..last_release.len()], last_release);
    assert_eq!(postcard::from_bytes(&frame), Ok((6_u64, grant(None))));
}

rosethread_cases::cases!(check_grant {
    a_grant_is_that_of_the_last_release: (None);
    a_grant_with_its_claim_begins_like_that_of_the_last_release: (Some(1 << 50));
});

/// The request 9 for the origin of the stream 5, and the reply that the node knows none, as the last
/// release sent them.
const LAST_RELEASE_FIND_ORIGIN: (&str, &str) = ("090905", "090900");

/// The last release's reply to requests of the kinds 10 and 11, which it does not know.
const LAST_RELEASE_UNKNOWN: &str = "05080f756e6b6e6f776e2072657175657374";

// Guards against a new request whose refusal by the last release passes for a host's word on a target.
#[test]
fn the_last_release_says_that_it_knows_no_requests_for_paths() {
    let request = PathRequest {
        target: "t-1".parse().unwrap(),
        start: Incarnation(1_000),
        sent_ms: 7,
        mac: [9; 16],
    };
    for (kind, request) in
        [(10, PeerRequest::OpenPath(request.clone())), (11, PeerRequest::ProbeTarget(request))]
    {
        let mut expected = vec![5, kind, 3, b't', b'-', b'1', 0xe8, 7, 7];
        expected.extend([9; 16]);
        assert_eq!(postcard::to_stdvec(&(5_u64, request)).unwrap(), expected);
    }
    let reply = PeerReply::decode(&hex::decode(LAST_RELEASE_UNKNOWN).unwrap()).unwrap();
    assert_eq!(reply, (5, PeerReply::Unable("unknown request".to_owned())));
}

// Guards against the same where a host asks whether a service has one version of software only: what the
// last release says is no word on that.
#[test]
fn the_last_release_says_that_it_confirms_no_software() {
    let request = PeerRequest::ConfirmSoftware { service: "svc".parse().unwrap(), key: Some(7) };
    let expected = [5, 12, 3, b's', b'v', b'c', 1, 7];
    assert_eq!(postcard::to_stdvec(&(5_u64, request)).unwrap(), expected);
    let reply = PeerReply::decode(&hex::decode(LAST_RELEASE_UNKNOWN).unwrap()).unwrap();
    assert_eq!(reply, (5, PeerReply::Unable("unknown request".to_owned())));
}

fn quota_ask(spent: Vec<u64>) -> QuotaAsk {
    QuotaAsk {
        organisation: "org-1234".parse().unwrap(),
        revision: Revision(300),
        milli_per_s: 40_000,
        milli_burst: 60_000,
        want: 3,
        program: AskProgram { program: Some(u64::MAX), is_underway: true },
        pool: u32::MAX,
        returned: 1,
        spent,
    }
}

// Guards against a question for tokens that the last release takes for another: it says that it knows none, which
// is no word on the limit, and the asking host uses its own share.
#[test]
fn the_last_release_says_that_it_grants_no_tokens() {
    let bytes =
        postcard::to_stdvec(&(5_u64, PeerRequest::AskQuota(quota_ask(Vec::new())))).unwrap();
    assert_eq!(bytes[..2], [5, 13]);
    let reply = PeerReply::decode(&hex::decode(LAST_RELEASE_UNKNOWN).unwrap()).unwrap();
    assert_eq!(reply, (5, PeerReply::Unable("unknown request".to_owned())));
}

// docs/CAPACITY.md is computed from these.
#[test]
fn questions_for_tokens_are_short() {
    let id = 1_000_000_u64;
    let length = |spent: usize| {
        let ask = PeerRequest::AskQuota(quota_ask(vec![u64::MAX; spent]));
        postcard::to_stdvec(&(id, ask)).unwrap().len()
    };
    assert_eq!((length(0), length(32)), (41, 361));
    let granted = PeerReply::Quota(QuotaReply::Granted { pool: u32::MAX, tokens: 3 });
    assert_eq!(granted.encode(id).unwrap().len(), 11);
}

#[test]
fn requests_for_paths_leave_those_of_the_last_release_as_they_were() {
    let request = hex::decode(LAST_RELEASE_FIND_ORIGIN.0).unwrap();
    let expected = (9_u64, PeerRequest::FindOrigin { key: 5 });
    assert_eq!(postcard::from_bytes(&request), Ok(expected));
    let reply = hex::decode(LAST_RELEASE_FIND_ORIGIN.1).unwrap();
    assert_eq!(PeerReply::decode(&reply).unwrap(), (9, PeerReply::Origin(None)));
}

#[test]
fn the_last_release_understands_a_reply_with_versions_of_software() {
    let bytes = reply(Some("v1.1")).encode(7).unwrap();
    // The last release decodes the beginning of a frame, and its targets have no version.
    assert_eq!(postcard::from_bytes(&bytes), Ok((7_u64, reply(None))));
}

#[test]
fn versions_of_software_arrive_as_they_were_sent() {
    let bytes = reply(Some("v1.1")).encode(7).unwrap();
    assert_eq!(PeerReply::decode(&bytes).unwrap(), (7, reply(Some("v1.1"))));
}

#[test]
fn other_replies_are_encoded_as_before() {
    let reply = PeerReply::Unable("no".to_owned());
    assert_eq!(reply.encode(1).unwrap(), postcard::to_stdvec(&(1_u64, &reply)).unwrap());
}

/// The reply to request 7 with [`routes`] without organisations as the last release sent it.
const LAST_RELEASE_ROUTES: &str = "0705050109612e6578616d706c6501032f782f017209612e6578616d706c65032f782f0101000080c2d72f020103737663010201013c000064c80103000400";

/// Returns routes with a public one.
fn routes(organisations: Option<Organisations>) -> Routes {
    let limits = ClientLimits {
        header_bytes: 100,
        body_bytes: 200,
        header_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(4),
    };
    let organisations = organisations.map(Arc::new);
    let mut routes = Routes { revision: Revision(5), limits, organisations, ..Routes::default() };
    routes.add(Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/x/".into(),
        kind: RouteKind::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 2,
        services: vec![WeightedService { service: "svc".parse().unwrap(), weight: 1 }],
        attempts: 2,
        sticky: true,
        history: Some(Duration::from_secs(60)),
        is_public: routes.organisations.is_some(),
    });
    routes
}

// Guards against routes that pass for those of a deployment without organisations, since a host of the last
// release says nothing of these: anyone could call.
#[test]
fn routes_of_the_last_release_lack_who_may_use_them() {
    let bytes = hex::decode(LAST_RELEASE_ROUTES).unwrap();
    let reply = PeerReply::Routes(Routes { lacks_access: true, ..routes(None) });
    assert_eq!(PeerReply::decode(&bytes).unwrap(), (7, reply.clone()));
    // They lack it as well for the host to which they are sent on.
    assert_eq!(reply.encode(7).unwrap(), bytes);
}

#[test]
fn the_last_release_understands_routes_with_organisations() {
    for organisations in [None, Some(Organisations::default())] {
        let bytes = PeerReply::Routes(routes(organisations)).encode(7).unwrap();
        assert!(bytes.starts_with(&hex::decode(LAST_RELEASE_ROUTES).unwrap()));
    }
}

#[test]
fn organisations_and_public_routes_arrive_as_they_were_sent() {
    let mut organisations = Organisations::default();
    let organisation = Organisation { name: "a".parse().unwrap(), priority: Some(1), limit: None };
    organisations.add(organisation, [KeyDigest::of_key(b"key")]);
    for organisations in [None, Some(Organisations::default()), Some(organisations)] {
        let reply = PeerReply::Routes(routes(organisations));
        let bytes = reply.encode(7).unwrap();
        assert_eq!(PeerReply::decode(&bytes).unwrap(), (7, reply));
    }
}
