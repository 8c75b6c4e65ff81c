"""Proofs that this node's configuration is the newest, from peers and the store."""

__all__ = ["ConfigProofs", "ConfigReader"]

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from random import Random

import structlog

from ..errors import PlatformError
from ..peers.linkcodec import ProbeFrame
from ..policy.configage import ConfigAge
from ..policy.proofsources import ProofPeer, ProofRole, ProofSources
from ..policy.retryafter import retry_after_s
from .bootclock import boot_time_s
from .config import ConfigHolder
from .fleet import Fleet

CHECK_PERIOD_S = 0.1
# A question whose answer has not come after this long is forgotten.
ANSWER_TIMEOUT_S = 10.0

Address = tuple[str, int]

log = structlog.get_logger()


class ConfigReader(ABC):
    """What may read the configuration from the store.

    ``active`` tells whether this node reads the store, ``leads`` whether it is one of
    those that read the configuration for all.
    """

    active: bool
    leads: bool

    @property
    @abstractmethod
    def store_lost(self) -> bool:
        """Report whether this node reads the store but cannot reach it."""

    @abstractmethod
    async def read_config(self) -> None:
        """Read the configuration once.

        Raises:
            PlatformError: The store could not be read.
        """


class ConfigProofs:
    """Keep the age of the configuration low, and tell what it permits.

    The lead readers of the store prove their version by its answers. The others ask
    peers, with a probe that carries the time of asking; the answer repeats it and adds
    the age of the peer's own view.

    Args:
        revoke_s: Time after which a withdrawn key must no longer work, in seconds.
        config_s: Time after which a new version is in force everywhere, in seconds.
        config: Active configuration.
        fleet: Peers and the links to them.
        probe: Returns a probe frame without the node's record: a question with the
            time of asking in microseconds, or an answer (True) that repeats it and adds
            the age in seconds.
        rng: Source of jitter, and of the choice among peers.
        clock: Returns the current time in seconds; goes on during suspensions.
    """

    def __init__(
        self,
        revoke_s: float,
        config_s: float,
        config: ConfigHolder,
        fleet: Fleet,
        probe: Callable[[bool, int, float | None], ProbeFrame],
        rng: Random,
        clock: Callable[[], float] = boot_time_s,
    ):
        self._config = config
        self._fleet = fleet
        self._probe = probe
        self._rng = rng
        self._clock = clock
        self._age = ConfigAge(revoke_s, config_s, clock())
        self._sources = ProofSources(revoke_s, rng)
        self._asked: dict[int, Address] = {}
        self._last_asked_us = 0
        self._reading: asyncio.Task[None] | None = None
        self._was_stale = True
        self._stale_since = clock()
        self._reader: ConfigReader | None = None
        self._configured_at: float | None = None

    # What the age permits.

    def permits_keys(self) -> bool:
        """Report whether a key that the active version knows may be used now."""
        return self._age.permits_keys(self._clock())

    def permits_denial(self) -> bool:
        """Report whether an unknown key may be denied now."""
        return self._age.permits_denial(self._clock())

    def retry_after_s(self) -> float:
        """Return the Retry-After delay of a request that is refused for the age.

        An absence of proofs is expected to last as long again as it has lasted.
        """
        return retry_after_s(self._age.stale_s(self._clock()), self._rng)

    def waited_s(self) -> float:
        """Return the time since the last proof or, without one, since the start."""
        return self._age.waited_s(self._clock())

    def age_s(self) -> float | None:
        """Return the time since the last proof in seconds; None without one."""
        return self._age.age_s(self._clock()) if self._age.proved else None

    def awaits_first_proof(self) -> bool:
        """Report whether requests with keys cannot be served yet, but probably soon."""
        since = self._configured_at
        if since is None or not self.is_needed():
            return False
        return self._age.awaits_first_proof(since, self._clock())

    # Proofs.

    def on_config(self) -> None:
        """Ask for the first proof, unless the active version has brought it."""
        if self._configured_at is None:
            self._configured_at = self._clock()
        asyncio.get_running_loop().call_soon(self._ask_first)

    def _ask_first(self) -> None:
        if self._reader is not None and self.is_needed() and not self._age.proved:
            self._ask_if_due(self._reader)

    def on_store_proof(self, at: float, era: int) -> None:
        """Count an answer of the store that proved the version for a time."""
        if self._age.prove_by_store(at, era, self._clock()):
            self._sources.note_proof()

    def answer(self, question: ProbeFrame) -> ProbeFrame:
        """Return the answer to a peer's question."""
        return self._probe(True, question.asked_at_us or 0, self.age_s())

    def on_answer(self, frame: ProbeFrame) -> None:
        """Count the answer to one of this node's questions, if it is one."""
        asked_at_us = frame.asked_at_us
        if asked_at_us is None or frame.config_age_s is None:
            return
        address = self._asked.get(asked_at_us)
        if address is None:
            return
        self._sources.note_answer(address, frame.config_age_s)
        is_newer = self._age.prove_by_peer(
            asked_at_us / 1e6,
            frame.config_age_s,
            frame.config_version,
            self._config.version,
        )
        if is_newer:
            self._sources.note_proof()

    async def run(self, reader: ConfigReader) -> None:
        """Ask for proofs and log changes of state, until cancelled."""
        self._reader = reader
        while True:
            if self.is_needed():
                self._ask_if_due(reader)
                self._log_change()
            await asyncio.sleep(CHECK_PERIOD_S)

    def is_needed(self) -> bool:
        """Report whether the active version has accounts."""
        table = self._config.table
        return table is not None and table.accounts is not None

    def _ask_if_due(self, reader: ConfigReader) -> None:
        now = self._clock()
        waited_s = self._age.waited_s(now)
        role = ProofRole.READER if reader.active else ProofRole.OTHER
        if not self._sources.is_due(now, role, waited_s):
            return
        questions = self._sources.next_questions(
            now,
            role,
            waited_s,
            self._peers(),
            len(self._fleet.members),
            not reader.leads and not reader.store_lost,
        )
        self._forget_old_questions(now)
        for address in questions.peers:
            self._ask(address)
        if questions.reads_store and self._reading is None:
            job = self._read_store(reader)
            self._reading = asyncio.get_running_loop().create_task(job)

    def _peers(self) -> list[ProofPeer]:
        in_zone = {peer.address for peer in self._fleet.zone_peers()}
        return [
            ProofPeer(peer.address, peer.address in in_zone, peer.store_lost)
            for peer in self._fleet.linked_peers()
        ]

    def _ask(self, address: Address) -> None:
        """Send a question; the time of asking is made unique, rounded down."""
        asked_at_us = max(int(self._clock() * 1e6), self._last_asked_us + 1)
        self._last_asked_us = asked_at_us
        self._asked[asked_at_us] = address
        self._fleet.send_frame(address, self._probe(False, asked_at_us, None))

    def _forget_old_questions(self, now: float) -> None:
        oldest_us = (now - ANSWER_TIMEOUT_S) * 1e6
        for asked_at_us in [at for at in self._asked if at < oldest_us]:
            del self._asked[asked_at_us]

    async def _read_store(self, reader: ConfigReader) -> None:
        try:
            await reader.read_config()
        except PlatformError as exc:
            log.info("config_not_read", error=str(exc))
        finally:
            self._reading = None

    def _log_change(self) -> None:
        now = self._clock()
        stale = not self._age.permits_keys(now)
        if stale == self._was_stale:
            return
        self._was_stale = stale
        if stale:
            self._stale_since = now
            log.warning("config_stale", **self._log_fields())
        else:
            stale_ms = round((now - self._stale_since) * 1000)
            log.info("config_current", stale_ms=stale_ms, **self._log_fields())

    def _log_fields(self) -> dict[str, int | None]:
        age_s = self.age_s()
        age_ms = round(age_s * 1000) if age_s is not None else None
        return {"version": self._config.version, "age_ms": age_ms}
