"""Callers that close their sending side and go on reading.

Guards against requests that such callers sent whole and that get no answer, and against
work that goes on for callers that have gone.
"""

import asyncio
import errno
import socket
import struct
import time
from asyncio import StreamWriter
from contextlib import asynccontextmanager

import pytest
import structlog

from bench.mesh_standin import TargetMode
from dogwooddock.http1.halfclose import HalfCloseWatch
from dogwooddock.http1.server import HttpServer
from dogwooddock.policy.halfclose import (
    HalfClosePolicy,
    PausedClient,
    client_while_paused,
)
from dogwooddock.policy.heldbytes import Held, HeldBytes

from .mesh_helpers import running_fleet
from .virtual_time import run

WORK_S = 0.6
BODY_BYTES = 6_000_000
# Time in which the work for a caller that has gone ends.
NOTICE_S = 0.45
DRAIN_S = 2.0
BOUNDS = {"grace_s": 6.0, "drain_s": DRAIN_S}


def request(path, name, method="GET", body=b"", version="1.1", *headers):
    lines = [f"{method} {path} HTTP/{version}", "Host: app.example", *headers]
    lines += [f"Dogwooddock-Request-Id: {name}", "Dogwooddock-Deadline-Ms: 4000"]
    if body and not headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


GET = request("/read/1", "a")
OTHER = request("/read/2", "d")
POST = request("/order/1", "b", "POST", b"one")
CHUNKED = request(
    "/order/2",
    "c",
    "POST",
    b"3\r\none\r\n0\r\n\r\n",
    "1.1",
    "Transfer-Encoding: chunked",
)
OLD_POST = request("/order/3", "e", "POST", b"one", "1.0", "Content-Length: 3")


async def received_after_half_close(address, data, pause_s=0.0):
    """Return what the node writes until it closes, read after a pause."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    writer.write_eof()
    await asyncio.sleep(pause_s)
    received = await reader.read()
    writer.close()
    return received


def final_statuses(received):
    lines = [line for line in received.split(b"\r\n") if b"HTTP/1.1 " in line]
    statuses = [int(line.partition(b"HTTP/1.1 ")[2][:3]) for line in lines]
    return [status for status in statuses if status >= 200]


@pytest.mark.parametrize("stop_after_s", [None, 0.15])
@pytest.mark.parametrize(
    ("data", "answers"),
    [
        (GET, [200]),
        (POST, [200]),
        (CHUNKED, [200]),
        (GET + OTHER + POST, [200] * 3),
        (GET + POST[:-1], [200]),
        (OLD_POST, [200]),
    ],
    ids=["get", "post", "chunked", "pipelined", "rest-incomplete", "http-1.0"],
)
def test_caller_that_sends_no_more_is_answered(data, answers, stop_after_s):
    async def scenario():
        async with running_fleet("shop", "shop", bounds=BOUNDS) as fleet:
            vm = fleet.vms[0]
            for each in fleet.vms:
                each.target.mode = TargetMode(work_s=WORK_S)
            asking = asyncio.create_task(
                received_after_half_close(vm.env.caller_listen, data)
            )
            if stop_after_s is not None:
                await asyncio.sleep(stop_after_s)
                await asyncio.wait_for(vm.node.stop(), DRAIN_S + 2 * WORK_S)
            assert final_statuses(await asking) == answers

    run(scenario())


def test_http_1_0_caller_gets_no_interim_response():
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            vm.target.mode = TargetMode(work_s=WORK_S)
            address = vm.env.caller_listen
            received = await received_after_half_close(address, OLD_POST)
            assert received.startswith(b"HTTP/1.1 200 ")
            old_get = request("/read/1", "f", version="1.0")
            assert await received_after_half_close(address, old_get) == b""

    run(scenario())


@pytest.mark.parametrize("data", [POST[:-1], GET[:-1]])
def test_incomplete_request_at_the_end_of_input_does_not_run(data):
    async def scenario():
        async with running_fleet("shop") as fleet:
            address = fleet.vms[0].env.caller_listen
            assert await received_after_half_close(address, data) == b""
            assert fleet.runs == []

    run(scenario())


def test_late_reader_that_sends_no_more_gets_the_whole_answer():
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            vm.target.mode = TargetMode(work_s=0.1, body_bytes=BODY_BYTES)
            received = await received_after_half_close(vm.env.caller_listen, GET, 2.0)
            assert received.endswith(b"x" * BODY_BYTES)

    run(scenario())


async def _leave(address, data, leave):
    """Send a request, leave while it runs, and return the node's failure lines."""
    _, writer = await asyncio.open_connection(*address)
    writer.write(data)
    await asyncio.sleep(0.1)
    with structlog.testing.capture_logs() as lines:
        leave(writer)
        await asyncio.sleep(NOTICE_S)
    writer.transport.abort()
    return [line for line in lines if line["event"] == "request_failed"]


def _reset(writer):
    sock = writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@pytest.mark.parametrize(
    ("version", "leave", "state"),
    [
        ("1.1", _reset, "gone"),
        ("1.1", StreamWriter.close, "gone"),
        ("1.0", StreamWriter.write_eof, "sends-no-more"),
    ],
    ids=["reset", "close", "end-of-input"],
)
def test_log_tells_callers_that_are_gone_from_those_that_send_no_more(
    version, leave, state
):
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            vm.target.mode = TargetMode(work_s=2.0)
            data = request("/read/1", "a", version=version)
            (line,) = await _leave(vm.env.caller_listen, data, leave)
            assert (line["reason"], line["client"]) == ("cancelled", state)

    run(scenario())


async def _stall(stall_s):
    """Keep the event loop busy."""
    while True:
        time.sleep(stall_s)
        await asyncio.sleep(0)


def _close_late(writer):
    """Send no more, and close with an interim response unread."""
    writer.transport.pause_reading()
    writer.write_eof()
    asyncio.get_running_loop().call_later(1.0, writer.transport.abort)


@pytest.mark.parametrize("stall_s", [0.0, 0.05])
@pytest.mark.parametrize(
    ("leave", "left_s"),
    [(StreamWriter.close, 0.0), (_reset, 0.0), (_close_late, 1.0)],
    ids=["close", "reset", "late-close"],
)
@pytest.mark.parametrize("data", [GET, GET + OTHER], ids=["get", "pipelined"])
def test_work_for_callers_that_are_gone_ends(data, leave, left_s, stall_s):
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            vm.target.mode = TargetMode(work_s=3.0)
            handle, runs = vm.target._server.handler, []

            def record(exchange):
                if exchange.request.path.startswith(b"/read/"):
                    runs.append(exchange)
                handle(exchange)

            vm.target._server.handler = record
            _, writer = await asyncio.open_connection(*vm.env.caller_listen)
            writer.write(data)
            await asyncio.sleep(0.2)
            stalling = asyncio.create_task(_stall(stall_s)) if stall_s else None
            loop = asyncio.get_running_loop()
            left_at = loop.time() + left_s
            leave(writer)
            while not all(exchange.disconnected for exchange in runs):
                assert loop.time() < left_at + NOTICE_S
                await asyncio.sleep(0.01)
            assert len(runs) == data.count(b"GET ")
            assert loop.time() >= left_at
            if stalling is not None:
                stalling.cancel()

    run(scenario())


class _Peer(asyncio.Transport):
    """A closed peer whose network resets at a given write."""

    def __init__(self, resets_at):
        super().__init__()
        self.writes_left = resets_at

    def write(self, data):
        self.writes_left -= 1

    def get_extra_info(self, name, default=None):
        return self

    def getsockopt(self, level, option):
        return errno.EPIPE if self.writes_left <= 0 else 0

    def is_closing(self):
        return False


@pytest.mark.parametrize("resets_at", [1, 2])
@pytest.mark.parametrize("stall_s", [0.0, 0.05, 0.1])
def test_reset_at_the_first_or_second_write_is_noticed(resets_at, stall_s):
    async def scenario():
        loop = asyncio.get_running_loop()
        stalling = asyncio.create_task(_stall(stall_s)) if stall_s else None
        noticed_at = loop.create_future()
        ended_at = loop.time()
        HalfCloseWatch(
            _Peer(resets_at),
            HalfClosePolicy(ended_at, "1.1"),
            lambda: noticed_at.set_result(loop.time()),
        )
        assert await noticed_at - ended_at < NOTICE_S
        if stalling is not None:
            stalling.cancel()

    run(scenario())


@pytest.mark.parametrize(("version", "writes"), [("1.1", 2), ("1.0", 0)])
def test_interim_responses_are_bounded(version, writes):
    policy = HalfClosePolicy(0.0, version)
    now, written = 0.0, 0
    while now < 20.0:
        step = policy.step(now)
        written += step.writes
        assert 0 < step.pause_s <= 0.1
        now += step.pause_s
    assert written == writes


@pytest.mark.parametrize("leave", [StreamWriter.close, _reset])
@pytest.mark.parametrize("pipelined", [63, 64])
def test_caller_that_is_gone_is_noticed_however_much_it_pipelined(pipelined, leave):
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            vm.target.mode = TargetMode(work_s=3.0)
            _, writer = await asyncio.open_connection(*vm.env.caller_listen)
            names = [f"g{number}" for number in range(pipelined)]
            writer.write(b"".join(request("/read/1", name) for name in names))
            await asyncio.sleep(0.2)
            assert vm.node.ingress.in_flight
            leave(writer)
            await asyncio.sleep(NOTICE_S)
            assert vm.node.ingress.in_flight == 0

    run(scenario())


LARGE_BYTES = 14_000_000  # More than the system takes.
UPLOAD = request("/order/4", "h", "POST", b"x" * 100_000)
OLD_UPLOAD = request(
    "/order/5", "i", "POST", b"x" * 100_000, "1.0", "Content-Length: 100000"
)
MORE_THAN_IS_READ = b"".join(request("/read/1", f"m{n}") for n in range(200))


def _answer_large_first(exchange):
    if exchange.request.path == b"/read/1":
        exchange.respond(200, b"", b"x" * LARGE_BYTES)


@asynccontextmanager
async def _paused_connection(handler, data):
    """Connect to a server without memory for bodies; wait until it reads no more."""
    server = HttpServer(handler, memory=HeldBytes(100))
    server.memory.hold(Held.REQUEST, 100)
    server.answers_half_closed = True
    address = await server.start(("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    while not any(conn._pending and _is_paused(conn) for conn in server.connections):
        await asyncio.sleep(0.01)
    yield server, reader, writer
    writer.transport.abort()
    server.stop()


def _is_paused(conn):
    return not conn._transport.is_reading()


@pytest.mark.parametrize("leave", [StreamWriter.close, _reset])
@pytest.mark.parametrize(
    ("handler", "data"),
    [
        (lambda exchange: None, MORE_THAN_IS_READ),
        (lambda exchange: None, GET + UPLOAD),
        (lambda exchange: None, GET + OLD_UPLOAD),
        (_answer_large_first, GET + OTHER),
    ],
    ids=["pipelined", "waits-for-memory", "http-1.0", "answers-unread"],
)
def test_caller_that_is_gone_is_noticed_while_reading_is_paused(handler, data, leave):
    async def scenario():
        async with _paused_connection(handler, data) as (server, _, writer):
            leave(writer)
            await asyncio.sleep(NOTICE_S)
            assert not server.connections

    run(scenario())


@pytest.mark.parametrize("sends_on", [False, True], ids=["sends-no-more", "sends-on"])
def test_caller_that_pipelines_much_and_waits_long_gets_every_answer(sends_on):
    async def scenario():
        handled = []
        data = MORE_THAN_IS_READ
        async with _paused_connection(handled.append, data) as (_, reader, writer):
            if not sends_on:
                writer.write_eof()
            await asyncio.sleep(1.0)
            received = b""
            for number in range(200):
                while number >= len(handled):
                    await asyncio.sleep(0.01)
                handled[number].respond(200, b"", b"")
            while len(final_statuses(received)) < 200:
                received += await asyncio.wait_for(reader.read(65536), 1.0)
            assert (b" 100 Continue" in received) is not sends_on
            if not sends_on:
                assert await reader.read() == b""

    run(scenario())


def test_caller_that_reads_late_and_sends_no_more_gets_the_answers_whole():
    async def scenario():
        handled = []

        def handler(exchange):
            handled.append(exchange)
            _answer_large_first(exchange)

        async with _paused_connection(handler, GET + OTHER) as (_, reader, writer):
            writer.write_eof()
            await asyncio.sleep(1.0)
            received = await reader.readexactly(LARGE_BYTES)
            handled[1].respond(200, b"", b"end")
            received += await reader.read()
            assert final_statuses(received) == [200, 200]
            assert b"x" * LARGE_BYTES in received and received.endswith(b"end")

    run(scenario())


def test_no_interim_response_follows_the_last_response_while_a_body_waits():
    async def scenario():
        handled = []
        data = GET + UPLOAD
        async with _paused_connection(handled.append, data) as (_, reader, writer):
            writer.write_eof()
            await reader.readuntil(b" 100 Continue\r\n\r\n")
            handled[0].respond(200, b"", b"end")
            await asyncio.sleep(0.3)
            assert (await reader.read(65536)).endswith(b"end")

    run(scenario())


@pytest.mark.parametrize(
    ("look", "client"),
    [
        ((False, False, 64, 0), PausedClient.STAYS),
        ((False, True, 64, 0), PausedClient.SENDS_NO_MORE),
        ((False, True, 64, 1), PausedClient.STAYS),
        ((False, True, 0, 0), PausedClient.STAYS),
        ((True, True, 64, 1), PausedClient.GONE),
    ],
)
def test_look_while_reading_is_paused_tells_who_is_gone(look, client):
    assert client_while_paused(*look) is client
