"""Answers to peers that ask for configuration and node records."""

__all__ = ["StateAnswers"]

import asyncio
from dataclasses import dataclass

from ..peers.linkcodec import PullFrame, PushFrame
from ..peers.links import Link
from ..policy.answertree import AnswerTree
from .calls import StateUpdate
from .config import ConfigHolder
from .members import MemberTable

# Each asker gets an answer of at most so many records and no document from this node.
MAX_SMALL_RECORDS = 16
# Time for which an answer waits until this node has what the asker wants, after which
# the asker asks elsewhere.
MAX_HOLD_S = 0.2
MAX_HELD = 64
MAX_ZONES = 64


@dataclass(eq=False, slots=True)
class _Held:
    """A pull that waits for a change of this node's state."""

    link: Link
    pull: PullFrame


@dataclass(slots=True)
class _Trees:
    """Askers of one zone, for each kind of large answer."""

    documents: AnswerTree
    tables: AnswerTree


class StateAnswers:
    """Answer pulls, with a bounded number of copies of a large answer.

    Args:
        config: Configuration of this node.
        members: Node records that this node knows.
    """

    def __init__(self, config: ConfigHolder, members: MemberTable):
        self._loop = asyncio.get_running_loop()
        self._config = config
        self._members = members
        self._held: list[_Held] = []
        self._trees: dict[str, _Trees] = {}

    def on_pull(self, link: Link, pull: PullFrame) -> None:
        """Answer a pull, at once or when this node has what the peer wants."""
        if pull.wanted_config is None:
            link.send(PushFrame(self.build_update(pull)))
        elif self._is_behind(pull, pull.wanted_config) and len(self._held) < MAX_HELD:
            held = _Held(link, pull)
            self._held.append(held)
            self._loop.call_later(MAX_HOLD_S, self._drop, held)
        else:
            self._answer(link, pull)

    def _is_behind(self, pull: PullFrame, wanted_config: int) -> bool:
        """Report whether this node lacks the configuration, or has nothing newer."""
        has_config = self._config.version > pull.config_version
        has_records = self._members.position > pull.members_version
        return self._config.version < wanted_config or not (has_config or has_records)

    def _drop(self, held: _Held) -> None:
        if held in self._held:
            self._held.remove(held)

    def send_held(self) -> None:
        """Answer the pulls that waited for a change of this node's state."""
        waiting, self._held = self._held, []
        for held in waiting:
            wanted = held.pull.wanted_config
            if wanted is not None and self._is_behind(held.pull, wanted):
                self._held.append(held)
            else:
                self._answer(held.link, held.pull)

    def _answer(self, link: Link, pull: PullFrame) -> None:
        """Send a peer what it lacks, or name a node that has it or soon will."""
        update = self.build_update(pull)
        source = self._source_for(link, update)
        if source is None:
            link.send(PushFrame(update))
        else:
            link.send(PushFrame(StateUpdate(0, b"", (), 0), source))

    def _source_for(self, link: Link, update: StateUpdate) -> tuple[str, int] | None:
        if not update.document and len(update.members) <= MAX_SMALL_RECORDS:
            return None
        if link.peer_zone not in self._trees and len(self._trees) >= MAX_ZONES:
            self._trees.clear()
        trees = self._trees.setdefault(
            link.peer_zone, _Trees(AnswerTree(), AnswerTree())
        )
        now = self._loop.time()
        if update.document:
            content = update.config_version
            return trees.documents.source_for(link.peer_address, content, now)
        return trees.tables.source_for(link.peer_address, 0, now)

    def build_update(self, pull: PullFrame) -> StateUpdate:
        """Return what a peer lacks that pulls."""
        members = tuple(self._members.changed_since(pull.members_version))
        document = b""
        if pull.config_version < self._config.version:
            document = self._config.document
        return StateUpdate(
            self._config.version, document, members, self._members.position
        )
