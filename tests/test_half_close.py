"""Callers that close their sending side and go on reading.

Guards against requests that such callers sent whole and that get no answer, and against
work that goes on for callers that have gone.
"""

import asyncio
import socket
import struct
from asyncio import StreamWriter

import pytest
import structlog

from bench.mesh_standin import TargetMode

from .mesh_helpers import running_fleet
from .virtual_time import run

WORK_S = 0.6
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


async def statuses_after_half_close(address, data):
    """Return the statuses of the final responses until the end of the connection."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    writer.write_eof()
    received = await reader.read()
    writer.close()
    lines = [line for line in received.split(b"\r\n") if b"HTTP/1.1 " in line]
    statuses = [int(line.partition(b"HTTP/1.1 ")[2][:3]) for line in lines]
    return [status for status in statuses if status >= 200]


@pytest.mark.parametrize("stop_after_s", [None, 0.15])
@pytest.mark.parametrize(
    ("data", "answers"),
    [(GET, [200]), (POST, [200]), (CHUNKED, [200]), (GET + OTHER + POST, [200] * 3)],
    ids=["get", "post", "chunked", "pipelined"],
)
def test_caller_that_sends_no_more_is_answered(data, answers, stop_after_s):
    async def scenario():
        async with running_fleet("shop", "shop", bounds=BOUNDS) as fleet:
            vm = fleet.vms[0]
            for each in fleet.vms:
                each.target.mode = TargetMode(work_s=WORK_S)
            asking = asyncio.create_task(
                statuses_after_half_close(vm.env.caller_listen, data)
            )
            if stop_after_s is not None:
                await asyncio.sleep(stop_after_s)
                await asyncio.wait_for(vm.node.stop(), DRAIN_S + 2 * WORK_S)
            assert await asking == answers

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
        ("1.0", StreamWriter.write_eof, "sends-no-more"),
    ],
    ids=["reset", "end-of-input"],
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
