"""Exception tree of the package."""

__all__ = [
    "AnswerTooLarge",
    "ConfigConflict",
    "DogwooddockError",
    "IncompleteAnswer",
    "InvalidRequest",
    "InvalidSettings",
    "InvalidTables",
    "PeerError",
    "PeerUnreachable",
    "PlatformError",
    "PlatformTimeout",
    "PlatformUnavailable",
    "RowProblem",
    "TargetError",
    "TargetUnreachable",
]

from dataclasses import dataclass


class DogwooddockError(Exception):
    """Base class of every error raised by this package."""


class InvalidSettings(DogwooddockError):
    """A flag or environment variable has an unusable value."""


@dataclass(frozen=True, slots=True)
class RowProblem:
    """One fault in a route or pool table.

    Args:
        table: Name of the table, ``routes`` or ``pools``.
        row: Name or position of the row.
        field: Name of the field.
        remedy: What to change, in one sentence.
    """

    table: str
    row: str
    field: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.table} row {self.row!r}, field {self.field!r}: {self.remedy}"


class InvalidTables(DogwooddockError):
    """The route and pool tables cannot be accepted together."""

    def __init__(self, problems: list[RowProblem]):
        self.problems = problems
        super().__init__("; ".join(str(problem) for problem in problems))


class ConfigConflict(DogwooddockError):
    """Another edit was accepted first."""

    def __init__(self, expected: int, actual: int, changed: list[str]):
        self.expected = expected
        self.actual = actual
        self.changed = changed
        rows = ", ".join(changed) or "no row in common"
        super().__init__(
            f"version {expected} was replaced by version {actual} ({rows}); "
            "run 'dogwooddock diff', merge the changes and apply again"
        )


class InvalidRequest(DogwooddockError):
    """A caller's request cannot be read."""


class PlatformError(DogwooddockError):
    """The platform's table service or object store failed."""


class PlatformUnavailable(PlatformError):
    """The platform refused the call and nothing was written."""


class PlatformTimeout(PlatformError):
    """The platform's answer was lost; a write may have taken effect."""


class PeerError(DogwooddockError):
    """A call to another node failed after it was sent."""


class PeerUnreachable(PeerError):
    """A call to another node failed before it was sent."""


class TargetError(DogwooddockError):
    """The target failed after the request was sent."""


class TargetUnreachable(TargetError):
    """The target could not be reached and nothing was sent."""


class IncompleteAnswer(TargetError):
    """The target's answer ended before its stated length."""


class AnswerTooLarge(TargetError):
    """The target's answer is larger than the configured bound."""
