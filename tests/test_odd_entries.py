"""Odd entries among those that other processes write.

Guards against a reader that ends, or stops following a table, because another writer
left an entry that is nested deeply, has a number too large or a port out of range.
"""

import asyncio
import json
import sys

import pytest

from bench.mesh_standin import TargetMode, TargetStandIn
from dogwooddock.errors import DogwooddockError
from dogwooddock.http1.client import ConnectionPool
from dogwooddock.http1.messages import Response, render_request
from dogwooddock.logs import RateLimitedWriter
from dogwooddock.mesh.calls import StateUpdate
from dogwooddock.mesh.recordrows import decode_marks, decode_record
from dogwooddock.mesh.rows import Change, StoreUncertain
from dogwooddock.peers.linkcodec import (
    FrameReader,
    MarksFrame,
    PushFrame,
    encode_frame,
)
from dogwooddock.platform.desiredstate import decode_desired_state
from dogwooddock.platform.heartbeats import decode_heartbeat, decode_leave
from dogwooddock.platform.store import _decode_json, _parse_rows, _parse_version
from dogwooddock.policy.lifetimes import MAX_BORN_MS, TargetState

from .mesh_helpers import (
    DEFAULT_ROUTES,
    config_document,
    running_fleet,
    send_first_heartbeat,
    send_request,
    start_vm,
    status_of,
    wait_until,
)
from .virtual_time import run

DEEP = b"[" * 100_000 + b"]" * 100_000
NUMBERS = ["1e999", "-1e999", "NaN", "9" * 30, "-1", "9" * 5000, "1e300", '"x"', "[]"]
PORTS = ["0", "-1", "65536", "70000", "99999999999", "1.5", '"80a"', "null"]
IPS = ['"10.0.0"', '"256.1.1.1"', '"host.example"', '""', "7", '"::1"', '"1.2.3.4.5"']

RECORD = {
    "marks": [],
    "ip": "10.9.9.9",
    "port": 7400,
    "zone": "zone-a",
    "pool": "shop",
    "target_id": "t-odd",
    "born_ms": 1,
    "sequence": 1,
    "slots": 4,
    "state": "READY",
    "cold_s": 0.0,
}
MARK = {
    "request": "f" * 24,
    "node": 1,
    "lifetime": 1,
    "kind": 0,
    "until_unix_s": 4_000_000_000,
}
HEARTBEAT = {
    "service": "shop",
    "address": "10.9.9.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left": "0ms",
    "seq": 1,
    "born": 1,
}
LEAVE = {"seq": 1, "born": 1}


def _with(body, field, text):
    """Return a JSON object in which one field has a literal value."""
    marker = "MARKER"
    rendered = json.dumps({**body, field: marker})
    return rendered.replace(f'"{marker}"', text).encode()


def _bodies(body, numbers, **others):
    nested = {name: DEEP.decode() for name in body}
    odd = [(field, text) for field in numbers for text in NUMBERS]
    odd += [(field, text) for field, texts in others.items() for text in texts]
    odd += list(nested.items())
    yield DEEP
    yield b'{"a":' * 50_000 + b"1" + b"}" * 50_000
    yield b"\xff\xfe{}"
    for field, text in odd:
        yield _with(body, field, text)


def _mark_bodies():
    for body in _bodies(MARK, ("node", "lifetime", "kind", "until_unix_s")):
        yield b'{"marks":[' + body + b"]}"


READERS = [
    (decode_record, list(_bodies(RECORD, ("born_ms", "sequence", "slots", "cold_s"),
                                 port=PORTS, ip=IPS))),
    (decode_marks, list(_mark_bodies())),
    (lambda body: decode_heartbeat("t-odd", body),
     list(_bodies(HEARTBEAT, ("seq", "born", "slots"),
                  address=[f'"10.9.9.9:{port}"' for port in PORTS],
                  cold_left=['"1e300s"', '"9e999s"', '"nans"', '"-1s"']))),
    (decode_leave, list(_bodies(LEAVE, ("seq", "born")))),
    (decode_desired_state, list(_bodies({"version": "r1", "resources": []}, (),
                                        version=['"r' + "9" * 30 + '"',
                                                 '"r' + "9" * 5000 + '"']))),
]  # fmt: skip


def _is_sendable(value):
    """Report whether links can carry what a reader has taken up."""
    if isinstance(value, tuple):
        frame = MarksFrame(value)
    else:
        frame = PushFrame(StateUpdate(0, b"", (value,), 0))
    (sent,) = FrameReader().feed(encode_frame(frame, 0.0), 0.0)
    return type(sent) is type(frame)


@pytest.mark.parametrize(
    ("reader", "bodies"),
    READERS,
    ids=["record", "marks", "heartbeat", "leave", "desired state"],
)
def test_odd_body_is_refused_with_an_error_of_the_reader_or_is_harmless(reader, bodies):
    faults = []
    for body in bodies:
        try:
            value = reader(body)
            if reader in (decode_record, decode_marks):
                assert _is_sendable(value)
        except DogwooddockError:
            continue
        except Exception as exc:
            faults.append((body[:90], type(exc).__name__))
    assert faults == []


def _with_lone_surrogates(body, names):
    texts = [json.dumps({**body, name: "\ud800"}) for name in names]
    texts += [
        json.dumps({**body, name: "\ud800"}, ensure_ascii=False) for name in names
    ]
    return [text.encode("utf-8", "surrogatepass") for text in texts]


@pytest.mark.parametrize(
    ("reader", "bodies"),
    [
        (decode_record, _with_lone_surrogates(RECORD, ("zone", "pool", "target_id"))),
        (
            decode_marks,
            [
                b'{"marks":[' + mark + b"]}"
                for mark in _with_lone_surrogates(MARK, ("request",))
            ],
        ),
        (
            lambda body: decode_heartbeat("t-odd", body),
            _with_lone_surrogates(HEARTBEAT, ("service",)),
        ),
        (
            decode_desired_state,
            _with_lone_surrogates({"version": "r1", "resources": []}, ("more",)),
        ),
    ],
    ids=["record", "marks", "heartbeat", "desired state"],
)
def test_text_that_cannot_be_encoded_is_refused(reader, bodies):
    for body in bodies:
        with pytest.raises(DogwooddockError):
            reader(body)


@pytest.mark.parametrize(
    "entry",
    [
        {"table": "members", "part": "a", "key": "\ud800", "ver": 1, "value": "e30="},
        {"table": "members", "part": "\ud800", "key": "k", "ver": 1, "value": "e30="},
        {"table": "members", "part": "a", "key": "k", "ver": 1, "value": "!"},
        {"table": "members", "part": "a", "key": "k", "ver": 1, "value": "\u00e9"},
        {"table": "members", "part": "a", "key": "k", "ver": 1, "value": 7},
        {"table": "members", "part": "a", "key": "k", "ver": 1},
    ],
    ids=["key", "part", "not base64", "not ASCII", "number", "no value"],
)
def test_other_rows_are_read_beside_one_that_cannot_be(entry):
    good = {"table": "members", "part": "a", "key": "good", "ver": 2, "value": "e30="}
    text = json.dumps({"rows": [entry, good], "ver": 2}).encode()
    rows = _parse_rows(_decode_json(Response(200, [], {}, text)))
    assert rows[-1].value == b"{}"
    assert all((row.key + row.part).isprintable() for row in rows)
    assert rows[0].value in (b"", b"{}")


def test_log_line_with_text_that_cannot_be_encoded_is_written(capfd):
    RateLimitedWriter(sys.stdout.fileno()).write("key=\ud800\n")
    assert "key=" in capfd.readouterr().out


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("reader", ["record", "heartbeat"])
def test_port_out_of_range_is_refused(reader, port):
    with pytest.raises(DogwooddockError):
        if reader == "record":
            decode_record(_with(RECORD, "port", port))
        else:
            body = _with(HEARTBEAT, "address", f'"10.9.9.9:{port}"')
            decode_heartbeat("t-odd", body)


ROW = {"table": "members", "part": "", "key": "k", "value": "", "ver": 1}


@pytest.mark.parametrize(
    "body",
    [DEEP, b'{"rows":7,"ver":1}', b'{"rows":[7],"ver":1}', b'{"rows":' + DEEP + b"}"]
    + [b'{"rows":[' + _with(ROW, "ver", text) + b'],"ver":1}' for text in NUMBERS]
    + [_with({"rows": []}, "ver", text) for text in NUMBERS],
    ids=lambda body: body[:50].decode() + str(len(body)),
)
def test_odd_answer_of_the_store_is_an_uncertain_outcome(body):
    with pytest.raises(StoreUncertain):
        answer = _decode_json(Response(200, (), {}, body, True))
        _parse_rows(answer)
        _parse_version(answer)


ODD_ROWS = {
    "nested": DEEP,
    "number": _with(RECORD, "born_ms", "1e999"),
    "long number": _with(RECORD, "sequence", "9" * 30),
    "port": _with(RECORD, "port", "70000"),
    "negative port": _with(RECORD, "port", "-5"),
    "ip": _with(RECORD, "ip", '"256.1.1.1"'),
    "mark": _with(RECORD, "marks", f"[{_with(MARK, 'node', '9' * 30).decode()}]"),
    "text": _with(RECORD, "zone", '"MARK"').replace(b"MARK", b"\xed\xa0\x80"),
    "nested mark": _with(RECORD, "marks", f"[{DEEP.decode()}]"),
}


@pytest.mark.parametrize("odd", ODD_ROWS, ids=list(ODD_ROWS))
def test_nodes_follow_their_tables_past_an_odd_entry(odd, capsys):
    async def scenario():
        async with running_fleet("shop", "stock", "shop") as fleet:
            store = fleet.store.rows
            for part in ("", "zone-a", "zone-b"):
                change = Change("members", part, "10.9.9.9:7400", ODD_ROWS[odd])
                await store.transact([], [change])
            await asyncio.sleep(3.0)
            added = await start_vm(fleet, 3, "shop")
            await send_first_heartbeat(added)
            await fleet.store.put("op", "config", config_document(2, DEFAULT_ROUTES))
            vms = fleet.vms
            await wait_until(lambda: all(vm.node.config.version == 2 for vm in vms))
            await wait_until(
                lambda: all(
                    vm.node.fleet.members.find(added.env.peer_listen) for vm in vms
                )
            )
            answer = await send_request(vms[1].env.caller_listen, "/read/1", "after")
            assert answer.status == 200

    run(scenario())
    assert "job_failed" not in capsys.readouterr().out


@pytest.mark.parametrize("state", ["READY", "DRAINING", "GONE"])
@pytest.mark.parametrize("pool", ["shop", "stock", "none"])
@pytest.mark.parametrize("key", ["10.9.9.9:7400", "", "{}:{}x", "k" * 5000])
def test_row_that_names_the_address_of_another_node_displaces_nothing(key, pool, state):
    """Neither at the other nodes nor at the one that it names."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            named = fleet.vms[0].env.peer_listen
            ip, port = named
            row = {**RECORD, "ip": ip, "port": port, "pool": pool, "state": state}
            value = json.dumps({**row, "born_ms": 2**62}).encode()
            change = Change("members", "zone-a", key.format(*named), value)
            await fleet.store.rows.transact([], [change])
            await asyncio.sleep(1.5)
            for vm in fleet.vms:
                known = vm.node.fleet.members.find(named)
                assert (known.pool, known.target_id) == ("shop", "t-0")
                answer = await vm.send_request(request_id=f"req-{vm.env.name}")
                assert status_of(answer) == 200

    run(scenario())


@pytest.mark.parametrize("born", [MAX_BORN_MS + 1, 2**62, 1_796_477_923_520_000])
@pytest.mark.parametrize("reader", ["record", "heartbeat", "leave"])
def test_start_that_no_later_target_can_pass_is_refused(reader, born):
    bodies = {
        "record": lambda: decode_record(_with(RECORD, "born_ms", str(born))),
        "heartbeat": lambda: decode_heartbeat(
            "t-odd", _with(HEARTBEAT, "born", str(born))
        ),
        "leave": lambda: decode_leave(_with(LEAVE, "born", str(born))),
    }
    with pytest.raises(DogwooddockError, match="born"):
        bodies[reader]()


@pytest.mark.parametrize("ahead", ["beyond-all", "a-minute"])
@pytest.mark.parametrize("source", ["row", "heartbeat"])
def test_target_drains_after_an_entry_of_another_with_a_later_start(source, ahead):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            vm = fleet.vms[0]
            ip, port = vm.env.peer_listen
            born_ms = 2**62 if ahead == "beyond-all" else vm.target.born_ms + 60_000
            if source == "row":
                row = {**RECORD, "ip": ip, "port": port, "born_ms": born_ms}
                value = json.dumps(row).encode()
                change = Change("members", "zone-a", f"{ip}:{port}", value)
                await fleet.store.rows.transact([], [change])
            else:
                odd = TargetStandIn("shop", target_id="t-odd")
                odd.address = vm.target.address
                odd.heartbeat_address = vm.env.heartbeat_listen
                odd.born_ms = born_ms
                status = await odd.send_heartbeat()
                assert status == 400 or ahead == "a-minute"
            await asyncio.sleep(1.5)
            vm.target.state = "draining"
            assert await vm.target.send_heartbeat() == 200
            await asyncio.sleep(1.0)
            known = fleet.vms[1].node.fleet.members.find(vm.env.peer_listen)
            assert (known.target_id, known.state) == ("t-0", TargetState.DRAINING)

    run(scenario())


DIGITS = ["9" * 12, "9" * 400, "9" * 5000]


@pytest.mark.parametrize("digits", DIGITS, ids=["12", "400", "5000"])
@pytest.mark.parametrize("field", ["keep-alive", "deadline"])
def test_number_too_large_in_a_header_costs_no_answer(field, digits):
    """Of the target's answer, or of the caller's request."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            headers = b""
            if field == "keep-alive":
                fleet.vms[0].target.mode = TargetMode(keep_alive=digits)
            else:
                headers = f"Dogwooddock-Deadline-Ms: {digits}\r\n".encode()
            address = fleet.vms[1].env.caller_listen
            conn = await ConnectionPool(address).open()
            block = b"Host: app.example\r\nDogwooddock-Request-Id: req-1\r\n" + headers
            answer = await conn.exchange(render_request(b"GET", b"/read/1", block, b""))
            conn.close()
            assert status_of(answer) == 200

    run(scenario())
