"""Whether a client whose input has ended still waits for its responses.

The end of input tells only that nothing follows. A client that reads on takes an
interim response; one that has closed resets the connection, on some networks only at
the second write.
"""

__all__ = [
    "PAUSED_LOOK_PERIOD_S",
    "HalfClosePolicy",
    "HalfCloseStep",
    "PausedClient",
    "client_while_paused",
    "keeps_open",
]

from dataclasses import dataclass
from enum import Enum

# Clients of this version must accept interim responses (RFC 9110, section 15.2).
INTERIM_VERSION = "1.1"
# The first write is at once: a busy event loop delays each later step by some turns.
WRITE_PERIOD_S = 0.08
MAX_WRITES = 2
# Longest time in which a reset follows a write to a closed client.
RESET_DELAY_S = 0.2
LOOK_PERIOD_S = 0.02
LATE_LOOK_PERIOD_S = 0.1
# Period of looks at a connection while its reading is paused.
PAUSED_LOOK_PERIOD_S = 0.1


@dataclass(frozen=True, slots=True)
class HalfCloseStep:
    """What to do with a half-closed connection now.

    Args:
        writes: Whether to write an interim response.
        pause_s: Time until the next step, in seconds.
    """

    writes: bool
    pause_s: float


class HalfClosePolicy:
    """Decide when a half-closed connection is written to and checked for a reset.

    Each pause follows the step before it, so that a busy event loop delays the steps
    but skips none.

    Args:
        now: Time at which the input ended, in seconds.
        version: HTTP version of the client, as in ``1.1``.
    """

    def __init__(self, now: float, version: str):
        self._writes_left = MAX_WRITES if version == INTERIM_VERSION else 0
        self._write_at = now
        self._reset_until = now + RESET_DELAY_S

    def step(self, now: float) -> HalfCloseStep:
        """Return what to do now.

        Args:
            now: Current time, in seconds.
        """
        writes = self._writes_left > 0 and now >= self._write_at
        if writes:
            self._writes_left -= 1
            self._write_at = now + WRITE_PERIOD_S
            self._reset_until = now + RESET_DELAY_S
        expects_reset = self._writes_left > 0 or now < self._reset_until
        pause_s = LOOK_PERIOD_S if expects_reset else LATE_LOOK_PERIOD_S
        return HalfCloseStep(writes, pause_s)


def keeps_open(version: str, unanswered: int, must_be_answered: bool) -> bool:
    """Report whether a connection stays open for responses after the end of its input.

    A client of HTTP/1.0 cannot be sent interim responses, so whether it is gone stays
    unknown: only work that cannot be repeated is finished for it.

    Args:
        version: HTTP version of the client, as in ``1.1``.
        unanswered: Complete requests that are not answered.
        must_be_answered: Whether one of them may run and may not be repeated.
    """
    if not unanswered:
        return False
    return version == INTERIM_VERSION or must_be_answered


class PausedClient(Enum):
    """What a look at a connection shows of its client while reading is paused."""

    STAYS = "stays"
    SENDS_NO_MORE = "sends-no-more"
    GONE = "gone"


def client_while_paused(
    is_reset: bool, has_ended: bool, unanswered: int, unwritten_bytes: int
) -> PausedClient:
    """Decide what a look at a connection tells while its reading is paused.

    The end of input waits until the client has taken its responses: a client that has
    closed resets the connection at these, as it does at an interim response.

    Args:
        is_reset: Whether the client has reset the connection.
        has_ended: Whether the client sends no more; some of it may be unread.
        unanswered: Complete requests that are not answered.
        unwritten_bytes: Bytes of responses that the client has not taken yet.
    """
    if is_reset:
        return PausedClient.GONE
    if has_ended and unanswered and not unwritten_bytes:
        return PausedClient.SENDS_NO_MORE
    return PausedClient.STAYS
