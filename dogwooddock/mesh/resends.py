"""Resends: which requests are sent again, where to, and what that is charged to."""

__all__ = ["Resends"]

import asyncio

import structlog

from ..policy.candidates import Candidate
from ..policy.chains import ChainAdmission
from ..policy.levels import LEVEL_SCALE
from ..policy.outcomes import Reason
from ..policy.resends import Resend, classify_resend
from ..policy.retryallowance import RetryAllowance
from .calls import MeshReply
from .fleet import Fleet
from .pending import CALLER_CLASSES, PendingRequest
from .requestcounts import RequestCounts

MAX_FREE_RESENDS = 4
MAX_OVERLOAD_RESENDS = 1
# Resends of one request after targets turned it away; each is charged as a retry.
MAX_TURNED_AWAY = 12
MAX_RANK = CALLER_CLASSES * LEVEL_SCALE

log = structlog.get_logger()


class Resends:
    """Decide about further attempts of a request, within the node's allowance.

    Args:
        fleet: Gates that calls can be sent to.
        retries: Retries that this node may make.
        counts: Counts of the requests of this ingress.
        chains: Decides which part of the retries the calls of a chain may use.
    """

    def __init__(
        self,
        fleet: Fleet,
        retries: RetryAllowance,
        counts: RequestCounts,
        chains: ChainAdmission,
    ):
        self._loop = asyncio.get_running_loop()
        self._fleet = fleet
        self._retries = retries
        self._counts = counts
        self._chains = chains

    def record_request(self, pending: PendingRequest) -> None:
        """Let a request that is about to be sent earn its share of the allowance.

        A call of a run that is itself a retry is charged instead.
        """
        self._retries.record_request(
            pending.pool, self._loop.time(), pending.call.repeat
        )

    def choose(self, pending: PendingRequest, now: float) -> Candidate | None:
        """Return a target that was not tried, or else one that may be tried again."""
        left_s = pending.objective_at - now
        route = pending.call.route
        candidate = self._fleet.choose(pending.pool, pending.tried, route, left_s)
        if candidate is None and pending.may_try_again:
            pending.tried -= pending.may_try_again
            pending.may_try_again.clear()
            candidate = self._fleet.choose(pending.pool, pending.tried, route, left_s)
        return candidate

    def prepare(self, pending: PendingRequest, reply: MeshReply) -> bool:
        """Decide whether to resend a request, and charge the resend if so."""
        call = pending.call
        resend = classify_resend(
            call.idempotent, reply.outcome, reply.reason, reply.status, reply.reached
        )
        if resend is Resend.NEVER or self._loop.time() >= call.deadline:
            return False
        if resend is Resend.FREE:
            pending.free_resends += 1
            return pending.free_resends <= MAX_FREE_RESENDS
        if resend is Resend.AFTER_OVERLOAD:
            pending.overload_resends += 1
            return pending.overload_resends <= MAX_OVERLOAD_RESENDS
        if pending.reached >= pending.route.attempts:
            return False
        if not self._spend_retry(pending, reply):
            return False
        call.repeat = True
        self._counts.resends += 1
        log.info(
            "request_resent",
            request=call.request_id.decode("latin-1"),
            route=call.route,
            after=reply.reason.value or reply.status,
            reached=pending.reached,
        )
        return True

    def _spend_retry(self, pending: PendingRequest, reply: MeshReply) -> bool:
        """Charge a retry; return False if none is allowed.

        Calls that a target turned away may be placed elsewhere in the pool, unless
        the pool turns nearly all of them away.
        """
        now = self._loop.time()
        pool = pending.pool
        turned_away = reply.reason is Reason.TARGET_SHED
        if turned_away and (
            pending.turned_away > MAX_TURNED_AWAY
            or self._fleet.turned_away.is_hopeless(pool, now)
        ):
            return False
        rank = pending.call.rank
        share = None
        if turned_away:
            is_call = pending.parent is not None
            share = self._chains.retry_share(rank) if is_call else 1.0
        reserve = 1.0 - rank / MAX_RANK
        return self._retries.spend(pool, now, reserve, share)
