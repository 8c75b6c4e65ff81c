"""Requests whose target is a whole URI, which HTTP/1.1 asks servers to take.

Guards against requests that are refused for their form, routed by the wrong host, or
passed on with another path or query.
"""

import asyncio

import pytest

from dogwooddock.http1.messages import HttpError
from dogwooddock.http1.requestparser import RequestParser

from .mesh_helpers import running_fleet
from .virtual_time import run

LIMIT_BYTES = 10_000


def parse(target, method="GET", host=b"Host: other\r\n"):
    head = method.encode() + b" " + target + b" HTTP/1.1\r\n" + host + b"A: b\r\n\r\n"
    (request,) = RequestParser(LIMIT_BYTES, LIMIT_BYTES).feed(head)
    return request


@pytest.mark.parametrize(
    ("target", "host", "origin_form"),
    [
        (
            b"http://app.example/p/1?q=http://x/&r",
            b"app.example",
            b"/p/1?q=http://x/&r",
        ),
        (b"HTTP://app.example:8080/p//%2f/..;a", b"app.example:8080", b"/p//%2f/..;a"),
        (b"https://app.example/", b"app.example", b"/"),
        (b"http://app.example", b"app.example", b"/"),
        (b"http://app.example?q=/1", b"app.example", b"/?q=/1"),
        (b"/p/http://app.example/", b"other", b"/p/http://app.example/"),
    ],
)
@pytest.mark.parametrize("host_line", [b"Host: other\r\n", b"host:other\r\n"])
def test_host_path_and_query_come_from_the_target(target, host, origin_form, host_line):
    request = parse(target, host=host_line)
    assert request.target == origin_form
    assert request.fields[b"host"] == host
    hosts = [value for name, value in request.headers if name.lower() == b"host"]
    assert hosts == [host]


def test_host_is_named_if_the_client_left_it_out():
    request = parse(b"http://app.example/p/1", host=b"")
    assert (b"Host", b"app.example") in request.headers


def test_options_without_a_path_asks_for_the_whole_server():
    assert parse(b"http://app.example", "OPTIONS").target == b"*"


@pytest.mark.parametrize("target", [b"http:///p/1", b"http://me@app.example/p/1"])
def test_target_without_a_host_or_with_user_data_is_refused(target):
    with pytest.raises(HttpError) as caught:
        parse(target)
    assert caught.value.status == 400


def test_request_with_an_absolute_target_runs_with_its_path_and_query():
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            reader, writer = await asyncio.open_connection(*vm.env.caller_listen)
            writer.write(
                b"GET http://app.example/read/1?a=%20b HTTP/1.1\r\nHost: other\r\n"
                b"Dogwooddock-Request-Id: a\r\n\r\n"
            )
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            assert head.startswith(b"HTTP/1.1 200 ")
            (ran,) = fleet.runs
            assert ran.path == "/read/1?a=%20b"
            assert (b"Host", b"app.example") in ran.headers

    run(scenario())
