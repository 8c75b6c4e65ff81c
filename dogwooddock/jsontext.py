"""Parsing of JSON that other processes write."""

__all__ = ["MAX_WHOLE_NUMBER", "MalformedJson", "parse_json"]

import json
from typing import Any, NoReturn

# Links carry whole numbers in 64 bits.
MAX_WHOLE_NUMBER = 2**63 - 1


class MalformedJson(ValueError):
    """The text is not JSON, or is nested too deeply; write it as flat JSON in UTF-8."""


def parse_json(text: bytes) -> Any:
    """Parse JSON, without numbers that are no numbers.

    Raises:
        MalformedJson: The text is malformed, or nested too deeply to be parsed.
        UnicodeDecodeError: The text is not encoded in UTF-8.
    """
    try:
        return json.loads(text, parse_constant=_refuse_constant)
    except RecursionError:
        raise MalformedJson("the text is nested too deeply; flatten it") from None


def _refuse_constant(name: str) -> NoReturn:
    raise MalformedJson(f"{name} is no number; write a finite one")
