"""From a request's identity to what the logs say of it."""

import pytest

from dogwooddock.operators.explain import explain_request, parse_line

STAMP = "timestamp=2026-01-14T18:17:{:09.6f}Z level=info"
LINES = [
    STAMP.format(1) + " event=request_failed request=aa route=r status=503",
    STAMP.format(0.5) + " event=request_failed request=aa.bb.cc reason=deadline",
    STAMP.format(0.7) + " event=request_failed request=aab reason=overload",
    STAMP.format(0.6) + ' event=target_unreachable error="Refused(111, \\"x\\")"',
    STAMP.format(30) + " event=target_unreachable error=late",
    STAMP.format(0.8) + " event=heartbeat_refused error=other",
    "Traceback (most recent call last):",
    "",
]


@pytest.mark.parametrize(
    ("request_id", "expected"),
    [
        ("aa", ["aa.bb.cc", "", "aa"]),
        ("aa.bb", ["aa.bb.cc", "", "aa"]),
        ("aa.bb.cc", ["aa.bb.cc", "", "aa"]),
        ("aab", ["", "aab"]),
        ("a", []),
        ("zz", []),
    ],
)
def test_lines_of_the_chain_and_around_it_in_order(request_id, expected):
    found = explain_request(request_id, LINES)
    assert [line.request for line in found] == expected
    assert [line.at for line in found] == sorted(line.at for line in found)


def test_other_text_is_no_line():
    assert parse_line("Traceback (most recent call last):") is None
