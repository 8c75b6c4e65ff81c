"""Parsing of JSON that other processes write."""

__all__ = ["MAX_WHOLE_NUMBER", "MalformedJson", "is_encodable", "parse_json"]

import json
from typing import Any, NoReturn

# Links carry whole numbers in 64 bits.
MAX_WHOLE_NUMBER = 2**63 - 1
# Begins the only way to write a character that UTF-8 cannot encode.
ESCAPE = b"\\u"


class MalformedJson(ValueError):
    """The text is not JSON, or is nested too deeply; write it as flat JSON in UTF-8."""


def parse_json(text: bytes, any_string: bool = False) -> Any:
    """Parse JSON, without numbers that are no numbers.

    Args:
        text: The JSON text.
        any_string: Whether strings may hold characters that cannot be encoded.

    Raises:
        MalformedJson: The text is malformed, or nested too deeply to be parsed.
        UnicodeDecodeError: The text is not encoded in UTF-8.
    """
    try:
        value = json.loads(text, parse_constant=_refuse_constant)
        if ESCAPE in text and not any_string:
            json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise MalformedJson("a string is no Unicode text; correct it") from None
    except RecursionError:
        raise MalformedJson("the text is nested too deeply; flatten it") from None
    return value


def is_encodable(text: str) -> bool:
    """Report whether a string can be encoded: it has no lone surrogates."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _refuse_constant(name: str) -> NoReturn:
    raise MalformedJson(f"{name} is no number; write a finite one")
