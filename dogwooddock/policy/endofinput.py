"""What a caller that sends no more may mean, and what is done with its request."""

__all__ = ["EndOfInput", "on_end_of_input"]

from enum import Enum


class EndOfInput(Enum):
    """Action at the end of a caller's input while its request is running."""

    ASK = "ask"
    CANCEL = "cancel"
    WAIT = "wait"


def on_end_of_input(takes_interim: bool, idempotent: bool) -> EndOfInput:
    """Decide what to do when a caller sends no more and awaits a response.

    It may have gone, or have closed its sending side only. An interim response tells:
    the system of a caller that has gone answers it with a reset.

    Args:
        takes_interim: Whether the caller takes interim responses (HTTP/1.1).
        idempotent: Whether the request is idempotent.
    """
    if takes_interim:
        return EndOfInput.ASK
    return EndOfInput.CANCEL if idempotent else EndOfInput.WAIT
