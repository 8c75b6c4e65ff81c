"""Age of a node's view of the configuration, and what it permits.

Answers the load of requests with API keys at a node that no longer hears of new
versions: cut off, paused, restarted, or with a store that does not serve it. A key
that a version withdrew must not run requests that are sent later than a bound after the
version was acknowledged.
"""

__all__ = ["ConfigAge"]

from math import inf

# Part of the bound that is left unused, since the clocks of machines differ in rate.
CLOCK_MARGIN_SHARE = 0.02
# Part of the bound for which a node that starts waits for its first proof before it
# takes requests, most of which need one.
FIRST_PROOF_WAIT_SHARE = 0.2


class ConfigAge:
    """Track when this node's version was last proved to be the newest.

    A proof is a time at which no version newer than the node's existed: the send time
    of a question to the store, or to a peer less the age of the peer's own proof. The
    time of receipt proves nothing, since an answer may be delayed and the process
    paused. All times are of one clock that goes on while the machine is suspended.

    Args:
        revoke_s: Time after which a withdrawn key must no longer work, in seconds.
        config_s: Time after which a new version is in force everywhere, in seconds.
        now: Current time, in seconds.
    """

    def __init__(self, revoke_s: float, config_s: float, now: float):
        self._limit_s = revoke_s * (1 - CLOCK_MARGIN_SHARE)
        self._first_wait_s = revoke_s * FIRST_PROOF_WAIT_SHARE
        self._config_s = config_s
        self._started_at = now
        self._proved_at: float | None = None
        self._era = 0
        self._settled_at = -inf

    def prove(self, at: float) -> bool:
        """Count a proof for a time; return whether it is newer than those before."""
        if self._proved_at is not None and at <= self._proved_at:
            return False
        self._proved_at = at
        return True

    def prove_by_store(self, at: float, era: int, now: float) -> bool:
        """Count an answer of the store; return whether it is a newer proof.

        When the store comes back from an older copy, a version may be missing there
        that was acknowledged. Its answers count again once the peers that have the
        version had time to pass it on.

        Args:
            at: Time of the proof, in seconds.
            era: Era of the store's answer.
            now: Current time, in seconds.
        """
        if era < self._era:
            return False
        if era > self._era:
            if self._era:
                self._settled_at = now + self._config_s
            self._era = era
        return at >= self._settled_at and self.prove(at)

    def prove_by_peer(
        self, asked_at: float, peer_age_s: float, peer_version: int, version: int
    ) -> bool:
        """Count the answer of a peer; return whether it is a newer proof.

        Args:
            asked_at: Time at which this node asked, in seconds.
            peer_age_s: Age of the peer's view when it answered, in seconds.
            peer_version: Version of the peer when it answered.
            version: Version of this node.
        """
        return version >= peer_version and self.prove(asked_at - peer_age_s)

    @property
    def proved(self) -> bool:
        """Report whether there was a proof since the start of the process."""
        return self._proved_at is not None

    def awaits_first_proof(self, configured_at: float, now: float) -> bool:
        """Report whether the first proof that permits keys is still waited for.

        Args:
            configured_at: Time of the first configuration, in seconds.
            now: Current time, in seconds.
        """
        waits = now - configured_at < self._first_wait_s
        return waits and not self.permits_keys(now)

    def age_s(self, now: float) -> float:
        """Return the time since the last proof in seconds; infinite without one."""
        return inf if self._proved_at is None else max(0.0, now - self._proved_at)

    def waited_s(self, now: float) -> float:
        """Return the time since the last proof or, without one, since the start."""
        since = self._started_at if self._proved_at is None else self._proved_at
        return max(0.0, now - since)

    def permits_keys(self, now: float) -> bool:
        """Report whether a key that the node's version knows may be used."""
        return self.age_s(now) <= self._limit_s

    def permits_denial(self, now: float) -> bool:
        """Report whether a key that the node's version lacks may be denied as unknown.

        Beyond it, a newer version may have added the key.
        """
        return self.age_s(now) <= self._config_s

    def stale_s(self, now: float) -> float:
        """Return for how long keys have not been permitted, in seconds."""
        if self._proved_at is None:
            return self.waited_s(now)
        return max(0.0, self.age_s(now) - self._limit_s)
