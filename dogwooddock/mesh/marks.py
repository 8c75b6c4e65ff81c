"""Marks of requests that crashed targets: recorded, published and learned."""

__all__ = ["MarkExchange"]

import asyncio
from collections.abc import Callable, Iterable
from random import Random

import structlog

from ..policy.quarantine import Mark, Quarantine, QuarantineStatus
from ..policy.unanswered import UnansweredRun

MAX_SYNCED_MARKS = 32
MAX_LOGGED_MARKS = 8

log = structlog.get_logger()


class MarkExchange:
    """Keep the marks of this node in line with those of its peers and the store.

    Args:
        rng: Source of the choice of marks that a peer is sent.
        publish: Called with marks that this node made, to tell peers and the store.
        on_learned: Called after marks of other nodes were merged.
    """

    def __init__(
        self,
        rng: Random,
        publish: Callable[[tuple[Mark, ...]], None],
        on_learned: Callable[[], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._publish = publish
        self._on_learned = on_learned
        self.quarantine = Quarantine()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Report whether a request must not be sent to any target now."""
        status = self.quarantine.status(self._loop.time(), fingerprint)
        return status is QuarantineStatus.QUARANTINED

    def record_loss(self, runs: list[UnansweredRun]) -> None:
        """Record and publish the runs that the end of a target's lifetime cut off."""
        marks = self.quarantine.record_lost_runs(self._loop.time(), runs)
        _log_loss(runs, marks)
        if marks:
            self._publish(tuple(marks))

    def record_answer(self, fingerprint: str, request: str, status: int) -> None:
        """Release a request that a target ran to its end, and publish that.

        Args:
            fingerprint: Fingerprint of the request.
            request: Identifier of the attempt, for the log.
            status: HTTP status of the answer.
        """
        marks = self.quarantine.record_answer(self._loop.time(), fingerprint, status)
        if not marks:
            return
        log.info(
            "mark_released",
            request=request,
            fingerprint=fingerprint,
            status=status,
            count=len(marks),
        )
        self._publish(tuple(marks))
        self._on_learned()

    def sample_for_peer(self, digest: int) -> tuple[Mark, ...]:
        """Return marks to send to a peer, given its digest; empty if they agree."""
        if digest == self.quarantine.digest():
            return ()
        return self.quarantine.sample(self._loop.time(), MAX_SYNCED_MARKS, self._rng)

    def learn(self, marks: Iterable[Mark], source: str) -> tuple[Mark, ...]:
        """Merge marks of other nodes and return those that were new.

        Args:
            marks: The marks.
            source: Where they came from ("store" or "peer"), for the log.
        """
        now = self._loop.time()
        learned = tuple(mark for mark in marks if self.quarantine.add(now, mark))
        for mark in learned[:MAX_LOGGED_MARKS]:
            log.info(
                "mark_learned",
                fingerprint=mark.fingerprint,
                kind=mark.kind.name.lower(),
                lost_at=mark.node_id,
                born_ms=mark.lifetime,
                source=source,
                count=len(learned),
                status=self.quarantine.status(now, mark.fingerprint).value,
            )
        if learned:
            self._on_learned()
        return learned


def _log_loss(runs: list[UnansweredRun], marks: list[Mark]) -> None:
    """Log the end of a target's lifetime and the requests that it cut off."""
    log.warning(
        "target_crashed",
        born_ms=runs[0].lifetime.born_ms,
        node_id=runs[0].lifetime.node_id,
        cut_off=len(runs),
        marked=",".join(
            f"{mark.fingerprint}:{mark.kind.name.lower()}"
            for mark in marks[:MAX_LOGGED_MARKS]
        ),
    )
