"""Nodes that stop while requests run, arrive and are answered.

Guards against requests that a stopping node takes and leaves without an answer, and
against answers that are cut off.
"""

import asyncio
import socket

import pytest

from bench.mesh_standin import TargetMode
from dogwooddock.policy.outcomes import RETRY_INVITING_STATUSES

from .mesh_helpers import is_lost, route_entry, running_fleet
from .virtual_time import run

GRACE_S = 6.0
DRAIN_S = 2.0
# From here on, a request that was taken must be answered.
EXEMPT_S = 3.0
PERIOD_S = 0.1
BOUNDS = {"grace_s": GRACE_S, "drain_s": DRAIN_S}


async def _ask(vm, path, name, wait_ms, results):
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    try:
        answer = await vm.send_request(path, name, wait_ms=wait_ms)
    except OSError:
        return  # Not connected any more.
    results[name] = (sent_at, answer)


@pytest.mark.parametrize("work_s", [0.1, 0.9])
@pytest.mark.parametrize("wait_ms", [1200, 5000])
def test_requests_during_a_stop_beside_a_busy_target_are_answered(work_s, wait_ms):
    """The local target runs a long request; the callers of the node go on."""

    async def scenario():
        async with running_fleet("shop", "stock", bounds=BOUNDS) as fleet:
            shop, stock = fleet.vms
            shop.target.mode = TargetMode(work_s=4.5)
            stock.target.mode = TargetMode(work_s=work_s)
            stock.target.slots = 1000
            loop = asyncio.get_running_loop()
            stopped_at = loop.time()
            stopping = asyncio.create_task(shop.node.stop())
            results = {}
            tasks = []
            while not stopping.done():
                after_s = loop.time() - stopped_at
                if after_s >= 0.8 and not any(n.startswith("long") for n in results):
                    results.setdefault("long", None)
                    tasks.append(
                        asyncio.create_task(
                            _ask(stock, "/read/1", "long-1", 6000, results)
                        )
                    )
                name = f"short-{len(tasks)}"
                asking = _ask(shop, "/stock/1", name, wait_ms, results)
                tasks.append(asyncio.create_task(asking))
                await asyncio.sleep(PERIOD_S)
            stopped_s = loop.time() - stopped_at
            for server in shop.node.listeners.servers:
                for conn in list(server.connections):
                    conn.abort()
            await asyncio.gather(*tasks)
            del results["long"]
            ran = {seen.request_id for seen in fleet.runs}
            lost = [n for n, (_, answer) in results.items() if is_lost(answer)]
            assert [name for name in lost if name in ran] == []
            for name, (sent_at, answer) in results.items():
                if is_lost(answer):
                    continue
                assert answer.status in (200, 503), (name, sent_at - stopped_at)
                assert answer.status == 200 or name not in ran
            assert results["long-1"][1].status == 200
            assert stopped_s < GRACE_S

    run(scenario())


async def _stop(vm):
    """Stop a node, and end its connections as its process would."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await vm.node.stop()
    for server in vm.node.listeners.servers:
        for conn in list(server.connections):
            conn.abort()
    return loop.time() - began_at


@pytest.mark.parametrize("work_s", [0.05, 0.9])
def test_late_calls_of_the_local_target_are_answered_before_the_exit(work_s):
    """The run that makes them began in the drain and lasts beyond the grace period."""

    async def scenario():
        async with running_fleet("shop", "stock", bounds=BOUNDS) as fleet:
            shop, stock = fleet.vms
            shop.target.mode = TargetMode(work_s=7.0)
            stock.target.mode = TargetMode(work_s=work_s)
            results = {}
            run = asyncio.create_task(_ask(stock, "/read/1", "run", 8000, results))
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(_stop(shop))
            tasks = []
            while not stopping.done():
                asking = _ask(shop, "/stock/1", f"run.{len(tasks)}", 2000, results)
                tasks.append(asyncio.create_task(asking))
                await asyncio.sleep(PERIOD_S)
            await asyncio.gather(run, *tasks)
            ran = {seen.request_id for seen in stock.target.runs}
            answers = {name: answer for name, (_, answer) in results.items()}
            assert [name for name in ran if is_lost(answers[name])] == []
            assert [
                name for name in ran if answers[name].status in RETRY_INVITING_STATUSES
            ] == []
            assert await stopping < GRACE_S

    run(scenario())


@pytest.mark.parametrize("work_s", [0.05, 0.5])
def test_requests_that_usually_end_before_the_exit_are_served(work_s):
    """Their callers would wait longer than the node has left."""

    async def scenario():
        async with running_fleet("shop", "stock", bounds=BOUNDS) as fleet:
            shop, stock = fleet.vms
            stock.target.mode = TargetMode(work_s=work_s)
            shop.target.mode = TargetMode(work_s=7.0)
            results = {}
            for number in range(20):
                await _ask(shop, "/stock/1", f"before-{number}", 5000, results)
            run = asyncio.create_task(_ask(stock, "/read/1", "run", 8000, results))
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            stopped_at = loop.time()
            stopping = asyncio.create_task(_stop(shop))
            tasks = []
            while loop.time() < stopped_at + GRACE_S - 2.5 * work_s - 1.0:
                asking = _ask(shop, "/stock/1", f"during-{len(tasks)}", 5000, results)
                tasks.append(asyncio.create_task(asking))
                await asyncio.sleep(PERIOD_S)
            await asyncio.gather(run, stopping, *tasks)
            refused = [
                (name, sent_at - stopped_at)
                for name, (sent_at, answer) in results.items()
                if name.startswith("during") and answer.status != 200
            ]
            assert refused == []

    run(scenario())


def test_calls_of_the_local_target_are_served_though_one_took_long_before():
    """Refusing them would fail the runs that the node waits for."""

    async def scenario():
        async with running_fleet("shop", "stock", bounds=BOUNDS) as fleet:
            shop, stock = fleet.vms
            shop.target.mode = TargetMode(work_s=7.0)
            stock.target.mode = TargetMode(0.05, work_by_path=(("/stock/slow", 2.5),))
            results = {}
            await _ask(shop, "/stock/slow", "before-slow", 5000, results)
            for number in range(20):
                await _ask(shop, "/stock/1", f"before-{number}", 5000, results)
            run = asyncio.create_task(_ask(stock, "/read/1", "run", 8000, results))
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(_stop(shop))
            for number in range(40):
                await _ask(shop, "/stock/1", f"run.{number}", 2000, results)
                await asyncio.sleep(0.05)
            await asyncio.gather(run, stopping)
            calls = [name for name in results if name.startswith("run.")]
            assert len(calls) == 40
            assert [n for n in calls if results[n][1].status != 200] == []

    run(scenario())


@pytest.mark.parametrize("sent_s", [-0.5, 1.0])
def test_requests_that_outlast_the_grace_period_get_an_answer(sent_s):
    async def scenario():
        async with running_fleet("shop", "stock", bounds=BOUNDS) as fleet:
            shop, stock = fleet.vms
            stock.target.mode = TargetMode(work_s=7.5)
            results = {}
            asking = _ask(shop, "/stock/1", "long", 8000, results)
            if sent_s < 0:
                task = asyncio.create_task(asking)
                await asyncio.sleep(-sent_s)
                stopping = asyncio.create_task(_stop(shop))
            else:
                stopping = asyncio.create_task(_stop(shop))
                await asyncio.sleep(sent_s)
                task = asyncio.create_task(asking)
            assert await stopping < GRACE_S
            await task
            _, answer = results["long"]
            assert not is_lost(answer)
            assert answer.status in (502, 504)

    run(scenario())


@pytest.mark.parametrize("sent_s", [0.5, 3.0])
def test_targets_get_no_more_time_than_a_stopping_node_has_left(sent_s):
    async def scenario():
        async with running_fleet("shop", "stock", bounds=BOUNDS) as fleet:
            shop, stock = fleet.vms
            shop.target.mode = TargetMode(work_s=5.0)
            results = {}
            for number in range(10):
                await _ask(shop, "/stock/1", f"before-{number}", 8000, results)
            run = asyncio.create_task(_ask(stock, "/read/1", "run", 8000, results))
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(_stop(shop))
            await asyncio.sleep(sent_s)
            await _ask(shop, "/stock/1", "during", 8000, results)
            await asyncio.gather(run, stopping)
            (seen,) = (run for run in stock.target.runs if run.request_id == "during")
            assert seen.deadline_ms / 1000 <= GRACE_S - sent_s

    run(scenario())


@pytest.mark.parametrize("body_bytes", [400_000, 3_000_000])
def test_answers_to_slow_readers_are_whole_after_a_stop(body_bytes):
    """The reader takes about 1 MB a second, over a small receive buffer."""
    routes = [
        route_entry("read", "shop", "/read/", timeout="5000ms"),
        route_entry("stock", "stock", "/stock/", timeout="5000ms"),
    ]

    async def scenario():
        async with running_fleet(
            "shop", "stock", routes=routes, bounds=BOUNDS
        ) as fleet:
            shop, stock = fleet.vms
            stock.target.mode = TargetMode(body_bytes=body_bytes)
            loop = asyncio.get_running_loop()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            # Segments of an Ethernet, so that the kernel holds little of the answer.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
            sock.setblocking(False)
            await loop.sock_connect(sock, shop.env.caller_listen)
            stopping = asyncio.create_task(shop.node.stop())
            await asyncio.sleep(1.0)
            request = (
                b"GET /stock/1 HTTP/1.1\r\nHost: app.example\r\n"
                b"Dogwooddock-Request-Id: slow\r\n\r\n"
            )
            await loop.sock_sendall(sock, request)
            received = b""
            while len(received) < body_bytes:
                data = await loop.sock_recv(sock, 32 * 1024)
                if not data:
                    break
                received += data
                await asyncio.sleep(0.03)
                if stopping.done():
                    for conn in list(shop.node.listeners.caller_server.connections):
                        conn.abort()  # The process has ended.
            sock.close()
            await stopping
            body = received.partition(b"\r\n\r\n")[2]
            assert len(body) >= body_bytes - 512

    run(scenario())


@pytest.mark.parametrize("pause_s", [0.1, 0.3])
def test_reply_that_a_peer_reads_late_is_sent_before_the_node_exits(pause_s):
    async def scenario():
        async with running_fleet("stock", "stock", "shop", bounds=BOUNDS) as fleet:
            stock, _, shop = fleet.vms  # Links within a zone are not compressed.
            work_s = DRAIN_S + 0.5
            shop.target.mode = TargetMode(work_s=work_s, body_bytes=6_000_000)
            options = {"method": "POST", "body": b"x", "wait_ms": 5000}
            asking = asyncio.create_task(
                stock.send_request("/order/1", "late", **options)
            )
            await asyncio.sleep(0.1)
            transport = stock.node.fleet._link(shop.env.peer_listen)._link._transport
            loop = asyncio.get_running_loop()
            loop.call_later(work_s - 0.2, transport.pause_reading)
            loop.call_later(work_s - 0.1 + pause_s, transport.resume_reading)
            await shop.node.stop()
            assert (await asking).status == 200

    run(scenario())


def test_waiting_calls_do_not_reach_a_target_that_leaves_while_its_node_stops():
    """Guards against calls that reach a target after its drain was acknowledged."""

    async def scenario():
        async with running_fleet("shop", bounds=BOUNDS) as fleet:
            (vm,) = fleet.vms
            vm.target.mode = TargetMode(work_s=0.25)
            loop, results = asyncio.get_running_loop(), {}
            vm.target.slots = 1
            await vm.target.send_heartbeat()
            stopping, asking = asyncio.create_task(vm.node.stop()), []
            while not vm.node.gate.stopping:
                ask = _ask(vm, "/order/1", f"r-{len(asking)}", 6000, results)
                asking.append(asyncio.create_task(ask))
                await asyncio.sleep(PERIOD_S)
            assert vm.node.gate.admission.queued
            assert await vm.target.send_heartbeat("draining") == 200
            acknowledged_at, ran_before = loop.time(), len(fleet.runs)
            await asyncio.gather(*asking)
            await stopping
            assert loop.time() - acknowledged_at < GRACE_S
            return len(fleet.runs) - ran_before, results

    late, results = run(scenario())
    assert late == 0
    assert {answer.status for _, answer in results.values()} <= {200, 503}
