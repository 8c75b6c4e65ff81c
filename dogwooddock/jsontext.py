"""Parsing of JSON that other processes write."""

__all__ = [
    "MAX_WHOLE_NUMBER",
    "MalformedJson",
    "Steps",
    "is_encodable",
    "parse_json",
    "parse_json_in_steps",
    "run_steps",
]

import json
import re
from collections.abc import Generator
from typing import Any, NoReturn, TypeVar

# Links carry whole numbers in 64 bits.
MAX_WHOLE_NUMBER = 2**63 - 1
# Begins the only way to write a character that UTF-8 cannot encode.
ESCAPE = b"\\u"
_SPACE = re.compile(r"[ \t\n\r]*")
_COMMA = re.compile(r"[ \t\n\r]*,[ \t\n\r]*")

Result = TypeVar("Result")
# Work that can be interrupted at each yield; it returns its result.
Steps = Generator[None, None, Result]


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
    errors = "surrogatepass" if any_string else "strict"
    decoded = text.decode(json.detect_encoding(text), errors)
    try:
        value = json.loads(decoded, parse_constant=_refuse_constant)
        if ESCAPE in text and not any_string:
            _require_encodable(value)
    except RecursionError:
        raise MalformedJson("the text is nested too deeply; flatten it") from None
    return value


def parse_json_in_steps(text: bytes) -> Steps[Any]:
    """Parse JSON as ``parse_json`` does.

    Where the text is an object, each element of the lists that it holds is a step.

    Raises:
        MalformedJson: The text is malformed, or nested too deeply to be parsed.
        UnicodeDecodeError: The text is not encoded in UTF-8.
    """
    decoded = text.decode(json.detect_encoding(text))
    reader = _StepReader(decoded, checks_strings=ESCAPE in text)
    try:
        return (yield from reader.read())
    except RecursionError:
        raise MalformedJson("the text is nested too deeply; flatten it") from None


def run_steps(steps: Steps[Result]) -> Result:
    """Return the result of work in steps, all done at once."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result


class _StepReader:
    """Read a JSON text from its start to its end.

    Args:
        text: The JSON text.
        checks_strings: Whether a string may have characters that cannot be encoded.
    """

    def __init__(self, text: str, checks_strings: bool):
        self._text = text
        self._checks_strings = checks_strings
        self._decoder = json.JSONDecoder(parse_constant=_refuse_constant)
        self._at = 0

    def read(self) -> Steps[Any]:
        """Return the value of the text."""
        self._skip_space()
        value = (yield from self._members()) if self._take("{") else self._value()
        self._skip_space()
        if self._at != len(self._text):
            raise self._malformed("the end")
        return value

    def _members(self) -> Steps[dict[str, Any]]:
        members: dict[str, Any] = {}
        if self._take("}"):
            return members
        while True:
            if not self._text.startswith('"', self._at):
                raise self._malformed("a name in quotes")
            name = self._value()
            self._require(":")
            is_list = self._take("[")
            members[name] = (yield from self._elements()) if is_list else self._value()
            if not self._take(","):
                self._require("}")
                return members

    def _elements(self) -> Steps[list[Any]]:
        elements: list[Any] = []
        if self._take("]"):
            return elements
        while True:
            elements.append(self._value())
            yield
            comma = _COMMA.match(self._text, self._at)
            if comma is None:
                self._require("]")
                return elements
            self._at = comma.end()

    def _value(self) -> Any:
        value, self._at = self._decoder.raw_decode(self._text, self._at)
        if self._checks_strings:
            _require_encodable(value)
        return value

    def _take(self, mark: str) -> bool:
        """Pass over a mark and the space around it, if it comes next."""
        self._skip_space()
        if not self._text.startswith(mark, self._at):
            return False
        self._at += len(mark)
        self._skip_space()
        return True

    def _require(self, mark: str) -> None:
        if not self._take(mark):
            raise self._malformed(mark)

    def _skip_space(self) -> None:
        match = _SPACE.match(self._text, self._at)
        assert match is not None
        self._at = match.end()

    def _malformed(self, expected: str) -> MalformedJson:
        return MalformedJson(f"character {self._at} is not {expected}; correct it")


def _require_encodable(value: Any) -> None:
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise MalformedJson("a string is no Unicode text; correct it") from None


def is_encodable(text: str) -> bool:
    """Report whether a string can be encoded: it has no lone surrogates."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _refuse_constant(name: str) -> NoReturn:
    raise MalformedJson(f"{name} is no number; write a finite one")
