"""Requests over real sockets from callers through nodes to targets, with a store."""

import asyncio

import pytest

from bench.mesh_standin import TargetMode, answer_body
from dogwooddock.http1.client import ConnectionPool
from dogwooddock.http1.messages import render_request
from dogwooddock.mesh.fleet import node_id_of
from dogwooddock.peers.linkstream import DeflateStream, PlainStream, stream_from_preface
from dogwooddock.policy.outcomes import Reason

from .mesh_helpers import (
    config_document,
    route_entry,
    running_fleet,
    send_request,
    status_of,
    wait_until,
)
from .virtual_time import run


@pytest.mark.parametrize(
    ("path", "method", "body", "status"),
    [
        ("/read/1", "GET", b"", 200),
        ("/read/1?page=2", "GET", b"", 200),
        ("/order/1", "POST", b"x" * 5000, 200),
        ("/nowhere/1", "GET", b"", 404),
    ],
)
@pytest.mark.parametrize("entry", [0, 1])
def test_response_is_complete_and_matches_its_request(
    entry, path, method, body, status
):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            answer = await fleet.vms[entry].send_request(path, method=method, body=body)
            assert answer.status == status
            if status != 200:
                return
            assert answer.body == answer_body("req-1")
            assert answer.fields[b"dogwooddock-server-stamp"] == b"t-0"
            (seen,) = fleet.runs
            assert (seen.path, seen.body) == (path, body)
            assert seen.caller == ("shop", "stock")[entry]
            assert 1000 < seen.deadline_ms <= 1500

    run(scenario())


GARBLED_RESPONSES = [
    ("cut", {502}),
    ("extra", {200}),
    ("late", {200}),
    ("junk", {502}),
    ("foreign", {200}),
    ("unframed", {200}),
    ("unframed-reset", {502}),
    ("unstamped", {502}),
]


def test_late_refusal_without_request_id_is_not_matched_to_the_next_call():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            target = fleet.vms[0].target
            for number in range(5):
                # A second response to the first call arrives while the next one runs.
                target.mode = TargetMode(garble="late-refusal", late_s=0.05)
                first = await fleet.vms[1].send_request("/read/1", f"first-{number}")
                target.mode = TargetMode(work_s=0.2)
                second = await fleet.vms[1].send_request(
                    "/order/1", f"second-{number}", method="POST"
                )
                assert (first.status, second.status) == (200, 200)

    run(scenario())


@pytest.mark.parametrize("refusals", [1, 2, 3])
@pytest.mark.parametrize("targets", [1, 2])
def test_second_copy_of_a_refusal_is_not_matched_to_the_resend_of_its_request(
    refusals, targets
):
    """The target writes each refusal once more while the resent request runs."""

    async def scenario():
        pools = ["shop"] * targets + ["stock"]
        async with running_fleet(*pools, bounds={"retry_extra": 1000.0}) as fleet:
            for vm in fleet.vms[:targets]:
                vm.target.mode = TargetMode(
                    work_s=0.1, refusals=refusals, refuses_twice=True
                )
            for number in range(4):
                request_id = f"order-{number}"
                answer = await fleet.vms[-1].send_request(
                    "/order/1", request_id, method="POST"
                )
                runs = [run.request_id for run in fleet.runs].count(request_id)
                assert runs == (answer.status == 200)

    run(scenario())


@pytest.mark.parametrize(
    ("method", "path", "idle_s"),
    [("POST", "/order/1", 0.35), ("GET", "/read/1", 0.35), ("POST", "/order/1", 0.0)],
)
def test_connection_reset_after_idle_time_loses_no_request(method, path, idle_s):
    """Targets reset idle connections at the next request; each request runs once."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            fleet.vms[0].target.mode = TargetMode(reset_after_idle_s=0.3)
            for number in range(4):
                request_id = f"req-{number}"
                answer = await fleet.vms[1].send_request(
                    path, request_id, method=method
                )
                assert answer.status == 200
                await asyncio.sleep(idle_s)
            assert [seen.request_id for seen in fleet.runs] == [
                f"req-{number}" for number in range(4)
            ]

    run(scenario())


def test_refusal_after_a_resend_does_not_promise_that_nothing_ran():
    """The connection was reset under the first try, which may have run."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            target = fleet.vms[0].target
            target.mode = TargetMode(reset_after_idle_s=0.3)
            assert (await fleet.vms[1].send_request("/read/1")).status == 200
            target.mode = TargetMode(reset_after_idle_s=0.3, shed=True)
            await asyncio.sleep(0.35)
            answer = await fleet.vms[1].send_request("/read/1", "again")
            assert answer.status == 502

    run(scenario())


def test_calls_that_are_refused_when_they_start_free_their_slots_one_by_one():
    """A refused call dispatched the next one within itself, 500 calls deep."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            gate = fleet.vms[0].node.gate
            target = fleet.vms[0].target
            target.mode = TargetMode(work_s=0.5, hang_when_full=True)
            gate.admission.capacity = 1000
            waiting = [
                asyncio.ensure_future(
                    fleet.vms[1].send_request("/read/1", f"r-{number}", wait_ms=5000)
                )
                for number in range(500)
            ]
            await wait_until(lambda: len(gate._waiting) > 400)
            gate._runs.start = lambda gate_call: gate._runs._refuse(
                gate_call, Reason.QUARANTINED
            )
            answers = await asyncio.gather(*waiting)
            assert all(answer.status for answer in answers)
            assert gate.admission.in_flight == 0
            assert not gate._waiting

    run(scenario())


@pytest.mark.parametrize(("garble", "statuses"), GARBLED_RESPONSES)
def test_malformed_response_is_never_delivered_to_another_request(garble, statuses):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            fleet.vms[0].target.mode = TargetMode(garble=garble)
            for number in range(4):
                request_id = f"req-{number}"
                answer = await fleet.vms[1].send_request(
                    "/order/1", request_id, method="POST", body=b"b"
                )
                assert answer.status in statuses
                if answer.status == 200:
                    assert answer.body == answer_body(request_id)
                    assert answer.fields[b"dogwooddock-request-id"] == (
                        request_id.encode()
                    )
                await asyncio.sleep(0.03)
            assert len(fleet.runs) == 4

    run(scenario())


def test_pipelined_requests_are_answered_in_order():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            fleet.vms[0].target.mode = TargetMode(work_s=0.02)
            reader, writer = await asyncio.open_connection(
                *fleet.vms[1].env.caller_listen
            )
            for number in range(6):
                block = (
                    f"Host: app.example\r\nDogwooddock-Request-Id: p-{number}\r\n"
                ).encode()
                writer.write(render_request(b"GET", b"/read/1", block, b""))
            for number in range(6):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                body = await reader.readexactly(64)
                assert body == answer_body(f"p-{number}")
            writer.close()

    run(scenario())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /read/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", b"400"),
        (
            b"POST /read/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (
            b"POST /read/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabc",
            b"400",
        ),
        (b"GET /read/1 HTTP/1.1\nHost: a\n\n", b"400"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /read/1 HTTP/1.1\r\nX: " + b"y" * 70000 + b"\r\n\r\n", b"431"),
    ],
)
def test_malformed_requests_are_refused_and_never_forwarded(sent, status):
    async def scenario():
        async with running_fleet("shop") as fleet:
            reader, writer = await asyncio.open_connection(
                *fleet.vms[0].env.caller_listen
            )
            writer.write(sent)
            head = await reader.read(2000)
            assert head.split(b" ")[1] == status
            writer.close()
            assert not fleet.runs

    run(scenario())


@pytest.mark.parametrize(
    ("path", "method", "cut_off"), [("/read/1", "GET", 1), ("/order/1", "POST", 0)]
)
def test_caller_disconnect_cancels_only_idempotent_requests(path, method, cut_off):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            target = fleet.vms[0].target
            target.mode = TargetMode(work_s=0.4)
            conn = await ConnectionPool(fleet.vms[1].env.caller_listen).open()
            block = b"Host: app.example\r\nDogwooddock-Request-Id: gone-1\r\n"
            data = render_request(method.encode(), path.encode(), block, b"")
            conn.send(data, lambda result: None)
            await wait_until(lambda: len(target.runs) == 1)
            conn.abort()
            await asyncio.sleep(0.5)
            assert target.aborted_runs == cut_off
            assert not fleet.vms[0].node.gate.busy

    run(scenario())


def test_route_timeout_is_enforced_and_reported_as_unknown():
    async def scenario():
        routes = [
            route_entry(
                "order", "shop", "/order/", kind="non_idempotent", timeout="300ms"
            )
        ]
        async with running_fleet("shop", "stock", routes=routes) as fleet:
            fleet.vms[0].target.mode = TargetMode(work_s=2.0)
            loop = asyncio.get_running_loop()
            started = loop.time()
            answer = await fleet.vms[1].send_request("/order/1", method="POST")
            assert answer.status == 504
            assert loop.time() - started < 1.5
            assert fleet.runs[0].deadline_ms <= 300

    run(scenario())


def test_target_is_never_sent_more_requests_than_its_slots():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            target = fleet.vms[0].target
            target.mode = TargetMode(work_s=0.1, hang_when_full=True)
            answers = await asyncio.gather(
                *(
                    fleet.vms[1].send_request("/read/1", f"r-{number}")
                    for number in range(40)
                )
            )
            statuses = {answer.status for answer in answers}
            assert statuses <= {200, 503}
            refused = [answer for answer in answers if answer.status == 503]
            assert all(float(item.fields[b"retry-after"]) > 0 for item in refused)
            assert len(target.runs) == len(answers) - len(refused)

    run(scenario())


@pytest.mark.parametrize(
    ("mode", "path", "method", "status", "runs"),
    [
        (TargetMode(shed=True), "/read/1", "GET", 200, 1),
        (TargetMode(shed=True), "/order/1", "POST", 200, 1),
        (TargetMode(status=500), "/read/1", "GET", 200, 2),
        (TargetMode(status=500), "/order/1", "POST", 500, 1),
        (TargetMode(garble="cut"), "/read/1", "GET", 200, 2),
        (TargetMode(garble="cut"), "/order/1", "POST", 502, 1),
        (TargetMode(status=503), "/order/1", "POST", 502, 1),
    ],
)
def test_failed_request_is_retried_on_another_target_only_if_safe(
    mode, path, method, status, runs
):
    async def scenario():
        async with running_fleet("shop", "shop") as fleet:
            first, second = fleet.vms
            first.target.mode = mode
            busy = first.node.fleet.selector.find("shop", _id_of(second))
            busy.outstanding = 1000
            answer = await first.send_request(path, method=method)
            assert answer.status == status
            assert len(first.target.arrived_at) >= 1
            assert len(fleet.runs) == runs

    run(scenario())


def _id_of(vm):
    return node_id_of(vm.env.peer_listen)


def test_downstream_failure_is_linked_to_its_parent_and_not_retried():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.vms
            shop.target.mode = TargetMode(calls=(("app.example", "/stock/1"),))
            stock.target.mode = TargetMode(status=500)
            answer = await stock.send_request("/read/1", "root")
            assert answer.status == 500
            # The failure came from stock, so the request is not run by shop again.
            assert len(shop.target.runs) == 1
            assert shop.target.runs[0].caller == "stock"
            assert {item.caller for item in stock.target.runs} == {"shop"}

    run(scenario())


@pytest.mark.parametrize("how", ["store", "garbled-store", "peer"])
def test_configuration_reaches_all_nodes_and_never_reverts(how):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            store = fleet.store
            nodes = [vm.node for vm in fleet.vms]
            newer = config_document(5, [route_entry("read", "stock", "/read/")])
            if how == "garbled-store":
                store.faults.garble = True
                await store.put("op", "other", b"wakes the feed")
                await asyncio.sleep(0.2)
                store.faults.garble = False
            if how != "peer":
                await store.put("op", "config", newer)
            else:
                store.faults.refuse = 503
                nodes[0].config.apply_if_newer(newer, "test")
            await wait_until(lambda: all(node.config.version == 5 for node in nodes))
            older = config_document(4, [route_entry("read", "shop", "/read/")])
            assert not nodes[1].config.apply_if_newer(older, "test")
            assert not nodes[1].config.apply_if_newer(b'{"version": "r9"}', "test")
            answer = await fleet.vms[0].send_request("/read/1")
            assert answer.fields[b"dogwooddock-server-stamp"] == b"t-1"

    run(scenario())


def test_request_without_configuration_gets_503_instead_of_404():
    async def scenario():
        async with running_fleet("shop") as fleet:
            vm = fleet.vms[0]
            vm.node.config.table = None
            answer = await vm.send_request("/read/1")
            assert answer.status == 503
            assert b"retry-after" in answer.fields
            probe = await send_request(vm.env.ready_listen, "/ready", "probe")
            assert probe.status == 503

    run(scenario())


@pytest.mark.parametrize("lost", ["node", "target"])
def test_non_idempotent_request_on_a_lost_process_is_reported_as_unknown(lost):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.vms
            shop.target.mode = TargetMode(work_s=0.5)
            response_task = asyncio.create_task(
                stock.send_request("/order/1", method="POST")
            )
            await wait_until(lambda: len(shop.target.runs) == 1)
            if lost == "target":
                shop.target.stop()
            else:
                shop.node.links.stop()
            answer = await response_task
            assert status_of(answer) == 502
            assert len(shop.target.runs) == 1

    run(scenario())


@pytest.mark.parametrize("stream_type", [PlainStream, DeflateStream])
def test_stream_unpacks_each_packed_message_without_delay(stream_type):
    sender, receiver = stream_type(), stream_from_preface(stream_type.preface)
    for number in range(50):
        data = b"frame %d " % number * number
        assert b"".join(receiver.decode(sender.encode(data))) == data


@pytest.mark.parametrize("entry", [0, 1])
def test_non_idempotent_request_without_reply_is_reported_as_unknown(entry):
    async def scenario():
        routes = [
            route_entry(
                "order", "shop", "/order/", kind="non_idempotent", timeout="300ms"
            )
        ]
        async with running_fleet("shop", "stock", routes=routes) as fleet:
            gate = fleet.vms[0].node.gate
            gate._finish = lambda gate_call, reply: None
            answer = await fleet.vms[entry].send_request("/order/1", method="POST")
            assert answer.status == 504
            assert len(fleet.runs) == 1

    run(scenario())


def test_internal_error_is_answered_and_keeps_the_connection_open():
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            conn = await ConnectionPool(vm.env.caller_listen).open()
            block = b"Host: app.example\r\nDogwooddock-Request-Id: f-1\r\n"
            data = render_request(b"GET", b"/read/1", block, b"")
            original_choose, vm.node.fleet.choose = vm.node.fleet.choose, None
            assert (await conn.exchange(data)).status == 502
            vm.node.fleet.choose = original_choose
            assert (await conn.exchange(data)).status == 200

    run(scenario())
