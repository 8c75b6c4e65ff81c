"""Division of a connection's bytes into requests, and limits that count these bytes."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwooddock.http1.messages import HttpError
from dogwooddock.http1.requestparser import RequestParser

LINE = b"GET /x HTTP/1.1\r\n"
CHUNKED = b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM = b"".join(
    [
        LINE + b"A:b\r\n\r\n",
        b"\r\n\r\n" + LINE + b"\r\n",
        b"POST /l HTTP/1.1\r\nContent-Length: 6\r\n\r\n\r\n\r\nab",
        CHUNKED + b"6;e=f\r\n\r\n\r\ncd\r\n0\r\nT: u\r\n\r\n",
        CHUNKED + b"0\r\n\r\n",
        b"POST /m HTTP/1.1\r\nContent-Length: 6\r\n"
        + b"a:b\r\n" * 100
        + b"\r\n\r\n\r\nef",
        b"PUT /e HTTP/1.1\r\nContent-Length: 0\r\nLast: 1\r\n\r\n",
    ]
)
REQUESTS = [
    (b"/x", b""),
    (b"/x", b""),
    (b"/l", b"\r\n\r\nab"),
    (b"/c", b"\r\n\r\ncd"),
    (b"/c", b""),
    (b"/m", b"\r\n\r\nef"),
    (b"/e", b""),
]


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_requests_do_not_depend_on_how_their_bytes_are_divided(cuts):
    parser, found = RequestParser(1000, 100), []
    bounds = [0, *sorted(cuts), len(STREAM)]
    for start, end in pairwise(bounds):
        requests = parser.feed(STREAM[start:end])
        found += [(request.target, request.body) for request in requests]
    assert found == REQUESTS
    assert not parser.in_message and not parser.held_bytes


def _status(data, size):
    parser = RequestParser(100, 100)
    try:
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])
    except HttpError as exc:
        return exc.status
    return None if parser.in_message else 200


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (LINE + b"a:\r\n" * 25 + b"\r\n", 200),  # 100 bytes
        (LINE + b"a:\r\n" * 25 + b"b", 431),
        (LINE + b"a: " + b"v" * 95 + b"\r\n\r\n", 200),
        (LINE + b"a: " + b"v" * 98, 431),
        (b"GET /" + b"t" * 84 + b" HTTP/1.1\r\n\r\n", 200),
        (b"GET /" + b"t" * 96, 431),
        (b"\r\n" * 50 + LINE + b"\r\n", 200),
        (b"\r\n" * 51, 400),
        (CHUNKED + b"1;" + b"e" * 90 + b"\r\nb\r\n0\r\n\r\n", 200),
        (CHUNKED + b"1;" + b"e" * 100, 400),
        (CHUNKED + b"0\r\n" + b"a: b\r\n" * 20, 400),
        (CHUNKED + b"1\r\nb\r\n" * 100 + b"0\r\n\r\n", 200),
        (CHUNKED + b"1\r\nb\r\n" * 101, 413),
        (b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413),
        (b"\x16\x03\x01", 400),
        (b"GET / HTTP/1.1\nA: b\r\n", 400),
    ],
)
def test_limits_count_what_arrived(data, status, size):
    assert _status(data, size) == status


def test_incomplete_head_takes_little_more_than_its_bytes():
    parser = RequestParser(20_000, 100)
    parser.feed(LINE + b"a: b\r\n" * 3000 + b"c")
    assert parser.held_bytes < 20_000


@pytest.mark.parametrize("size", [1, 7, 2000])
def test_header_that_may_stand_once_is_refused_behind_many_others(size):
    parser = RequestParser(2000, 100)
    data = LINE + b"Host: a\r\n" + b"a:b\r\n" * 200 + b"Host: b\r\n\r\n"
    with pytest.raises(HttpError):
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])


def test_head_of_many_fields_is_known_while_its_body_arrives():
    parser = RequestParser(2000, 100)
    head = b"POST / HTTP/1.1\r\nName: v\r\nContent-Length: 9\r\n" + b"a:b\r\n" * 200
    assert parser.feed(head + b"\r\nbody") == []
    assert parser.body_length == 9
    assert parser.partial_request().fields[b"name"] == b"v"
