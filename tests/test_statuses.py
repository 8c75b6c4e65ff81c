"""Servers in trouble whose answers have a status that is none of HTTP.

Guards against such an answer reaching a client as one.
"""

import asyncio
import socket
import threading

import pytest

from dogwooddock.errors import TargetError
from dogwooddock.http1.messages import HttpError
from dogwooddock.http1.responseparser import ResponseParser
from dogwooddock.targets.client import Canceller, HttpTarget

from .mesh_helpers import running_fleet, status_of

ODD = [b"000", b"099", b"600", b"999", b"20", b"1000", b"0200", b"-10", b"2OO"]
VALID = [b"200", b"404", b"599"]
REST = b" Status\r\nContent-Length: 2\r\nDogwooddock-Server-Stamp: s\r\n"


def _answer(status, request_id=b"r"):
    block = REST + b"Dogwooddock-Request-Id: " + request_id + b"\r\n\r\nok"
    return b"HTTP/1.1 " + status + block


@pytest.mark.parametrize("status", ODD)
def test_parser_takes_no_status_that_is_none_of_http(status):
    with pytest.raises(HttpError):
        ResponseParser(1000, 1000).feed(_answer(status))


@pytest.mark.parametrize("status", VALID)
def test_parser_takes_statuses_of_http(status):
    (response,) = ResponseParser(1000, 1000).feed(_answer(status))
    assert response.status == int(status)


def _answer_once(listener, data):
    conn, _ = listener.accept()
    with conn:
        conn.recv(65536)
        conn.sendall(data)
        conn.recv(1)


@pytest.mark.parametrize("status", ODD + VALID)
def test_target_of_the_own_interface_answers_with_statuses_of_http_only(status):
    listener = socket.create_server(("127.0.0.1", 0))
    args = (listener, _answer(status))
    thread = threading.Thread(target=_answer_once, args=args, daemon=True)
    thread.start()
    target = HttpTarget(listener.getsockname(), 1000)
    try:
        answer = target.send("GET", "/", [], b"", 5.0, Canceller())
        assert status in VALID and answer.status == int(status)
    except TargetError:
        assert status in ODD
    finally:
        target.close()
        thread.join()
        listener.close()


@pytest.mark.parametrize("status", ODD)
def test_caller_gets_502_at_once_in_place_of_such_an_answer(status):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(_answer(status))

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            address = server.sockets[0].getsockname()[:2]
            vm.node.gate.connections.set_target(address)
            options = {"method": "POST", "wait_ms": 1000}
            answer = await vm.send_request("/order/1", "r", **options)
            server.close()
            return status_of(answer)

    assert asyncio.run(scenario()) == 502
