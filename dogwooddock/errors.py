"""Exception hierarchy of the package."""

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
    "PlatformRefused",
    "PlatformTimeout",
    "PlatformUnavailable",
    "RowProblem",
    "TargetError",
    "TargetUnreachable",
    "UnreadableSettings",
]

from dataclasses import dataclass


class DogwooddockError(Exception):
    """Base class of every error raised by this package."""


class InvalidSettings(DogwooddockError):
    """A flag or environment variable has an invalid value."""


class UnreadableSettings(InvalidSettings):
    """The settings file is missing or incomplete; it may be being written."""


@dataclass(frozen=True, slots=True)
class RowProblem:
    """One validation error in a route or pool table.

    Args:
        table: Name of the table, ``routes`` or ``pools``.
        row: Name of the row, or its 1-based position if it has no name.
        field: Name of the field.
        remedy: How to correct the row, in one sentence.
    """

    table: str
    row: str
    field: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.table} row {self.row!r}, field {self.field!r}: {self.remedy}"


class InvalidTables(DogwooddockError):
    """The route and pool tables are invalid or inconsistent with each other."""

    def __init__(self, problems: list[RowProblem]):
        self.problems = problems
        super().__init__("; ".join(str(problem) for problem in problems))


class ConfigConflict(DogwooddockError):
    """Another edit was accepted after the version that this edit is based on.

    Args:
        expected: Version that the edit is based on.
        actual: Newest accepted version.
        changed: Rows changed since ``expected``, each as ``TABLE/NAME``.
    """

    def __init__(self, expected: int, actual: int, changed: list[str]):
        self.expected = expected
        self.actual = actual
        self.changed = changed
        rows = ", ".join(changed) or "no rows changed"
        super().__init__(
            f"version {expected} was replaced by version {actual} ({rows}); "
            "run 'dogwooddock diff', merge the changes and apply again"
        )


class InvalidRequest(DogwooddockError):
    """A caller's request is malformed."""


class PlatformError(DogwooddockError):
    """The platform's table service or object store failed."""


class PlatformUnavailable(PlatformError):
    """The platform could not be reached or rejected the call; nothing was written."""


class PlatformRefused(PlatformError):
    """The platform rejected the call as invalid; nothing was written."""


class MalformedRow(PlatformError):
    """A row of the platform's tables cannot be read; its writer must correct it."""


class PlatformTimeout(PlatformError):
    """No usable response arrived from the platform; a write may have taken effect."""


class PeerError(DogwooddockError):
    """A call to another node failed after it was sent; it may have run."""


class PeerUnreachable(PeerError):
    """A call to another node failed before it was sent; it did not run."""


class TargetError(DogwooddockError):
    """The target failed after the request was sent; it may have run."""


class TargetUnreachable(TargetError):
    """The target could not be reached; no request was sent."""


class IncompleteAnswer(TargetError):
    """The target's answer ended early, or its length is not stated."""


class AnswerTooLarge(TargetError):
    """The target's answer exceeds the configured maximum body size."""
