"""HEAD requests, whose responses have no body whatever length they name.

Guards against requests that wait for a body until their deadline, and against bodies
that the caller would read as its next response.
"""

import asyncio

import pytest

from bench.mesh_standin import TargetMode
from dogwooddock.http1.responseparser import ResponseParser

from .mesh_helpers import running_fleet
from .virtual_time import run


def _head(path, request_id):
    return (
        f"HEAD {path} HTTP/1.1\r\nHost: app.example\r\n"
        f"Dogwooddock-Request-Id: {request_id}\r\nDogwooddock-Deadline-Ms: 1000\r\n\r\n"
    ).encode()


@pytest.mark.parametrize(
    ("path", "mode", "status"),
    [
        ("/read/1", TargetMode(), 200),
        ("/read/1", TargetMode(body_bytes=20_000), 200),
        ("/read/1", TargetMode(status=500), 500),
        ("/read/1", TargetMode(shed=True), 503),
        ("/none/1", TargetMode(), 404),
    ],
)
def test_head_request_is_answered_without_a_body(path, mode, status):
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            vm.target.mode = mode
            reader, writer = await asyncio.open_connection(*vm.env.caller_listen)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            for name in ("first", "second"):
                writer.write(_head(path, name))
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 %d " % status)
            assert loop.time() - began_at < 1.0
            writer.close()

    run(scenario())


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 9\r\n", b"Content-Length: 0\r\n", b"", b"X: 1\r\n"],
)
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_response_without_a_body_is_complete_with_its_head(framing, interim):
    parser = ResponseParser(1000, 1000)
    parser.bodiless = True
    (response,) = parser.feed(interim + b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n")
    assert (response.status, response.body) == (200, b"")
    assert not response.keep_alive
    assert parser.feed_eof() is None
