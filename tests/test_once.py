"""Keyed and ticketed requests under faults: run at most once, outcome correct."""

import json
import threading

import pytest

from dogwooddock.errors import TargetUnreachable

from .helpers import RecordingTarget


def test_resend_returns_the_same_answer(fleet):
    first = fleet.send("POST", "/confirm", b"flask", key="k1", index=0)
    second = fleet.send("POST", "/confirm", b"flask", key="k1", index=1)
    assert (first.status, first.body) == (200, b"ran flask")
    assert (second.status, second.body) == (200, b"ran flask")
    assert len(fleet.ran) == 1


def test_resend_waits_for_the_running_attempt(fleet):
    for target in fleet.targets:
        target.unblocked.clear()
    replies = []

    def send(index):
        replies.append(fleet.send("POST", "/confirm", b"f", key="same", index=index))

    first = threading.Thread(target=send, args=(0,))
    first.start()
    fleet.wait(lambda: len(fleet.ran) == 1)
    second = threading.Thread(target=send, args=(1,))
    second.start()
    for target in fleet.targets:
        target.unblocked.set()
    first.join(10)
    second.join(10)
    assert [item.outcome for item in replies] == ["answered", "answered"]
    assert len(fleet.ran) == 1


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_write_answers_of_the_key_store(fleet, lost):
    fleet.tables.lose_key_answers = lost
    reply = fleet.send("POST", "/confirm", b"x", key=f"lost-{lost}")
    assert reply.outcome in ("answered", "unknown")
    assert len(fleet.ran) <= 1
    assert (reply.outcome == "answered") == (len(fleet.ran) == 1)


def test_store_outage_gives_unknown_for_keys_and_answers_tickets(fleet):
    tickets = fleet.tickets(4)
    fleet.tables.down = True
    reply = fleet.send("POST", "/confirm", b"x", key="down")
    assert (reply.outcome, reply.reason) == ("unknown", "store-unavailable")
    assert fleet.ran == []
    for ticket in tickets:
        assert fleet.send("POST", "/confirm", b"x", key=ticket).outcome == "answered"
    assert len(fleet.ran) == 4


def test_ticket_runs_once_and_reply_carries_next_ticket(fleet):
    ticket = fleet.tickets()[0]
    first = fleet.send("POST", "/confirm", b"a", key=ticket, index=0)
    second = fleet.send("POST", "/confirm", b"a", key=ticket, index=1)
    assert (first.body, second.body) == (b"ran a", b"ran a")
    assert len(fleet.ran) == 1
    third = fleet.send("POST", "/confirm", b"b", key=first.ticket)
    assert third.body == b"ran b"


def test_cancelled_ticket_never_runs(fleet):
    ticket = fleet.tickets()[0]
    reply = fleet.send("DELETE", f"/_dogwooddock/tickets/{ticket}")
    assert json.loads(reply.body) == {"state": "cancelled"}
    late = fleet.send("POST", "/confirm", b"x", key=ticket)
    assert (late.outcome, late.reason) == ("not-run", "ticket-spent")
    assert late.ticket and late.ticket != ticket
    assert fleet.ran == []


def test_ticket_of_a_not_run_request_never_runs_later(remote_fleet):
    target = remote_fleet.targets[1]
    target.failure = TargetUnreachable("refused")
    ticket = remote_fleet.tickets()[0]
    reply = remote_fleet.send("POST", "/confirm", b"x", key=ticket)
    assert reply.outcome == "not-run"
    target.failure = None
    target.ran.clear()
    again = remote_fleet.send("POST", "/confirm", b"x", key=ticket)
    assert (again.outcome, target.ran) == ("not-run", [])


@pytest.mark.parametrize(
    "forge",
    [
        lambda ticket: ticket[:-1] + ("0" if ticket[-1] != "0" else "1"),
        lambda ticket: ticket.replace("orders", "others"),
    ],
)
def test_forged_ticket_never_runs_and_gives_unknown(fleet, forge):
    ticket = forge(fleet.tickets()[0])
    reply = fleet.send("POST", "/confirm", b"x", key=ticket)
    assert (reply.outcome, fleet.ran) == ("unknown", [])


def test_key_and_ticket_of_a_replaced_node_give_unknown(remote_fleet):
    target = remote_fleet.targets[1]
    ticket = remote_fleet.tickets()[0]
    by_key = remote_fleet.send("POST", "/confirm", b"big" * 3000, key="gone")
    assert by_key.outcome == "answered"
    remote_fleet.nodes[1].settings.__dict__["drain_timeout_s"] = 0.2
    remote_fleet.nodes[1].stop()
    replacement = RecordingTarget()
    remote_fleet.serve(0, replacement)
    remote_fleet.wait(
        lambda: (
            [c.node_id for c in remote_fleet.nodes[0].selector.candidates("orders")]
            == [remote_fleet.nodes[0].node_id]
        )
    )
    again = remote_fleet.send("POST", "/confirm", b"big" * 3000, key="gone")
    by_ticket = remote_fleet.send("POST", "/confirm", b"x", key=ticket)
    assert again.outcome == "unknown"
    assert by_ticket.outcome == "unknown"
    assert (len(target.ran), replacement.ran) == (1, [])


def test_resend_with_the_same_key_after_not_run_is_answered(remote_fleet):
    target = remote_fleet.targets[1]
    target.failure = TargetUnreachable("refused")
    first = remote_fleet.send("POST", "/confirm", b"x", key="again")
    assert first.outcome == "not-run"
    target.failure = None
    target.ran.clear()
    second = remote_fleet.send("POST", "/confirm", b"x", key="again")
    assert (second.outcome, len(target.ran)) == ("answered", 1)


def test_duplicate_and_cancelled_attempts_are_not_run(remote_fleet):
    from dogwooddock.peers.wire.ttypes import Attempt

    gate = remote_fleet.nodes[1].gate
    attempt = Attempt(
        "attempt-1", "t" * 32, "confirm", "shops", 9, 0, 2_000_000, 0, 1, "POST",
        "/confirm", [], b"x", False, "dup", 0, "fp", "",
    )  # fmt: skip
    first = gate.call(attempt)
    second = gate.call(attempt)
    assert (first.outcome, second.outcome) == ("answered", "answered")
    assert len(remote_fleet.ran) == 1
    late = Attempt(
        "attempt-2", "t" * 32, "confirm", "shops", 9, 0, 2_000_000, 0, 1, "POST",
        "/confirm", [], b"x", False, "tomb", 0, "fp", "",
    )  # fmt: skip
    assert gate.cancel("attempt-2")
    assert gate.call(late).outcome == "not-run"
    assert len(remote_fleet.ran) == 1
