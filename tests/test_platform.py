"""Decoding of the platform's formats: settings, desired state, headers, heartbeats."""

import json

import pytest

from dogwooddock.errors import InvalidSettings
from dogwooddock.http1.messages import Request
from dogwooddock.platform.desiredstate import decode_desired_state
from dogwooddock.platform.headers import PlatformHeaders
from dogwooddock.platform.heartbeats import decode_heartbeat, decode_leave, parse_rpc
from dogwooddock.platform.settings import read_settings
from dogwooddock.platform.values import (
    FormatError,
    parse_address,
    parse_duration,
    parse_version,
)

from .mesh_helpers import config_document, route_entry

SETTINGS = {
    "node": "sidecar-a-1",
    "ip": "10.1.0.8",
    "zone": "a",
    "listen": {
        "inbound": "10.1.0.8:1",
        "outbound": "10.1.0.8:2",
        "ready": "10.1.0.8:3",
        "control": "10.1.0.8:4",
    },
    "port_range": [7620, 7635],
    "seeds": ["10.1.0.9:4"],
    "limits": {"memory_mb": 300},
    "heartbeat": "1500ms",
    "bounds": ["drain=2000ms", "budget_ratio=0.2", "budget_extra=48", "new=1s"],
    "app_addr": "10.1.0.8:5",
    "service": "shop",
    "provider": {"address": "10.200.1.7:8309", "form": "table"},
    "a_field_to_come": {"x": 1},
}


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0), ("3s", 3.0)],
)
def test_durations_are_parsed_into_seconds(text, seconds):
    assert parse_duration(text, "x") == seconds


@pytest.mark.parametrize(
    ("parse", "value"),
    [
        (lambda value: parse_duration(value, "x"), "5"),
        (lambda value: parse_duration(value, "x"), "fives"),
        (lambda value: parse_duration(value, "x"), "-1s"),
        (lambda value: parse_duration(value, "x"), "infs"),
        (lambda value: parse_duration(value, "x"), 5),
        (parse_version, "12"),
        (parse_version, "r"),
        (parse_version, "r1x"),
        (parse_version, None),
        (lambda value: parse_address(value, "x"), "host:80"),
        (lambda value: parse_address(value, "x"), "10.0.0.1"),
        (lambda value: parse_address(value, "x"), None),
    ],
)
def test_malformed_values_are_refused(parse, value):
    with pytest.raises(FormatError):
        parse(value)


def _write(tmp_path, settings):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(settings))
    return str(path)


def test_settings_are_read(tmp_path):
    env = read_settings(_write(tmp_path, SETTINGS))
    assert (env.name, env.zone, env.pool) == ("sidecar-a-1", "a", "shop")
    assert env.caller_listen == ("10.1.0.8", 2)
    assert env.peer_listen == ("10.1.0.8", 7620)
    assert env.contacts == (("10.1.0.9", 7620),)
    assert env.store == ("10.200.1.7", 8309)
    assert env.bounds.drain_s == 2.0
    assert env.bounds.retry_extra == 48


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("ip", None),
        ("listen", {}),
        ("port_range", ["x", 1]),
        ("heartbeat", "soon"),
        ("app_addr", "nowhere"),
        ("bounds", ["drain=fast"]),
        ("seeds", ["x"]),
        ("provider", {}),
    ],
)
def test_error_about_invalid_settings_names_the_field(tmp_path, field, value):
    with pytest.raises(InvalidSettings, match=field.split("_")[0]):
        read_settings(_write(tmp_path, {**SETTINGS, field: value}))


def test_missing_settings_file_is_refused(tmp_path):
    with pytest.raises(InvalidSettings):
        read_settings(str(tmp_path / "absent"))


def test_desired_state_is_read():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    document = config_document(
        12,
        [
            route_entry("one", split, "/one/", timeout="800ms", slo="1500ms"),
            route_entry("two", "c", "/two/", kind="non_idempotent", priority=0),
        ],
        idle_timeout="9s",
    )
    state = decode_desired_state(document)
    one, two = state.routes
    assert state.version == 12
    assert one.pools == (("a", 90.0), ("b", 10.0))
    assert (one.timeout_s, one.objective_s, one.idempotent) == (0.8, 1.5, True)
    assert (two.pools, two.idempotent, two.priority) == ((("c", 1.0),), False, 0)
    assert state.limits.idle_timeout_s == 9.0
    assert state.document == document


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"[]",
        b"{}",
        b'{"version": 5, "resources": []}',
        b'{"version": "r5"}',
        b'{"version": "r5", "resources": [{"type": "routes"}]}',
        b'{"version": "r5", "resources": [7]}',
        config_document(3, [route_entry("x", "a", "/x/", timeout="soon")]),
        config_document(3, [route_entry("x", "a", "x")]),
        config_document(3, [route_entry("x", "a", "/x/", attempts=0)]),
    ],
)
def test_malformed_desired_state_is_refused(document):
    with pytest.raises(FormatError):
        decode_desired_state(document)


def test_route_of_unknown_kind_is_not_idempotent():
    document = config_document(1, [route_entry("x", "a", "/x/", kind="novel")])
    assert not decode_desired_state(document).routes[0].idempotent


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        (b"POST", b"/rpc?call=instances.heartbeat&of=i-1", ("heartbeat", "i-1")),
        (b"POST", b"/rpc?call=instances.deregister&of=i-1", ("leave", "i-1")),
        (b"GET", b"/rpc?call=instances.heartbeat&of=i-1", None),
        (b"POST", b"/rpc?call=other&of=i-1", None),
        (b"POST", b"/rpc?call=instances.heartbeat", None),
        (b"POST", b"/else", None),
    ],
)
def test_rpc_calls_of_targets_are_parsed(method, target, expected):
    request = Request(method, target)
    if expected is None:
        with pytest.raises(FormatError):
            parse_rpc(request)
    else:
        assert parse_rpc(request) == expected


@pytest.mark.parametrize("body", [b"{", b"[]", b"null", b'{"seq": "x"}'])
def test_malformed_heartbeats_are_refused(body):
    with pytest.raises(FormatError):
        decode_heartbeat("i-1", body)


@pytest.mark.parametrize(
    ("body", "expected"),
    [(b"", (0, 0)), (b" ", (0, 0)), (b'{"born": 5, "seq": 2}', (5, 2))],
)
def test_leave_bodies_are_decoded(body, expected):
    assert decode_leave(body) == expected


@pytest.mark.parametrize(
    ("fields", "wait_s"),
    [
        ({b"dogwooddock-request-id": b"a"}, None),
        ({b"dogwooddock-request-id": b"a", b"dogwooddock-deadline-ms": b"60"}, 0.06),
        ({b"dogwooddock-deadline-ms": b"60"}, "error"),
        ({b"dogwooddock-request-id": b"a", b"dogwooddock-deadline-ms": b"x"}, "error"),
        ({b"dogwooddock-request-id": b"a", b"dogwooddock-deadline-ms": b"-1"}, "error"),
    ],
)
def test_deadline_header_of_callers_is_read(fields, wait_s):
    request = Request(fields=fields)
    if wait_s == "error":
        with pytest.raises(FormatError):
            PlatformHeaders().read_caller(request)
    else:
        assert PlatformHeaders().read_caller(request).wait_s == wait_s


def test_hop_by_hop_headers_and_headers_set_by_nodes_are_not_forwarded():
    request = Request(
        headers=[
            (b"Host", b"h"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Kept", b"2"),
            (b"Dogwooddock-Request-Id", b"a"),
            (b"Dogwooddock-Caller-Service", b"forged"),
            (b"Dogwooddock-Expect-Instance", b"forged"),
            (b"Dogwooddock-Deadline-Ms", b"9"),
            (b"Transfer-Encoding", b"chunked"),
        ]
    )
    block = PlatformHeaders().forwarded_headers(request, False)
    assert block == b"Host: h\r\nX-Kept: 2\r\nDogwooddock-Request-Id: a\r\n"
