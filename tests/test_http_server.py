"""Requests that are answered from their head, before the body has arrived.

Guards against responses that get out of order, bodies that are taken for the next
request, and connections that stay open for a body without end.
"""

import asyncio

import pytest

from dogwooddock.http1.server import HttpServer, ServerLimits

from .virtual_time import run

LIMITS = ServerLimits(max_body_bytes=2000, header_timeout_s=0.4)
BIG_BYTES = 1500
BIG = b"x" * BIG_BYTES


def head(path, length=BIG_BYTES, *headers):
    lines = [f"POST /{path} HTTP/1.1", "Host: a", *headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


GET = b"GET /get HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = head("no", None, "Transfer-Encoding: chunked")


class Server:
    """Server that answers 401 to the head of requests whose path begins with /no."""

    def __init__(self, has_check=True):
        self.handled, self.checked = [], []
        self._http = HttpServer(self._handle, LIMITS)
        if has_check:
            self._http.head_check = self._check

    def _handle(self, exchange):
        self.handled.append((exchange.request.path, exchange.request.body))
        if exchange.request.path == b"/slow":
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, exchange.respond, 200, b"", b"slow")
        else:
            exchange.respond(200, b"", b"ok")

    def _check(self, exchange):
        self.checked.append(exchange.request.path)
        if exchange.request.path == b"/fails":
            raise ValueError("fault of the check")
        if exchange.request.path.startswith(b"/no"):
            exchange.respond(401, b"", b"key")

    async def __aenter__(self):
        address = await self._http.start(("127.0.0.1", 0))
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    async def __aexit__(self, *failure):
        self.writer.close()
        self._http.stop()

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()
        await asyncio.sleep(0.02)

    async def response(self):
        """Return status and body, and whether the server closes; 0 at the end."""
        block = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = int(block.partition(b"content-length:")[2].split()[0])
        body = await self.reader.readexactly(length)
        return int(block.split()[1]), body, b"connection: close" in block

    async def is_closed(self):
        return await asyncio.wait_for(self.reader.read(1), 2.0) == b""


@pytest.mark.parametrize("start", [head("no"), CHUNKED, head("no") + BIG[:7]])
def test_refusal_is_sent_before_the_body_arrives(start):
    async def scenario():
        async with Server() as server:
            await server.send(start)
            assert await server.response() == (401, b"key", False)
            assert server.handled == []

    run(scenario())


@pytest.mark.parametrize(
    ("start", "rest"),
    [
        (head("no"), BIG),
        (CHUNKED, b"5dc\r\n" + BIG + b"\r\n0\r\n\r\n"),
        (head("no") + BIG[:9], BIG[9:]),
        (head("no") + BIG, b""),
    ],
)
def test_connection_serves_on_once_the_body_is_dropped(start, rest):
    async def scenario():
        async with Server() as server:
            await server.send(start)
            await server.send(rest + GET)
            assert await server.response() == (401, b"key", False)
            assert await server.response() == (200, b"ok", False)
            assert server.handled == [(b"/get", b"")]

    run(scenario())


@pytest.mark.parametrize("pieces", [1, 2, 40])
def test_pipelined_requests_are_answered_in_order(pieces):
    slow, other = head("slow", 2) + b"ab", head("no/2") + BIG
    data = GET + slow + head("no/1") + BIG + GET + other + GET

    async def scenario():
        async with Server() as server:
            size = -(-len(data) // pieces)
            for begin in range(0, len(data), size):
                server.writer.write(data[begin : begin + size])
                await asyncio.sleep(0.001)
            answers = [await server.response() for _ in range(6)]
            assert [status for status, _, _ in answers] == [
                200,
                200,
                401,
                200,
                401,
                200,
            ]
            assert answers[1][1] == b"slow"
            paths = [path for path, _ in server.handled]
            assert paths == [b"/get", b"/slow", b"/get", b"/get"]

    run(scenario())


def test_client_that_asks_to_close_gets_the_answer_and_the_end_after_its_body():
    async def scenario():
        async with Server() as server:
            await server.send(head("no", BIG_BYTES, "Connection: close"))
            assert await server.response() == (401, b"key", True)
            await server.send(BIG[:100])
            await server.send(BIG[100:])
            assert await server.is_closed()

    run(scenario())


def test_client_that_awaits_continue_is_refused_and_sends_no_further_request():
    async def scenario():
        async with Server() as server:
            await server.send(head("no", BIG_BYTES, "Expect: 100-continue"))
            assert await server.response() == (401, b"key", True)
            await server.send(GET)
            assert await server.is_closed()
            assert server.handled == []

    run(scenario())


@pytest.mark.parametrize(
    ("start", "rest"),
    [
        (head("no"), b""),  # The body does not come.
        (head("no", 5000), b"x" * 2100),  # It is larger than the limit.
        (head("no", 5000) + b"x" * 2100, b""),
        (CHUNKED, b"zz\r\n"),
        (CHUNKED + b"zz\r\n", b""),
    ],
)
def test_body_that_is_not_whole_ends_the_connection_after_one_answer(start, rest):
    async def scenario():
        async with Server() as server:
            await server.send(start)
            assert (await server.response())[:2] == (401, b"key")
            await server.send(rest)
            assert await server.is_closed()
            assert server.handled == []

    run(scenario())


@pytest.mark.parametrize("path", ["yes", "fails"])
def test_other_requests_are_handled_once_their_body_is_complete(path):
    async def scenario():
        async with Server() as server:
            await server.send(head(path))
            assert server.handled == []
            await server.send(BIG)
            assert (await server.response())[0] == 200
            assert server.handled == [(b"/" + path.encode(), BIG)]

    run(scenario())


def test_nothing_is_checked_without_a_body_or_without_a_check():
    async def scenario():
        async with Server() as server:
            await server.send(GET + head("no", 0))
            assert [(await server.response())[0] for _ in range(2)] == [200, 200]
            assert server.checked == []
        async with Server(has_check=False) as server:
            await server.send(head("no") + BIG)
            assert await server.response() == (200, b"ok", False)

    run(scenario())


@pytest.mark.parametrize(
    ("before", "after", "status"),
    [
        (ServerLimits(max_body_bytes=1000), ServerLimits(max_body_bytes=2000), 200),
        (ServerLimits(max_body_bytes=2000), ServerLimits(max_body_bytes=1000), 413),
        (ServerLimits(max_header_bytes=40), ServerLimits(max_header_bytes=400), 200),
        (ServerLimits(max_header_bytes=400), ServerLimits(max_header_bytes=40), 431),
    ],
)
def test_new_limits_hold_for_the_next_request_of_an_open_connection(
    before, after, status
):
    async def scenario():
        async with Server(has_check=False) as server:
            server._http.limits = before
            server.writer.close()
            address = server._http._server.sockets[0].getsockname()
            server.reader, server.writer = await asyncio.open_connection(*address)
            await server.send(GET)
            assert (await server.response())[0] == 200
            server._http.limits = after
            await server.send(head("post", BIG_BYTES, "X-Long: " + "y" * 60) + BIG)
            assert (await server.response())[0] == status

    run(scenario())


@pytest.mark.parametrize("part_bytes", [1, len(GET) - 1])
@pytest.mark.parametrize("pause_s", [0.0, 0.3])
def test_response_that_closes_reaches_a_client_that_still_sends(part_bytes, pause_s):
    """The client writes the rest of its next request after the server has closed."""

    async def scenario():
        async with Server(has_check=False) as server:
            server._http.draining = True
            await server.send(GET)
            await asyncio.sleep(pause_s)
            await server.send(GET[:part_bytes])
            await server.send(GET[part_bytes:])
            await server.send(GET)
            assert await server.response() == (200, b"ok", True)
            assert await server.is_closed()

    run(scenario())


def test_connection_of_a_client_that_sends_on_after_the_close_is_ended():
    async def scenario():
        async with Server(has_check=False) as server:
            server._http.draining = True
            await server.send(GET)
            assert await server.response() == (200, b"ok", True)
            loop = asyncio.get_running_loop()
            until = loop.time() + 3.0
            while server._http.connections and loop.time() < until:
                await server.send(b"x")
            assert not server._http.connections

    run(scenario())


BROKEN = b"GET /get HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"
UPGRADE = b"GET /get HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
UPGRADING_HEAD = head("no", BIG_BYTES, "Connection: upgrade", "Upgrade: h2c")
LAST = b"GET /get HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
SLOW = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize(
    ("first", "second", "statuses"),
    [
        (GET, BROKEN, [200, 400]),
        (GET, UPGRADE, [200, 400]),
        (SLOW, b"\0\r\n\r\n", [200, 400]),
        (GET + SLOW, BROKEN, [200, 200, 400]),
        (head("no") + BIG, BROKEN, [401, 400]),
        (LAST, GET, [200]),
        (LAST, BROKEN, [200]),
        (b"", UPGRADE, [400]),
        (UPGRADING_HEAD, BIG, [401]),
    ],
)
def test_whole_request_ahead_of_one_that_cannot_be_read_is_answered(
    first, second, statuses, together
):
    async def scenario():
        async with Server() as server:
            parts = [first + second] if together else [first, second]
            for part in parts:
                await server.send(part)
            responses = [await server.response() for _ in statuses]
            assert [status for status, _, _ in responses] == statuses
            assert [closes for _, _, closes in responses].index(True) == (
                len(statuses) - 1
            )
            assert await server.is_closed()
            assert len(server.handled) == statuses.count(200)

    run(scenario())


def test_client_that_pauses_in_reading_gets_its_whole_answer():
    """Guards against a reset by the system, before the timeout of slow readers."""
    size = 14_000_000  # More than the system takes.

    async def scenario():
        server = HttpServer(lambda exchange: exchange.respond(200, b"", b"x" * size))
        address = await server.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        await asyncio.sleep(5.5)
        writer.transport.resume_reading()
        assert len(await reader.readexactly(size)) == size
        writer.close()
        server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("error", [OSError(107, "not connected"), ValueError("fault")])
def test_connection_that_fails_at_its_end_does_not_keep_others_open(error):
    """Guards against timeouts, and a stop, that end with one connection's exception."""

    def fail(*args):
        raise error

    async def scenario():
        async with Server() as server:
            http = server._http
            await server.send(GET)
            assert await server.response() == (200, b"ok", False)
            (broken,) = http.connections
            broken._transport.write_eof = broken.sweep = fail
            address = broken._transport.get_extra_info("sockname")
            reader, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(0.1)
            http.close_idle()
            assert await asyncio.wait_for(reader.read(1), 2.0) == b""
            writer.close()
            await asyncio.sleep(1.2)
            assert not http.connections
            assert not http._sweeper.done()

    run(scenario())


def test_connections_take_turns_however_many_requests_one_has_sent():
    """Guards against a client that keeps the node from others, and from its stop."""

    async def scenario():
        async with Server() as server:
            (conn,) = await _accepted(server)
            conn.data_received(GET * 300)
            at_once = len(server.handled)
            for _ in range(300):
                await asyncio.sleep(0)
            return at_once, len(server.handled)

    at_once, in_all = run(scenario())
    assert at_once < 64
    assert in_all == 300


async def _accepted(server):
    while not server._http.connections:
        await asyncio.sleep(0.01)
    return server._http.connections
