"""The active configuration of this node; its version never decreases."""

__all__ = ["ConfigHolder"]

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from ..errors import DogwooddockError
from ..jsontext import Steps
from ..policy.accounts import ClientAccount
from .routing import DesiredState, RouteTable

# Steps of decoding in one turn of the event loop, a few milliseconds of work.
STEPS_PER_TURN = 250
# Documents that wait to be decoded; beyond it, the one that came first is dropped.
MAX_WAITING = 4

log = structlog.get_logger()


@dataclass(frozen=True, slots=True, eq=False)
class _Offer:
    """A document that was received, and where from."""

    document: bytes
    source: str


@dataclass(frozen=True, slots=True, eq=False)
class _Decoding:
    """A document that is being decoded."""

    offer: _Offer
    steps: Steps[DesiredState]


class ConfigHolder:
    """Hold the newest valid configuration that this process has received.

    A large document is decoded over several turns of the event loop, so that the node
    answers meanwhile. One is decoded at a time, of those that wait the latest first.

    Args:
        decode: Parses a document in steps; raises DogwooddockError if it is invalid.
        on_change: Called after a newer version became active.
    """

    def __init__(
        self,
        decode: Callable[[bytes], Steps[DesiredState]],
        on_change: Callable[[DesiredState], None],
    ):
        self._decode = decode
        self._on_change = on_change
        self._decoding: _Decoding | None = None
        self._waiting: list[_Offer] = []
        self._when_settled: list[Callable[[], None]] = []
        self.table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Return the active version; 0 if there is none."""
        return self.table.state.version if self.table is not None else 0

    @property
    def document(self) -> bytes:
        """Return the active document; empty if there is none."""
        return self.table.state.document if self.table is not None else b""

    def apply_if_newer(self, document: bytes, source: str) -> bool:
        """Activate a document if it is valid and newer; return whether it is active.

        A large one is activated later; see ``when_settled``.

        Args:
            document: The encoded configuration.
            source: Where it came from ("store" or "peer"), for the log.
        """
        if self._holds(document):
            return False
        self._waiting.append(_Offer(document, source))
        del self._waiting[:-MAX_WAITING]
        if self._decoding is None:
            self._start_next()
        return self.document == document

    def _holds(self, document: bytes) -> bool:
        """Report whether a document is active, or will be decoded."""
        held = [offer.document for offer in self._waiting]
        if self._decoding is not None:
            held.append(self._decoding.offer.document)
        return document in [self.document, *held]

    @property
    def is_settled(self) -> bool:
        """Report whether all documents that were received have been decided on."""
        return self._decoding is None

    def when_settled(self, then: Callable[[], None]) -> None:
        """Call a function once all received documents have been decided on."""
        if self.is_settled:
            then()
        else:
            self._when_settled.append(then)

    # Decoding.

    def _start_next(self) -> None:
        """Decode the document that came last; without one, tell who waits for that."""
        while self._waiting:
            offer = self._waiting.pop()
            self._decoding = _Decoding(offer, self._decode(offer.document))
            if not self._run_turn(self._decoding):
                asyncio.get_running_loop().call_soon(self._continue)
                return
            self._decoding = None
        waiters, self._when_settled = self._when_settled, []
        for then in waiters:
            then()

    def _continue(self) -> None:
        assert self._decoding is not None
        if self._run_turn(self._decoding):
            self._decoding = None
            self._start_next()
        else:
            asyncio.get_running_loop().call_soon(self._continue)

    def _run_turn(self, decoding: _Decoding) -> bool:
        """Run the steps of one turn; return whether the document was decided on."""
        source = decoding.offer.source
        try:
            return self._run_steps(decoding)
        except DogwooddockError as exc:
            log.error("config_refused", source=source, error=str(exc))
        except Exception:
            log.exception("config_refused", source=source)
        return True

    def _run_steps(self, decoding: _Decoding) -> bool:
        try:
            for _ in range(STEPS_PER_TURN):
                next(decoding.steps)
        except StopIteration as stop:
            self._activate_if_newer(stop.value, decoding.offer.source)
            return True
        return False

    def _activate_if_newer(self, state: DesiredState, source: str) -> bool:
        if self.table is not None and state.version <= self.version:
            return False
        previous = self.table.state if self.table is not None else None
        self.table = RouteTable(state, self.table)
        log.info(
            "config_in_force",
            version=state.version,
            previous=previous.version if previous is not None else 0,
            source=source,
            routes=len(state.routes),
            **_key_changes(state, previous),
        )
        self._on_change(state)
        return True


def _key_changes(state: DesiredState, previous: DesiredState | None) -> dict[str, int]:
    """Return the log fields about accounts; none if neither version has any.

    The numbers of added and removed keys are left out if the version before is not
    known.
    """
    before = previous.accounts if previous is not None else ()
    if not state.accounts and not before:
        return {}
    fields = {"accounts": len(state.accounts)}
    if previous is not None:
        old, new = _keys_of(before), _keys_of(state.accounts)
        fields |= {"keys_added": len(new - old), "keys_removed": len(old - new)}
    return fields


def _keys_of(accounts: tuple[ClientAccount, ...]) -> set[str]:
    return {key for account in accounts for key in account.api_keys}
