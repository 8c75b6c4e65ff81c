"""A short soak test with real node processes, and tests of its checks."""

import asyncio
import signal
import socket

import pytest

from bench import soakfleet, starvation
from bench.mesh_standin import Run
from bench.mutants import MUTANTS, write_mutated_copy
from bench.soak import run_soak
from bench.soakaccounts import (
    HOT_KEY,
    PLAIN_KEY,
    UNKNOWN_KEY,
    find_account_violations,
)
from bench.soakchecks import ApiKey, ClientRequest, SoakHistory, find_violations
from bench.soakclients import HalfCloser, exchange_in_time, open_connection
from bench.soakfleet import SimulatedVM, SoakFleet
from bench.starvation import StarvationWatch

# Seeds that once violated a guarantee, each with a line on the cause.
REGRESSIONS = [
    # A node that started slowly was taken for one that had joined long before.
    7034,
    # The machine kept nodes from running while the recovery was observed.
    7035,
]


@pytest.mark.parametrize("seed", [3, *REGRESSIONS])
def test_soak_finds_no_violation(seed, tmp_path):
    report = run_soak(seed, 3.0, tmp_path)
    assert report.violations == []
    assert report.outcomes[200] > 0


def client_request(route="order", status=200, **changes):
    request = ClientRequest("r", route, 0, 1, 10.0, status, True, True, "t", 10.1)
    for name, value in changes.items():
        setattr(request, name, value)
    return request


def run_at(at=10.05, request_id="r", target_id="t"):
    return Run(request_id, "/order/1", b"", "shop", 1000, at, target_id)


@pytest.mark.parametrize(
    ("requests", "runs", "expected"),
    [
        ([client_request()], [run_at()], ""),
        ([client_request()], [run_at(), run_at()], "ran 2 times"),
        ([client_request(route="read")], [run_at(), run_at()], ""),
        ([client_request(status=503)], [run_at()], "reported as not run but ran"),
        ([client_request(status=502)], [run_at()], ""),
        (
            [client_request(body_matches=False)],
            [run_at()],
            "incomplete or of another request",
        ),
        (
            [client_request(id_matches=False)],
            [run_at()],
            "incomplete or of another request",
        ),
        ([client_request(status=404)], [], "answered 404"),
        ([], [run_at()], "no client sent it"),
        ([client_request()], [run_at(13.0, target_id="left")], "after its drain"),
        ([client_request("moving", sent_at=20.0)], [run_at()], "ran in pool shop"),
        ([client_request("moving", sent_at=11.0)], [run_at()], ""),
        (
            [client_request(sent_at=24.0, status=0, ended_at=25.4, node=3)],
            [run_at(24.1, target_id="t4-0")],
            "was broken off by a planned stop",
        ),
        (
            [
                client_request(
                    sent_at=24.0,
                    status=502,
                    ended_at=25.4,
                    node=3,
                    error="request unknown: peer-failed",
                )
            ],
            [run_at(24.1, target_id="t4-0")],
            "was broken off by a planned stop",
        ),
        (
            [client_request(sent_at=24.0, status=0, ended_at=25.4, node=3)],
            [run_at(24.1, target_id="t5-0")],
            "",
        ),
        ([client_request(sent_at=24.0, status=0, ended_at=25.4, node=3)], [], ""),
        (
            [client_request("read", 0, sent_at=24.0, ended_at=25.0, lost=True)],
            [],
            "not end",
        ),
        (
            [client_request("read", 0, node=3, sent_at=26.2, ended_at=27.0, lost=True)],
            [],
            "",
        ),
        (
            [client_request("read", 0, node=3, sent_at=26.4, ended_at=27.0, lost=True)],
            [],
            "not end",
        ),
        ([client_request("read", 0, sent_at=24.0)], [], ""),
        (
            [client_request(sent_at=30.0, status=0, ended_at=31.0, node=3)],
            [run_at(30.1, target_id="t4-0")],
            "",
        ),
    ],
)
def test_find_violations_reports_each_kind_of_violation(requests, runs, expected):
    history = SoakHistory(recovered_at=9.0, ended_at=60.0)
    history.pools.update({"t": "shop", "left": "shop"})
    history.record_drain_ack("left", 10.5)
    history.record_config(2, "stock", 11.0)
    history.record_planned_stop(3, 20.0)
    history.record_node_fault(3, 20.0)
    history.record_node_fault(5, 23.0)
    for item in requests:
        history.requests[item.request_id] = item
    history.runs.extend(runs)
    found = find_violations(history, 2.0, 2.0)
    found = [line for line in found if "after the faults" not in line]
    if expected:
        assert any(expected in line for line in found)
    else:
        assert found == []


def test_find_violations_reports_excess_retries_and_missing_recovery():
    history = SoakHistory(recovered_at=0.0, ended_at=60.0)
    for number in range(100):
        name = f"r{number}"
        history.requests[name] = client_request("read", 503, request_id=name)
        history.runs += [run_at(10.0 + number / 100, name)] * 2
    found = find_violations(history, 2.0, 2.0)
    assert any("repeats for" in line for line in found)
    assert any("after the faults" in line for line in found)


OLD_KEY = ApiKey("old", "renewed", withdrawn_at=12.0)
NEW_KEY = ApiKey("new", "renewed", added_at=12.0)
RENEWED = ((b"Dogwooddock-Tenant", b"renewed"),)


def keyed_request(key, status=200, sent_at=10.0):
    request = client_request("keyed", status, api_key=key)
    request.sent_at, request.ended_at = sent_at, sent_at + 0.1
    return request


def keyed_run(*headers):
    run = run_at()
    run.headers = headers
    return run


@pytest.mark.parametrize(
    ("request_sent", "runs", "expected"),
    [
        (keyed_request(UNKNOWN_KEY, 401), [], ""),
        (keyed_request(UNKNOWN_KEY), [keyed_run()], "with an unknown key"),
        (keyed_request(OLD_KEY, sent_at=15.9), [keyed_run(*RENEWED)], ""),
        (keyed_request(OLD_KEY, sent_at=16.1), [], "after its key was withdrawn"),
        (keyed_request(OLD_KEY, 0, 16.1), [keyed_run(*RENEWED)], "was withdrawn"),
        (keyed_request(OLD_KEY, 503, 16.1), [], ""),
        (keyed_request(OLD_KEY, 401, 11.0), [], "denied a key in force"),
        (keyed_request(OLD_KEY, 401, 12.1), [], ""),
        (keyed_request(NEW_KEY, 401, 13.9), [], ""),
        (keyed_request(NEW_KEY, 401, 14.1), [], "denied a key in force"),
        (keyed_request(PLAIN_KEY, 429, 25.0), [], "refused by its quota"),
        (keyed_request(PLAIN_KEY, 429, 15.0), [], ""),
        (keyed_request(NEW_KEY, sent_at=13.0), [keyed_run()], "named []"),
        (
            keyed_request(NEW_KEY, sent_at=13.0),
            [keyed_run(*RENEWED, (b"X-Api-Key", b"new"))],
            "given the API key",
        ),
        (client_request("read"), [keyed_run(*RENEWED)], "named [b'renewed']"),
    ],
)
def test_each_violation_of_a_guarantee_on_accounts_is_reported(
    request_sent, runs, expected
):
    history = SoakHistory(recovered_at=20.0, ended_at=60.0)
    history.requests["r"] = request_sent
    history.runs.extend(runs)
    found = find_account_violations(history, 2.0)
    assert [line for line in found if expected not in line] == []
    assert bool(found) == bool(expected)


@pytest.mark.parametrize(
    ("count", "runs_each", "changes", "reported"),
    [
        (141, 1, (), False),
        (142, 1, (), True),
        (141, 2, (), False),
        (142, 1, (8.0, 11.0), True),
        (142, 1, (8.0, 11.0, 12.0), False),
    ],
)
def test_requests_beyond_a_quota_are_reported_unless_its_owner_changes_often(
    count, runs_each, changes, reported
):
    history = SoakHistory(recovered_at=20.0, membership_changes=list(changes))
    for number in range(count):
        name = f"r{number}"
        history.requests[name] = keyed_request(HOT_KEY)
        history.requests[name].request_id = name
        for _ in range(runs_each):
            run = run_at(10.0 + 0.03 * number, name)
            run.headers = ((b"Dogwooddock-Tenant", b"hot"),)
            history.runs.append(run)
    found = find_account_violations(history, 2.0)
    assert bool(found) == reported


class ReadyTarget:
    """Target whose heartbeats are accepted with a status."""

    target_id = "t"
    state = "ready"

    async def send_heartbeat(self):
        return self.status


class EndedProcess:
    """Process that ends with a code, or runs on."""

    pid = 7

    def __init__(self, code):
        self.returncode = code

    async def wait(self):
        return self.returncode


@pytest.mark.parametrize(
    ("starts", "changes"),
    [
        ([(1, 200), (1, 200)], 1),
        ([(1, 200), (2, 0), (2, 200), (2, 200)], 2),
        ([(1, 0), (1, 503)], 0),
    ],
)
def test_a_node_joins_when_it_accepts_a_heartbeat_though_it_starts_slowly(
    starts, changes, tmp_path
):
    """Seed 7034: a node was ready 6 s after its start, in a later window."""

    async def scenario():
        fleet = SoakFleet(1, tmp_path)
        target = ReadyTarget()
        vm = SimulatedVM(0, "", {}, target, None, None, tmp_path)
        for vm.lifetime, target.status in starts:
            await fleet._send_heartbeat(vm, target)
        return fleet.history.membership_changes

    assert len(asyncio.run(scenario())) == changes


@pytest.mark.parametrize(
    ("code", "signals", "handled", "noted"),
    [
        (0, [], True, True),
        (1, [], True, True),
        (-1, [], False, True),
        (0, [signal.SIGTERM], True, False),
        (1, [signal.SIGTERM], True, True),
        (-15, [signal.SIGTERM], True, True),
        (-15, [signal.SIGTERM], False, False),
        (-9, [signal.SIGKILL], False, False),
        (-9, [signal.SIGTERM], True, True),
    ],
)
def test_process_that_ends_unasked_or_with_an_error_is_reported(
    code, signals, handled, noted, tmp_path, monkeypatch
):
    monkeypatch.setattr(soakfleet, "handles_signal", lambda *_: handled)

    async def scenario():
        fleet = SoakFleet(1, tmp_path)
        vm = SimulatedVM(0, "", {}, ReadyTarget(), None, None, tmp_path)
        vm.process = EndedProcess(code)
        vm.exit_codes[EndedProcess.pid] = set()
        for signum in signals:
            vm.expect_exit(signum)
        await fleet._watch_exit(vm, vm.process)
        return fleet.history.notes

    assert bool(asyncio.run(scenario())) == noted


@pytest.mark.parametrize("runs", [True, False])
def test_node_that_is_gone_at_the_end_or_listens_nowhere_is_reported(runs, tmp_path):
    async def scenario():
        fleet = SoakFleet(1, tmp_path)
        server = socket.create_server(("127.0.0.1", 0))
        names = ("outbound", "ready", "control")
        ports = dict.fromkeys(names, server.getsockname())
        vm = SimulatedVM(0, "", ports, ReadyTarget(), None, None, tmp_path)
        vm.process = EndedProcess(None if runs else 0)
        fleet.vms.append(vm)
        await fleet.check_nodes()
        server.close()
        return fleet.history.notes

    found = asyncio.run(scenario())
    assert any("does not run" in line for line in found) != runs
    assert sum("does not listen" in line for line in found) == 1


def test_client_that_half_closes_sends_its_whole_request_and_gets_the_answer():
    async def answer(reader, writer):
        size = len(await reader.read())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n%06d" % size)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with server:
            address = server.sockets[0].getsockname()
            conn = await open_connection(HalfCloser, address)
            return await exchange_in_time(conn, b"x" * 300_000, 5.0)

    assert asyncio.run(scenario()).body == b"300000"


@pytest.mark.parametrize(
    ("waited_s", "at", "starved"),
    [
        ({1: 0.1, 2: 0.19}, 0.25, set()),
        ({1: 0.1, 2: 0.21}, 0.25, {2}),
        ({1: 0.0, 2: 0.0}, 0.5, {1, 2}),
    ],
)
def test_processes_that_hardly_ran_are_found(waited_s, at, starved, monkeypatch):
    """Seed 7035: a peer did not run for up to 4.5 s while the machine was busy."""
    watch = StarvationWatch(0.0)
    monkeypatch.setattr(starvation, "_waited_s", lambda pid: 7.0)
    watch.sample(0.0, {1, 2})
    monkeypatch.setattr(starvation, "_waited_s", lambda pid: 7.0 + waited_s[pid])
    assert watch.sample(at, {1, 2}) == starved


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutants_fit_the_sources(mutant, tmp_path):
    write_mutated_copy(mutant, tmp_path)
