"""Client accounts: decoding, lookup of keys, headers, and what callers get.

Guards against requests that run without a valid key or under a forged account, keys
that leave a node, and bodies that are read before a refusal is sent.
"""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.mesh_standin import TargetMode
from dogwooddock.http1.messages import Request
from dogwooddock.mesh import config
from dogwooddock.mesh.accountcounts import AccountCounts
from dogwooddock.mesh.calls import MeshCall, StateUpdate
from dogwooddock.mesh.metrics import dump_state, render_metrics
from dogwooddock.peers.linkcodec import CallFrame, FrameReader, encode_frame
from dogwooddock.platform.desiredstate import decode_desired_state, decode_in_steps
from dogwooddock.platform.headers import PlatformHeaders
from dogwooddock.platform.values import FormatError
from dogwooddock.policy.accounts import AccountTable, ClientAccount, check_key
from dogwooddock.policy.outcomes import Reason

from .mesh_helpers import (
    account_entry,
    config_document,
    route_entry,
    running_fleet,
    wait_until,
)
from .virtual_time import run

ACCOUNTS = [
    account_entry("acme", "key-a1", "key-a2", priority=0, rate_per_s=20, burst=5),
    account_entry("zeta", "key-z"),
]


class RecordedLog:
    """Record the fields of log lines."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append({"event": event, **fields})


# Decoding.


def test_accounts_are_read():
    routes = [route_entry("r", "a", "/r/", public=True), route_entry("s", "a", "/s/")]
    state = decode_desired_state(config_document(1, [*routes, *ACCOUNTS]))
    assert [route.public for route in state.routes] == [True, False]
    assert state.accounts == (
        ClientAccount("acme", ("key-a1", "key-a2"), 0, 20.0, 5.0),
        ClientAccount("zeta", ("key-z",), None, 0.0, 0.0),
    )


@pytest.mark.parametrize(
    "accounts",
    [
        [account_entry("a", "secret", rate_per_s=-1)],
        [account_entry("a", "secret", burst=-1)],
        [account_entry("a", "secret", rate_per_s=float("inf"))],
        [account_entry("a", "secret", priority=-1)],
        [account_entry("a", "secret", priority="first")],
        [account_entry("a", "secret", "")],
        [account_entry("a", "secret", 7)],
        [account_entry("a", "secret\r\nX: y")],
        [account_entry("", "secret")],
        [account_entry("a\r\nX: y", "secret")],
        [account_entry("a", "secret"), account_entry("a", "other")],
        [account_entry("a", "secret"), account_entry("b", "other", "secret")],
        [{**account_entry("a"), "spec": {"api_keys": "secret"}}],
        [{**account_entry("a"), "spec": {}}],
        [{**account_entry("a", "secret"), "type": "routes"}],
        [{**account_entry("a", "secret"), "spec": "secret"}],
        [{**account_entry("a", "secret"), "type": "limits", "spec": "secret"}],
    ],
)
def test_malformed_accounts_are_refused_without_naming_a_key(accounts):
    with pytest.raises(FormatError) as raised:
        decode_desired_state(config_document(1, accounts))
    assert "secret" not in str(raised.value)


def test_a_document_that_is_no_text_is_refused_without_naming_a_key():
    document = config_document(1, [account_entry("a", "secret")])
    with pytest.raises(FormatError, match="UTF-8") as raised:
        decode_desired_state(document + b"\xff")
    assert "secret" not in str(raised.value)
    assert raised.value.__cause__ is None


@pytest.mark.parametrize(
    ("versions", "changes"),
    [
        ([ACCOUNTS], [(2, None, None)]),
        ([ACCOUNTS, ACCOUNTS[:1]], [(2, None, None), (1, 0, 1)]),
        ([[], ACCOUNTS], [(None, None, None), (2, 3, 0)]),
        ([ACCOUNTS, []], [(2, None, None), (0, 0, 3)]),
        ([[], []], [(None, None, None)] * 2),
    ],
)
def test_a_version_in_force_tells_how_many_keys_it_changed(
    versions, changes, monkeypatch
):
    log = RecordedLog()
    monkeypatch.setattr(config, "log", log)
    holder = config.ConfigHolder(decode_in_steps, lambda state: None)
    for number, accounts in enumerate(versions, 1):
        document = config_document(number, [route_entry("r", "a", "/r/"), *accounts])
        assert holder.apply_if_newer(document, "store")
    names = ("accounts", "keys_added", "keys_removed")
    assert [tuple(line.get(name) for name in names) for line in log.lines] == changes
    assert "key-" not in str(log.lines)


def test_a_shared_key_is_refused_naming_both_accounts():
    accounts = [account_entry("one", "k"), account_entry("two", "k")]
    with pytest.raises(FormatError, match=r"one and two") as raised:
        decode_desired_state(config_document(1, accounts))
    assert "'k'" not in str(raised.value)


def test_keys_are_absent_from_representations():
    state = decode_desired_state(config_document(1, ACCOUNTS))
    assert "key-a1" not in repr(state)
    assert "key-a1" not in repr(StateUpdate(1, state.document, (), 0))
    request = Request(headers=[(b"X-Api-Key", b"key-a1")])
    request.fields = {b"dogwooddock-request-id": b"r", b"x-api-key": b"key-a1"}
    assert "key-a1" not in repr(PlatformHeaders().read_caller(request))


# Keys.


@pytest.mark.parametrize(
    ("keys", "request_id", "account", "status", "reason"),
    [
        ((b"key-a2",), b"r", "acme", 0, Reason.NONE),
        ((b"key-z",), b"r.1", "zeta", 0, Reason.NONE),
        ((), b"r", None, 401, Reason.UNKNOWN_KEY),
        ((b"",), b"r", None, 401, Reason.UNKNOWN_KEY),
        ((b"KEY-Z",), b"r", None, 401, Reason.UNKNOWN_KEY),
        ((b"key-z" * 2000,), b"r", None, 401, Reason.UNKNOWN_KEY),
        ((b"\xff",), b"r", None, 401, Reason.UNKNOWN_KEY),
        ((b"key-z", b"key-z"), b"r", None, 400, Reason.MALFORMED),
        ((b"key-z", b"key-a1"), b"r", None, 400, Reason.MALFORMED),
        ((), b"r.1", None, 503, Reason.UNKNOWN_PARENT),
    ],
)
def test_a_key_is_checked(keys, request_id, account, status, reason):
    table = AccountTable(decode_desired_state(config_document(1, ACCOUNTS)).accounts)
    check = check_key(table, keys, request_id)
    assert (check.account.name if check.account else None) == account
    assert (check.status, check.reason) == (status, reason)


@given(st.sets(st.text(min_size=1)), st.text())
def test_only_the_holder_of_a_key_is_found(keys, other):
    table = AccountTable(ClientAccount(f"of-{key}", (key,)) for key in keys)
    for key in keys:
        assert table.find(key.encode()).name == f"of-{key}"
    assert (table.find(other.encode()) is not None) == (other in keys)


# Headers.


def call_of(account, depth=0):
    return MeshCall(
        b"r",
        "read",
        "t",
        b"GET",
        b"/",
        b"",
        b"",
        1.0,
        True,
        4,
        depth,
        "shop",
        "f",
        account=account,
    )


@pytest.mark.parametrize(
    ("call", "line"),
    [
        (call_of("acme"), b"Dogwooddock-Tenant: acme\r\n"),
        (call_of(""), b""),
        (call_of("acme", depth=1), b""),
    ],
)
def test_only_a_callers_request_names_its_account_to_the_target(call, line):
    block = PlatformHeaders().target_headers(call, 1.0)
    assert block.partition(b"Caller-Service: shop\r\n")[2] == line


@pytest.mark.parametrize("drop_account", [False, True])
def test_key_and_account_headers_are_dropped_only_where_there_are_accounts(
    drop_account,
):
    request = Request(
        headers=[
            (b"X-Kept", b"1"),
            (b"X-Api-Key", b"k"),
            (b"x-API-key", b"k"),
            (b"dogwooddock-TENANT", b"forged"),
        ]
    )
    block = PlatformHeaders().forwarded_headers(request, drop_account)
    sent = b"X-Api-Key: k\r\nx-API-key: k\r\ndogwooddock-TENANT: forged\r\n"
    assert block == b"X-Kept: 1\r\n" + (b"" if drop_account else sent)


@pytest.mark.parametrize("account", ["acme", ""])
def test_a_link_carries_the_account(account):
    data = encode_frame(CallFrame(1, call_of(account), 1), 0.0)
    (frame,) = FrameReader().feed(data, 0.0)
    assert frame.call.account == account


# Answers.

ROUTES = [
    route_entry("read", "shop", "/read/"),
    route_entry("open", "shop", "/open/", public=True),
    route_entry("chain", "front", "/chain/"),
]
NAMED = b"Dogwooddock-Tenant: forged\r\n"


@pytest.mark.parametrize(
    ("path", "request_id", "headers", "status", "account"),
    [
        ("/read/1", "r", b"X-Api-Key: key-z\r\n", 200, b"zeta"),
        ("/read/1", "r", b"x-aPI-kEY: key-a2\r\n" + NAMED, 200, b"acme"),
        ("/open/1", "r", NAMED, 200, None),
        ("/open/1", "r", b"X-Api-Key: key-z\r\n" + NAMED, 200, None),
        ("/open/1", "r", b"X-Api-Key: none\r\n" * 2, 200, None),
        ("/read/1", "r", NAMED, 401, None),
        ("/read/1", "r", b"X-Api-Key:\r\n", 401, None),
        ("/read/1", "r", b"X-Api-Key: none\r\n", 401, None),
        ("/read/1", "r", b"X-Api-Key: " + b"k" * 10_000 + b"\r\n", 401, None),
        ("/read/1", "r", b"X-Api-Key: key-z\r\n" * 2, 400, None),
        ("/read/1", "r.1", b"", 503, None),
        ("/nowhere/1", "r", b"", 404, None),
    ],
)
@pytest.mark.parametrize("entry", [0, 1])
def test_a_request_is_answered_by_its_key(
    entry, path, request_id, headers, status, account
):
    async def scenario():
        routes = [*ROUTES, *ACCOUNTS]
        async with running_fleet("shop", "stock", routes=routes) as fleet:
            answer = await fleet.vms[entry].send_request(
                path, request_id, headers=headers
            )
            assert answer.status == status
            assert len(fleet.runs) == (status == 200)
            for seen in fleet.runs:
                fields = {name.lower(): value for name, value in seen.headers}
                assert fields.get(b"dogwooddock-tenant") == account
                assert b"x-api-key" not in fields
            if status in (400, 401):
                assert b"API key" in answer.body

    run(scenario())


class CallerConnection:
    """A caller's connection on which parts of requests can be sent."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    def send_head(self, path, headers, length):
        head = (
            f"POST {path} HTTP/1.1\r\nHost: app.example\r\n{headers}"
            f"Dogwooddock-Request-Id: r\r\nContent-Length: {length}\r\n\r\n"
        )
        self._writer.write(head.encode())

    def send_body(self, body):
        self._writer.write(body)

    async def status(self, wait_s=5.0):
        """Return the status of the next response; 0 if none comes."""
        try:
            async with asyncio.timeout(wait_s):
                block = await self._reader.readuntil(b"\r\n\r\n")
        except TimeoutError:
            return 0
        length = int(block.partition(b"Content-Length:")[2].split()[0])
        await self._reader.readexactly(length)
        return int(block.split()[1])


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/read/1", "", 401),
        ("/read/1", "X-Api-Key: none\r\n", 401),
        ("/read/1", "X-Api-Key: key-z\r\n" * 2, 400),
        ("/nowhere/1", "X-Api-Key: key-z\r\n", 404),
        ("/read/1", "X-Large: " + "x" * 20_000 + "\r\n", 431),
        ("/read/1", "X-Api-Key: key-z\r\n", 0),
        ("/open/1", "", 0),
    ],
)
def test_a_request_is_refused_before_its_body_arrives(path, headers, status):
    async def scenario():
        async with running_fleet("shop", routes=[*ROUTES, *ACCOUNTS]) as fleet:
            address = fleet.vms[0].env.caller_listen
            caller = CallerConnection(*await asyncio.open_connection(*address))
            caller.send_head(path, headers, 8)
            assert await caller.status(5.0 if status else 0.2) == status
            assert not fleet.runs
            if status == 431:
                return
            caller.send_body(b"12345678")
            if not status:
                assert await caller.status() == 200
            caller.send_head("/read/2", "X-Api-Key: key-z\r\n", 0)
            assert await caller.status() == 200
            paths = [run.path for run in fleet.runs]
            assert paths == ([path] if not status else []) + ["/read/2"]

    run(scenario())


def test_requests_are_refused_after_their_body_where_there_are_no_accounts():
    async def scenario():
        async with running_fleet("shop", routes=ROUTES) as fleet:
            address = fleet.vms[0].env.caller_listen
            caller = CallerConnection(*await asyncio.open_connection(*address))
            caller.send_head("/nowhere/1", "", 8)
            assert await caller.status(0.2) == 0
            caller.send_body(b"12345678")
            assert await caller.status() == 404

    run(scenario())


def test_calls_of_a_running_target_need_no_key_and_name_no_account():
    async def scenario():
        async with running_fleet("front", "shop", routes=[*ROUTES, *ACCOUNTS]) as fleet:
            front, shop = fleet.vms
            front.target.mode = TargetMode(calls=(("app.example", "/read/1"),))
            answer = await front.send_request(
                "/chain/1", headers=b"X-Api-Key: key-a1\r\n"
            )
            assert answer.status == 200
            (seen,) = shop.target.runs
            assert not any(b"tenant" in name.lower() for name, _ in seen.headers)

    run(scenario())


def test_headers_pass_unchanged_where_the_configuration_names_no_accounts():
    async def scenario():
        async with running_fleet("shop", routes=ROUTES) as fleet:
            sent = b"X-Api-Key: k\r\nX-Api-Key: l\r\n" + NAMED
            answer = await fleet.vms[0].send_request(headers=sent)
            assert answer.status == 200
            (seen,) = fleet.runs
            block = b"".join(b"%s: %s\r\n" % pair for pair in seen.headers)
            assert sent in block

    run(scenario())


def test_a_version_applies_to_the_next_request():
    async def scenario():
        routes = [*ROUTES, *ACCOUNTS]
        async with running_fleet("shop", routes=routes) as fleet:
            (vm,) = fleet.vms
            keys = [b"X-Api-Key: key-z\r\n", b"X-Api-Key: new\r\n"]
            before = [
                (await vm.send_request(headers=key, request_id=f"b{key!r}"[:5])).status
                for key in keys
            ]
            document = config_document(2, [*ROUTES, account_entry("zeta", "new")])
            await fleet.store.put("op", "config", document)
            await wait_until(lambda: vm.node.config.version == 2)
            after = [(await vm.send_request(headers=key)).status for key in keys]
            assert (before, after) == ([200, 401], [401, 200])

    run(scenario())


def test_no_key_appears_in_metrics_or_state():
    async def scenario():
        async with running_fleet("shop", routes=[*ROUTES, *ACCOUNTS]) as fleet:
            (vm,) = fleet.vms
            for key in (b"key-z", b"key-none"):
                await vm.send_request(headers=b"X-Api-Key: " + key + b"\r\n")
            shown = render_metrics(vm.node) + json.dumps(dump_state(vm.node)).encode()
            assert b"unknown-key" in shown
            assert b'{account="zeta",outcome="answered"} 1' in shown
            assert b"key-z" not in shown
            assert b"key-none" not in shown

    run(scenario())


def test_metrics_name_the_busiest_accounts_and_sum_the_others():
    counts = AccountCounts()
    for index in range(5000):
        for _ in range(1 + 2 * (index < 10)):
            counts.record(f"a{index}", "answered")
    top = counts.top()
    assert {f"a{index}" for index in range(10)} <= set(top)
    assert len(top) <= 21
    assert sum(outcomes.total() for outcomes in top.values()) == 5020
