"""Parsers of the platform's value formats: durations, versions, addresses."""

__all__ = [
    "FormatError",
    "parse_address",
    "parse_duration",
    "parse_version",
]

from functools import lru_cache

from ..errors import DogwooddockError
from ..jsontext import MAX_WHOLE_NUMBER
from ..settings import parse_address as _parse_address

# Longer durations are shortened to this; links carry milliseconds in 32 bits.
MAX_DURATION_S = 86_400.0
# Digits of the largest whole number that links carry.
MAX_DIGITS = len(str(MAX_WHOLE_NUMBER))
CACHED_DURATIONS = 256


class FormatError(DogwooddockError):
    """A malformed value; the message names the field and says how to correct it."""


def parse_duration(text: object, name: str) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` into seconds, at most a day.

    Raises:
        FormatError: The text is not a finite non-negative number with a unit.
    """
    value_s = _duration_s(text) if isinstance(text, str) else None
    if value_s is None:
        raise FormatError(f"{name} is {text!r}; write a number with ms or s")
    return value_s


@lru_cache(CACHED_DURATIONS)
def _duration_s(text: str) -> float | None:
    for suffix, scale in (("ms", 0.001), ("s", 1.0)):
        if text.endswith(suffix):
            try:
                value = float(text.removesuffix(suffix)) * scale
            except ValueError:
                return None
            return min(value, MAX_DURATION_S) if 0 <= value < float("inf") else None
    return None


def parse_version(text: object) -> int:
    """Parse a version such as ``r12`` into its number.

    Raises:
        FormatError: The text is not a version.
    """
    if isinstance(text, str) and text[:1] == "r" and text[1:].isdecimal():
        number = int(text[1:]) if len(text) <= 1 + MAX_DIGITS else MAX_WHOLE_NUMBER + 1
        if number <= MAX_WHOLE_NUMBER:
            return number
    raise FormatError(f"version is {text!r}; write r and a whole number")


def parse_address(text: object, name: str) -> tuple[str, int]:
    """Parse an address in the form ``IP:PORT``.

    Raises:
        FormatError: The text is not an address.
    """
    if isinstance(text, str):
        try:
            return _parse_address(text)
        except ValueError:
            pass
    raise FormatError(f"{name} is {text!r}; write IP:PORT")
