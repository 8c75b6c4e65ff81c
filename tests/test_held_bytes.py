"""Memory of bodies that a node holds while callers stall, or after it has answered."""

import asyncio
import gc
import tracemalloc
from contextlib import contextmanager

import pytest
from structlog.testing import capture_logs

from bench.mesh_standin import TargetMode
from dogwooddock.http1.client import ConnectionPool, RequestFailure
from dogwooddock.http1.messages import Response, render_request
from dogwooddock.http1.server import HttpServer, ServerLimits
from dogwooddock.mesh.memorywatch import MemoryWatch
from dogwooddock.mesh.metrics import dump_state, render_metrics
from dogwooddock.policy.heldbytes import Held, HeldBytes

from .mesh_helpers import running_fleet, status_of, wait_until
from .virtual_time import run

BODY_BYTES = 900_000
REQUESTS = 12


@contextmanager
def traced_memory():
    """Trace allocations, without the collector that would free cycles at times."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
        gc.enable()


def upload(number, size=BODY_BYTES):
    block = (
        f"Host: app.example\r\nDogwooddock-Request-Id: up-{number}\r\n"
        "Dogwooddock-Deadline-Ms: 5000\r\n"
    ).encode()
    return render_request(b"POST", b"/stock/1", block, b"x" * size)


async def exchange_all(address):
    """Send a request on each of many connections, which stay open."""
    pool = ConnectionPool(address)
    conns = [await pool.open() for _ in range(REQUESTS)]
    for number, conn in enumerate(conns):
        result = await conn.exchange(upload(number))
        assert isinstance(result, Response) and result.status == 200, result
    return conns


def test_idle_connections_hold_no_body_of_an_answered_request():
    async def scenario():
        server = HttpServer(lambda exchange: exchange.respond(200, b"", b"a" * 10))
        address = await server.start(("127.0.0.1", 0))
        with traced_memory() as traced:
            conns = await exchange_all(address)
            held = traced()
        for conn in conns:
            conn.close()
        server.stop()
        return held

    assert asyncio.run(scenario()) < 2 * BODY_BYTES


@pytest.mark.parametrize("ingress", [0, 1], ids=["local-target", "over-a-link"])
def test_nodes_hold_no_body_of_an_answered_request(ingress):
    async def scenario():
        async with running_fleet("stock", "shop") as fleet:
            target = fleet.vms[0].target
            target.mode = TargetMode(body_bytes=BODY_BYTES)
            node = fleet.vms[ingress].node
            await wait_until(lambda: node.fleet.has_members("stock"))
            with traced_memory() as traced:
                conns = await exchange_all(fleet.vms[ingress].env.caller_listen)
                target.runs.clear()
                held = traced()
            for conn in conns:
                conn.close()
            return held

    assert asyncio.run(scenario()) < 4 * BODY_BYTES


async def stall(address):
    """Send all but the last byte of a request; return the status of the answer."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(upload(0)[:-1])
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


async def stall_all(address):
    """Send all but the last byte of a request on each of many connections."""
    writers = []
    for number in range(REQUESTS):
        _, writer = await asyncio.open_connection(*address)
        writer.write(upload(number)[:-1])
        await writer.drain()
        writers.append(writer)
    return writers


def test_unread_answers_count_until_the_caller_is_gone():
    size = 14_000_000  # More than the system takes.

    async def scenario():
        memory = HeldBytes(100)
        answer = lambda exchange: exchange.respond(200, b"", b"x" * size)  # noqa: E731
        server = HttpServer(answer, memory=memory)
        address = await server.start(("127.0.0.1", 0))
        _, writer = await asyncio.open_connection(*address)
        writer.write(upload(0, 1))
        await wait_until(lambda: memory.held_bytes(Held.ANSWER) > BODY_BYTES)
        writer.transport.abort()
        await wait_until(lambda: memory.total_bytes == 0)
        server.stop()

    asyncio.run(scenario())


def test_large_answers_are_not_asked_for_while_unread_ones_fill_the_memory():
    async def scenario():
        async with running_fleet("stock") as fleet:
            vm = fleet.vms[0]
            vm.target.mode = TargetMode(body_bytes=BODY_BYTES)
            memory = vm.node.memory
            assert status_of(await vm.send_request("/stock/1", "first")) == 200
            unread = memory.hold(Held.ANSWER, memory.limit_bytes)
            assert status_of(await vm.send_request("/stock/1", "refused")) == 503
            waiting = asyncio.create_task(vm.send_request("/stock/1", "waits"))
            await wait_until(lambda: memory.waiting == 1)
            memory.release(unread)
            assert status_of(await waiting) == 200
            vm.target.mode = TargetMode()
            assert status_of(await vm.send_request("/stock/1", "other")) == 200
            assert memory.total_bytes == 0
            return [run.request_id for run in vm.target.runs], dump_state(vm.node)

    runs, state = asyncio.run(scenario())
    assert runs == ["first", "waits", "other"]
    assert state["memory"]["waiting"] == 0


def test_requests_of_a_route_not_answered_yet_do_not_wait_for_long():
    async def scenario():
        async with running_fleet("stock") as fleet:
            vm = fleet.vms[0]
            vm.target.mode = TargetMode(work_s=0.3)
            unread = vm.node.memory.hold(Held.ANSWER, vm.node.memory.limit_bytes)
            status = status_of(await vm.send_request("/stock/1", "unknown"))
            vm.node.memory.release(unread)
            return status, vm.node.memory.total_bytes

    assert asyncio.run(scenario()) == (200, 0)


def test_large_calls_beyond_the_memory_of_the_targets_node_are_not_run():
    async def scenario():
        async with running_fleet("stock", "shop") as fleet:
            ingress, memory = fleet.vms[1], fleet.vms[0].node.memory

            async def send(request_id, size):
                options = {"method": "POST", "body": b"x" * size}
                return status_of(
                    await ingress.send_request("/stock/1", request_id, **options)
                )

            others = memory.hold(Held.CALL, memory.limit_bytes)
            assert await send("large", BODY_BYTES) == 503
            assert await send("small", 10) == 200
            memory.release(others)
            assert await send("fits", BODY_BYTES) == 200
            assert memory.total_bytes == 0
            assert memory.refusals[Held.CALL] >= 1
            return [run.request_id for run in fleet.runs]

    assert asyncio.run(scenario()) == ["small", "fits"]


def test_lack_of_memory_is_logged_once_and_counted():
    async def scenario():
        async with running_fleet("stock") as fleet:
            return fleet.vms[0].node.memory, render_metrics(fleet.vms[0].node)

    memory, metrics = asyncio.run(scenario())
    assert b'dogwooddock_held_bytes{kind="unwritten-answers"} 0' in metrics
    watch = MemoryWatch(memory)
    with capture_logs() as lines:
        memory.hold(Held.REQUEST, memory.limit_bytes)
        claim = memory.ask(Held.REQUEST, 1, lambda: None)
        watch.check()
        watch.check()
        memory.release(claim)
        watch.check()
        watch.check()
    assert [line["event"] for line in lines] == ["memory_short", "memory_enough"]
    assert lines[1]["waited"] == lines[1]["given_up"] == 1


async def get_small(address):
    conn = await ConnectionPool(address).open()
    result = await conn.exchange(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    conn.close()
    return result.status


def test_stalled_uploads_hold_no_more_than_the_budget():
    async def scenario():
        limits = ServerLimits(max_body_bytes=BODY_BYTES, header_timeout_s=1.0)
        server = HttpServer(
            lambda exchange: exchange.respond(200, b"", b""),
            limits,
            HeldBytes(4 * BODY_BYTES),
        )
        address = await server.start(("127.0.0.1", 0))
        with traced_memory() as traced:
            stalled = [asyncio.create_task(stall(address)) for _ in range(REQUESTS)]
            await wait_until(lambda: server.memory.waiting == REQUESTS - 3)
            held = traced()
            small = await get_small(address)
            # The rest waits for longer than the timeout of an incomplete request.
            statuses = await asyncio.gather(*stalled)
        server.stop()
        return held, small, statuses, server.memory.total_bytes

    held, small, statuses, left = asyncio.run(scenario())
    assert held < 8 * BODY_BYTES
    assert small == 200
    assert statuses == [408] * REQUESTS
    assert left == 0


def test_whole_uploads_are_served_beside_stalled_ones():
    async def scenario():
        limits = ServerLimits(max_body_bytes=BODY_BYTES, header_timeout_s=0.5)
        server = HttpServer(
            lambda exchange: exchange.respond(200, b"", b""),
            limits,
            HeldBytes(4 * BODY_BYTES),
        )
        address = await server.start(("127.0.0.1", 0))
        stalled = [asyncio.create_task(stall(address)) for _ in range(6)]
        await wait_until(lambda: server.memory.waiting == 3)
        conns = await exchange_all(address)
        for conn in conns:
            conn.close()
        await asyncio.gather(*stalled)
        server.stop()

    asyncio.run(scenario())


def test_upload_that_never_finds_room_is_refused_and_not_run():
    async def scenario():
        handled = []
        server = HttpServer(handled.append, memory=HeldBytes(100))
        address = await server.start(("127.0.0.1", 0))
        others = server.memory.hold(Held.REQUEST, 100)
        assert await stall(address) == 503
        server.memory.release(others)
        server.stop()
        return handled, server.memory.total_bytes

    assert run(scenario()) == ([], 0)


def test_closed_connections_hold_no_part_of_an_incomplete_body():
    async def scenario():
        server = HttpServer(lambda exchange: exchange.respond(200, b"", b""))
        address = await server.start(("127.0.0.1", 0))
        with traced_memory() as traced:
            writers = await stall_all(address)
            await wait_until(lambda: traced() > REQUESTS * BODY_BYTES * 0.8)
            for writer in writers:
                writer.close()
            await wait_until(lambda: not server.connections)
            held = traced()
        server.stop()
        return held

    assert asyncio.run(scenario()) < 2 * BODY_BYTES


def test_lost_target_connections_hold_no_part_of_an_incomplete_answer():
    def cut(exchange):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
        exchange.write_raw(head + b"x" * (BODY_BYTES - 1), close=True)

    async def scenario():
        server = HttpServer(cut)
        address = await server.start(("127.0.0.1", 0))
        with traced_memory() as traced:
            for _ in range(REQUESTS):
                conn = await ConnectionPool(address).open()
                result = await conn.exchange(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                assert isinstance(result, RequestFailure)
                del conn
            held = traced()
        server.stop()
        return held

    assert asyncio.run(scenario()) < 3 * BODY_BYTES


def test_oldest_incomplete_requests_make_room_for_others():
    """Guards against heads without end that crowd out others, or uploads."""
    line = b"a: " + b"h" * 990 + b"\r\n"

    async def scenario():
        memory = HeldBytes(10 * BODY_BYTES, head_limit_bytes=12_000)
        answer = lambda exchange: exchange.respond(200, b"", b"")  # noqa: E731
        server = HttpServer(answer, memory=memory)
        address = await server.start(("127.0.0.1", 0))
        upload_reader, upload_writer = await asyncio.open_connection(*address)
        upload_writer.write(upload(0)[:-1])
        await wait_until(lambda: memory.held_bytes(Held.REQUEST) >= BODY_BYTES)
        conns = [await asyncio.open_connection(*address) for _ in range(5)]
        for _, writer in conns:
            writer.write(b"GET / HTTP/1.1\r\n" + line * 3)
            await asyncio.sleep(0.05)
        statuses = []
        for reader, writer in conns:
            writer.write(b"\r\n")
            statuses.append(int((await reader.readline()).split()[1]))
        upload_writer.write(b"x")
        statuses.append(int((await upload_reader.readline()).split()[1]))
        server.stop()
        return statuses

    assert asyncio.run(scenario()) == [503, 503, 200, 200, 200, 200]


def test_upload_in_progress_is_not_closed_to_make_room_for_connections():
    async def scenario():
        server = HttpServer(
            lambda exchange: exchange.respond(200, b"", b""), max_connections=3
        )
        address = await server.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(upload(0)[:-1])
        await wait_until(lambda: server.memory.held_bytes(Held.REQUEST))
        others = [await asyncio.open_connection(*address) for _ in range(6)]
        await wait_until(lambda: len(server.connections) == 3)
        writer.write(b"x")
        line = await reader.readline()
        server.stop()
        return line, others

    assert b"200" in asyncio.run(scenario())[0]


def test_time_of_a_pipelined_request_runs_from_its_arrival():
    arrived = []

    def handle(exchange):
        arrived.append(exchange.arrived_at)
        asyncio.get_running_loop().call_later(0.5, exchange.respond, 200, b"", b"")

    async def scenario():
        memory = HeldBytes(BODY_BYTES, small_limit_bytes=10_000)
        memory.hold(Held.SMALL, 6_000)  # One request of a connection at a time.
        server = HttpServer(handle, memory=memory)
        address = await server.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
        for _ in range(3):
            await reader.readuntil(b"\r\n\r\n")
        writer.close()
        server.stop()

    run(scenario())
    assert max(arrived) - min(arrived) < 0.1
