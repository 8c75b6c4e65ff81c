"""Exchange of configuration and node records with peers that have other versions."""

__all__ = ["StateSync"]

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from ..peers.linkcodec import ProbeFrame, PullFrame, PushFrame
from ..peers.links import Link
from ..policy.fetching import Announcement, Fetcher, Versions
from .calls import NodeRecord, StateUpdate
from .config import ConfigHolder
from .fleet import Fleet
from .stateanswers import StateAnswers

# Time after which another peer is asked; the longer one if the asked peer named a node
# whose link is up, which answers once it has the state itself.
ANSWER_S = 0.2
NAMED_ANSWER_S = 0.5
CROSS_ZONE_PULL_DELAY_S = 0.3

Address = tuple[str, int]


class StateSync:
    """Pull what peers have and this node lacks, and answer their pulls.

    Args:
        zone: Availability zone of this node.
        config: Configuration of this node.
        fleet: Records of the other nodes, and links to them.
        merge: Merges records of peers into those of the fleet.
    """

    def __init__(
        self,
        zone: str,
        config: ConfigHolder,
        fleet: Fleet,
        merge: Callable[[Iterable[NodeRecord]], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._zone = zone
        self._config = config
        self._fleet = fleet
        self._members = fleet.members
        self._merge = merge
        self._fetcher: Fetcher[Link] = Fetcher(lambda link: link.is_up)
        self._retry_timer: asyncio.TimerHandle | None = None
        self._named: Address | None = None
        self._heard: dict[Link, Versions] = {}
        self.answers = StateAnswers(config, fleet.members)

    def _own(self) -> Versions:
        return Versions(self._config.version, self._members.position)

    def on_config_version(self, link: Link, version: int) -> None:
        """Request a newer configuration from a peer, preferring the local zone.

        A peer of another zone is asked only after CROSS_ZONE_PULL_DELAY_S, and only if
        the version is still missing by then. A node without any configuration asks at
        once.
        """
        if version <= self._config.version:
            return
        if link.peer_zone == self._zone or not self._config.version:
            self._hear(link, Versions(version, 0))
        else:
            self._loop.call_later(
                CROSS_ZONE_PULL_DELAY_S, self._hear, link, Versions(version, 0)
            )

    def on_probe(self, link: Link, probe: ProbeFrame) -> None:
        """Correct the record of a peer, and pull what it has and this node lacks.

        Records are pulled from peers of the local zone only, or from any peer while no
        record is known.
        """
        if probe.sender is not None:
            self._correct_sender(link, probe.sender)
        if link.peer_zone == self._zone:
            self._hear(link, Versions(probe.config_version, probe.members_version))
            return
        self.on_config_version(link, probe.config_version)
        if not len(self._members):
            self._hear(link, Versions(0, probe.members_version))

    def _correct_sender(self, link: Link, record: NodeRecord) -> None:
        """Tell a restarted peer of a later record that an earlier process made."""
        known = self._members.find(record.address)
        if known is not None and known.supersedes(record):
            link.send(PushFrame(StateUpdate(0, b"", (known,), 0)))

    # Pulls of this node.

    def _hear(self, link: Link, versions: Versions) -> None:
        """Ask a peer for what it has, unless a version that is decoded may be that."""
        if self._config.is_settled:
            self._ask_if_lacking(link, versions)
            return
        if not self._heard:
            self._config.when_settled(self._hear_deferred)
        self._heard[link] = versions

    def _hear_deferred(self) -> None:
        heard, self._heard = self._heard, {}
        for link, versions in heard.items():
            self._ask_if_lacking(link, versions)

    def _ask_if_lacking(self, link: Link, versions: Versions) -> None:
        if link.is_up and self._fetcher.hear(Announcement(link, versions), self._own()):
            self._ask(link, may_wait=True)

    def _pull_frame(self, may_wait: bool) -> PullFrame:
        own, wanted = self._own(), self._fetcher.wanted
        return PullFrame(own.config, own.members, wanted.config if may_wait else None)

    def _ask(self, link: Link, may_wait: bool) -> None:
        link.send(self._pull_frame(may_wait))
        self._named = None
        self._start_timer(ANSWER_S, self._check_named)

    def _start_timer(self, delay_s: float, then: Callable[[], None]) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._retry_timer = self._loop.call_later(delay_s, then)

    def _check_named(self) -> None:
        """Wait longer for a node that was named and may get the state later."""
        if self._named is not None and self._fleet.reaches(self._named):
            self._start_timer(NAMED_ANSWER_S - ANSWER_S, self._retry)
        else:
            self._retry()

    def _retry(self) -> None:
        if not self._config.is_settled:
            self._config.when_settled(self._retry)
            return
        link = self._fetcher.retry(self._own())
        if link is not None:
            self._ask(link, may_wait=False)

    def _follow(self, address: Address) -> None:
        """Ask the node that the asked peer named."""
        asked = self._fetcher.redirect()
        if asked is None:
            return
        if self._fleet.send_to(address, self._pull_frame(may_wait=True)):
            self._named = address
        else:
            asked.send(self._pull_frame(may_wait=False))

    # Answers.

    def on_pull(self, link: Link, pull: PullFrame) -> None:
        """Answer a pull of a peer, at once or when this node has what it wants."""
        self.answers.on_pull(link, pull)

    def on_push(self, push: PushFrame) -> None:
        """Apply what a peer sent, asked or not."""
        if push.ask is not None:
            self._follow(push.ask)
            return
        before, update = self._own(), push.update
        if update.document:
            self._config.apply_if_newer(update.document, "peer")
        self._merge(update.members)
        changed = [record.address for record in update.members]
        self._members.advance_by(update.members_version, changed)
        self._members.advance_between(
            update.members_since, update.members_until, changed
        )
        if update.document:
            self._config.when_settled(partial(self._finish_push, before, update))
        else:
            self._finish_push(before, update)

    def _finish_push(self, before: Versions, update: StateUpdate) -> None:
        """Answer those who waited for a change, and settle the pull it answers."""
        own = self._own()
        if own == before:
            return
        self.answers.send_held()
        is_answer = bool(update.config_version or update.members_version)
        if is_answer or not own.lacks(self._fetcher.wanted):
            link = self._fetcher.settle(own)
            if link is not None:
                self._ask(link, may_wait=True)
