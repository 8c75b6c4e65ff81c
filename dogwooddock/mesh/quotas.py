"""Quotas of client accounts on this node: asks and grants over links, and timers."""

__all__ = ["QuotaPermit", "QuotaRequest", "QuotaState", "Quotas"]

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from random import Random

import structlog

from ..peers.linkcodec import Frame, QuotaAskFrame, QuotaGrantFrame
from ..peers.links import Link
from ..policy.accounts import ClientAccount
from ..policy.quota import QuotaLimit, QuotaRule
from ..policy.quotagranter import QuotaGranter
from ..policy.quotaholder import QuotaHolder, QuotaVerdict, Settled
from ..policy.rendezvous import account_ids
from .bootclock import boot_time_s
from .environment import Bounds
from .fleet import Fleet
from .quotamembers import QuotaMembers

TICK_S = 0.1
# State of an account without requests for this long is dropped.
IDLE_S = 30.0
LOG_PERIOD_S = 1.0
# A request that waits for a token is refused this long before its deadline.
REFUSE_BEFORE_S = 0.25
TOP_ACCOUNTS = 10

log = structlog.get_logger()


@dataclass(slots=True)
class QuotaPermit:
    """Token of one request.

    Args:
        account_id: Id of the account.
        expires_at: Time until which the token can be given back, in seconds.
    """

    account_id: int
    expires_at: float


@dataclass(slots=True)
class QuotaRequest:
    """Request that needs a token.

    Args:
        account: Its account.
        request_id: Its id, for the log.
        wait_s: Time until its deadline, in seconds.
        done: Called once with a permit, or None if the account is beyond its limit.
    """

    account: ClientAccount
    request_id: str
    wait_s: float
    done: Callable[[QuotaPermit | None], None]


@dataclass(frozen=True, slots=True)
class QuotaState:
    """What this node knows of an account's quota.

    Args:
        account: Name of the account.
        owner: Address of the node that grants its tokens, if one is reached.
        rate_per_s: Its limit over all nodes, in requests per second.
        burst: Requests at once beyond the rate.
        tokens: Tokens held.
        tokens_age_s: Time since the oldest of them was asked for, in seconds.
        waiting: Requests that wait for a token.
        own_part: Whether the node uses its own part, for lack of an owner.
        demand_per_s: Requests within the limit at all nodes, per second, if known.
        refuses: Whether a request would be refused now.
    """

    account: str
    owner: str
    rate_per_s: float
    burst: float
    tokens: int = 0
    tokens_age_s: float = 0.0
    waiting: int = 0
    own_part: bool = False
    demand_per_s: float | None = None
    refuses: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    request: QuotaRequest
    refuse_at: float


class _Account:
    """State of one account at this node."""

    def __init__(self, name: str, holder: QuotaHolder):
        self.name = name
        self.holder = holder
        self.waiters: deque[_Waiter] = deque()
        self.logged_at = 0.0
        self.unlogged = 0


class Quotas:
    """Admit the requests of accounts that have a rate.

    Args:
        bounds: Limits of the deployment.
        fleet: Nodes and the links to them.
        rng: Source of the jitter.
        clock: Returns the current time in seconds; goes on during suspensions.
    """

    def __init__(
        self,
        bounds: Bounds,
        fleet: Fleet,
        rng: Random,
        clock: Callable[[], float] = boot_time_s,
    ):
        self._fleet = fleet
        self._rng = rng
        self._clock = clock
        self._rule = QuotaRule(
            bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack
        )
        self._ids: dict[str, int] = {}
        self._limits: dict[int, QuotaLimit] = {}
        self._has_limits = asyncio.Event()
        self._accounts: dict[int, _Account] = {}
        self._members = QuotaMembers(fleet, rng)
        self._granter = QuotaGranter(self._rule, self._members.view, clock())
        self.admitted: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.messages = 0

    def follow(self, bounds: Bounds) -> None:
        """Follow bounds of the deployment that were read again."""
        rule = QuotaRule(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack)
        self._rule = rule
        self._granter.set_rule(self._clock(), rule)
        for state in self._accounts.values():
            state.holder.rule = rule

    def apply(self, accounts: tuple[ClientAccount, ...]) -> None:
        """Follow the accounts of a new configuration."""
        now = self._clock()
        self._ids = account_ids(account.name for account in accounts)
        self._limits = {
            self._ids[account.name]: QuotaLimit(account.rate_per_s, account.burst)
            for account in accounts
            if account.rate_per_s > 0
        }
        if self._limits:
            self._has_limits.set()
        else:
            self._has_limits.clear()
        self._granter.set_limits(now, self._limits)
        for account_id, state in list(self._accounts.items()):
            limit = self._limits.get(account_id)
            if limit is not None:
                state.holder.limit = limit
                continue
            del self._accounts[account_id]
            for waiter in state.waiters:
                waiter.request.done(QuotaPermit(account_id, now))

    # Requests.

    def acquire(self, request: QuotaRequest) -> Callable[[], None] | None:
        """Ask for a token for a request; it is settled before its deadline.

        Returns:
            Function that withdraws the request while it waits; None if it is settled.
        """
        now = self._clock()
        name = request.account.name
        account_id = self._ids.get(name, -1)
        if account_id not in self._limits:
            request.done(QuotaPermit(account_id, now))
            return None
        self._refresh_view(now)
        state = self._account(account_id, name, now)
        verdict = state.holder.acquire(now)
        if verdict is QuotaVerdict.WAIT:
            waiter = _Waiter(request, now + request.wait_s - REFUSE_BEFORE_S)
            state.waiters.append(waiter)
            self._ask(account_id, state, now)
            if waiter in state.waiters:
                return lambda: self._withdraw(state, waiter)
            return None
        if verdict is QuotaVerdict.ADMIT:
            self._admit(account_id, state, request)
            self._ask(account_id, state, now)
        else:
            self._refuse(state, now, request)
        return None

    def give_back(self, permit: QuotaPermit) -> None:
        """Return the token of a request that did not run."""
        state = self._accounts.get(permit.account_id)
        if state is not None:
            state.holder.give_back(self._clock(), permit.expires_at)

    def retry_s(self, account: ClientAccount) -> float:
        """Return the time until an account has room again, in seconds."""
        state = self._accounts.get(self._ids.get(account.name, -1))
        return state.holder.retry_s(self._clock()) if state is not None else 0.0

    def demand_per_s(self, account: ClientAccount) -> float | None:
        """Return the requests of an account at all nodes, per second, if known."""
        state = self._accounts.get(self._ids.get(account.name, -1))
        return state.holder.demand_per_s(self._clock()) if state is not None else None

    def _account(self, account_id: int, name: str, now: float) -> _Account:
        state = self._accounts.get(account_id)
        if state is None:
            limit = self._limits[account_id]
            state = _Account(name, QuotaHolder(limit, self._rule, self._rng, now))
            self._accounts[account_id] = state
        return state

    def _withdraw(self, state: _Account, waiter: _Waiter) -> None:
        if waiter in state.waiters:
            state.holder.leave(state.waiters.index(waiter))
            state.waiters.remove(waiter)

    def _admit(self, account_id: int, state: _Account, request: QuotaRequest) -> None:
        self.admitted[state.name] += 1
        request.done(QuotaPermit(account_id, state.holder.taken_expiry))

    def _refuse(self, state: _Account, now: float, request: QuotaRequest) -> None:
        self.refused[state.name] += 1
        state.unlogged += 1
        if now - state.logged_at >= LOG_PERIOD_S:
            holder = state.holder
            log.info(
                "quota_exceeded",
                account=state.name,
                request=request.request_id,
                rate_per_s=holder.limit.rate_per_s,
                burst=holder.limit.burst,
                tokens=holder.held(now),
                tokens_age_s=round(holder.oldest_token_age_s(now), 3),
                own_part=holder.alone,
                refused=state.unlogged,
                retry_s=round(holder.retry_s(now), 3),
            )
            state.logged_at, state.unlogged = now, 0
        request.done(None)

    # Asks and grants.

    def _ask(self, account_id: int, state: _Account, now: float) -> None:
        """Ask the owner of an account for tokens if some are needed now."""
        view = self._granter.view
        owner = view.owner(account_id)
        since = self._granter.owned_since(account_id)
        ask = state.holder.next_ask(now, owner, since)
        if ask is None:
            return
        if owner == view.own:
            grant = self._granter.grant(now, account_id, view.own, ask)
            settled = state.holder.receive(now, grant, view.nodes)
        elif owner is not None and self._fleet.send_to(
            owner, QuotaAskFrame(account_id, ask)
        ):
            self.messages += 1
            return
        else:
            settled = state.holder.lose_owner(now, view.nodes)
        self._settle(account_id, state, settled, now)

    def on_frame(self, link: Link, frame: Frame) -> None:
        """Handle an ask or a grant of a peer."""
        now = self._clock()
        if isinstance(frame, QuotaAskFrame):
            address = link.peer_address
            if address is not None:
                self._members.hear(now, address)
            self._refresh_view(now)
            grant = self._granter.grant(now, frame.account_id, address, frame.ask)
            link.send(QuotaGrantFrame(frame.account_id, grant))
            self.messages += 1
        elif isinstance(frame, QuotaGrantFrame):
            state = self._accounts.get(frame.account_id)
            if state is None:
                return
            nodes = self._granter.view.nodes
            settled = state.holder.receive(now, frame.grant, nodes)
            self._settle(frame.account_id, state, settled, now)
            self._ask(frame.account_id, state, now)

    def _settle(
        self, account_id: int, state: _Account, settled: Settled, now: float
    ) -> None:
        """Answer the oldest waiting requests; their callbacks may add new ones."""
        waiters = state.waiters
        admitted = [waiters.popleft() for _ in range(settled.admitted)]
        refused = [waiters.popleft() for _ in range(settled.refused)]
        for waiter in admitted:
            self._admit(account_id, state, waiter.request)
        for waiter in refused:
            self._refuse(state, now, waiter.request)

    # Timers.

    async def run(self) -> None:
        """Follow the members and settle waiting requests, until cancelled."""
        while True:
            await self._has_limits.wait()
            await asyncio.sleep(TICK_S)
            if self._limits:
                self._tick(self._clock())

    def _tick(self, now: float) -> None:
        self._refresh_view(now)
        view = self._granter.view
        for account_id, state in list(self._accounts.items()):
            holder = state.holder
            if not holder.waiting:
                holder.poll(now, view.nodes)
                if now - holder.used_at > IDLE_S:
                    del self._accounts[account_id]
                continue
            if holder.oldest_ask_age_s(now) > TICK_S:
                owner = view.owner(account_id)
                if owner is not None and owner != view.own:
                    self._fleet.probe(owner)
            settled = holder.poll(now, view.nodes)
            self._settle(account_id, state, settled, now)
            self._refuse_late(state, now)
            self._ask(account_id, state, now)

    def _refuse_late(self, state: _Account, now: float) -> None:
        """Refuse waiting requests whose deadlines are near."""
        late = [waiter for waiter in state.waiters if waiter.refuse_at <= now]
        for waiter in late:
            self._withdraw(state, waiter)
        for waiter in late:
            self._refuse(state, now, waiter.request)

    def _refresh_view(self, now: float) -> None:
        """Update the view of the fleet if it is no longer recent."""
        if self._members.refresh(now):
            self._granter.update(now, self._members.view)

    # Operators.

    def counts(self) -> list[tuple[str, int, int]]:
        """Return account, admitted and refused of the top accounts; others summed."""
        names = [name for name, _ in (self.admitted + self.refused).most_common()]
        rows = [
            (name, self.admitted[name], self.refused[name])
            for name in names[:TOP_ACCOUNTS]
        ]
        rest = names[TOP_ACCOUNTS:]
        if rest:
            admitted = sum(self.admitted[name] for name in rest)
            rows.append(("(others)", admitted, sum(self.refused[n] for n in rest)))
        return rows

    def snapshot(self) -> dict[str, object]:
        """Return the state of the accounts in use, for the state dump."""
        now = self._clock()
        view = self._granter.view
        return {
            "can_grant": view.can_grant,
            "owned": self._granter.owned,
            "messages": self.messages,
            "accounts": [
                asdict(self._describe(account_id, state.name, now))
                for account_id, state in self._accounts.items()
            ],
        }

    def describe(self, account: ClientAccount) -> QuotaState | None:
        """Return the state of an account's quota; None without a limit."""
        account_id = self._ids.get(account.name, -1)
        if account_id not in self._limits:
            return None
        return self._describe(account_id, account.name, self._clock())

    def _describe(self, account_id: int, name: str, now: float) -> QuotaState:
        limit = self._limits[account_id]
        address = self._granter.view.owner(account_id)
        owner = f"{address[0]}:{address[1]}" if address is not None else ""
        known = QuotaState(name, owner, limit.rate_per_s, limit.burst)
        state = self._accounts.get(account_id)
        if state is None:
            return known
        holder = state.holder
        return replace(
            known,
            tokens=holder.held(now),
            tokens_age_s=round(holder.oldest_token_age_s(now), 3),
            waiting=holder.waiting,
            own_part=holder.alone,
            demand_per_s=holder.demand_per_s(now),
            refuses=holder.refuses(now),
        )
