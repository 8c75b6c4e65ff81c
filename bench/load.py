"""Open-loop load: arrivals do not wait for answers."""

import asyncio
import hashlib
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import aiohttp

from .deployments import Deployment, Traffic

CLIENT_GRACE_S = 1.0


def _traceparent(request_id: str) -> str:
    """Return the router's own trace, the same on every resend."""
    trace_id = hashlib.md5(request_id.encode()).hexdigest()
    return f"00-{trace_id}-{trace_id[:16]}-01"


@dataclass(frozen=True, slots=True)
class Arrival:
    """One client request, before it is sent."""

    at: float
    traffic: Traffic
    request_id: str


@dataclass(slots=True)
class Result:
    """What became of a client request."""

    arrival: Arrival
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    outcome: str = ""
    reason: str = ""
    whole: bool = False
    own: bool = False
    tries: int = 0
    outcomes: list[str] = field(default_factory=list)

    @property
    def latency_s(self) -> float:
        """Return the time from the intended start."""
        return self.ended_at - self.arrival.at

    def good(self, limit_s: float) -> bool:
        """Report whether the whole answer came in time."""
        answered = self.status == 200 and self.outcome in ("answered", "")
        return answered and self.whole and self.own and self.latency_s <= limit_s


RateFactor = Callable[[float], float]


def plan_arrivals(
    traffic: tuple[Traffic, ...], duration_s: float, factor: RateFactor, seed: int
) -> list[Arrival]:
    """Draw Poisson arrivals; the same seed gives the same arrivals."""
    rng = Random(seed)
    arrivals: list[Arrival] = []
    counter = itertools.count()
    for kind in traffic:
        at = 0.0
        while True:
            at += rng.expovariate(kind.rate * max(1e-6, factor(at)))
            if at >= duration_s:
                break
            request_id = f"{seed}-{next(counter)}"
            arrivals.append(Arrival(at, kind, request_id))
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


@dataclass
class RouterPolicy:
    """How the routers of the load behave.

    Args:
        retries: Resends after a failure, at once and under the same key.
        tickets: Whether keyed requests use tickets.
        body: Body of keyed requests.
    """

    retries: int = 0
    tickets: bool = False
    body: str = '{"flask": "thermal"}'


class Load:
    """Send planned arrivals and collect the results."""

    def __init__(
        self,
        deployment: Deployment,
        routers: Callable[[], list[str]],
        policy: RouterPolicy,
        seed: int,
    ):
        self.deployment = deployment
        self.routers = routers
        self.policy = policy
        self.rng = Random(seed)
        self.results: list[Result] = []
        self.tickets: dict[str, list[str]] = {}
        self.session: aiohttp.ClientSession | None = None
        self.started = 0.0

    async def run(
        self,
        arrivals: list[Arrival],
        actions: list[tuple[float, Callable[[], None]]],
        on_progress: Callable[[float, list[Result]], None] | None = None,
    ) -> list[Result]:
        """Send all arrivals; run blocking actions at their times in a thread."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self.session = session
            self.started = time.monotonic()
            side = [asyncio.create_task(self._act(at, run)) for at, run in actions]
            if on_progress is not None:
                side.append(asyncio.create_task(self._report(on_progress)))
            tasks = []
            for arrival in arrivals:
                delay = self.started + arrival.at - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                tasks.append(asyncio.create_task(self._send(arrival)))
            await asyncio.gather(*tasks)
            for task in side[: len(actions)]:
                await task
            for task in side[len(actions) :]:
                task.cancel()
        return self.results

    async def _act(self, at: float, run: Callable[[], None]) -> None:
        await asyncio.sleep(max(0.0, self.started + at - time.monotonic()))
        await asyncio.get_running_loop().run_in_executor(None, run)

    async def _report(self, on_progress: Callable[[float, list[Result]], None]) -> None:
        while True:
            await asyncio.sleep(1.0)
            on_progress(time.monotonic() - self.started, self.results)

    async def _send(self, arrival: Arrival) -> None:
        result = Result(arrival, sent_at=time.monotonic() - self.started)
        self.results.append(result)
        key = f"key-{arrival.request_id}" if arrival.traffic.keyed else ""
        for attempt in range(self.policy.retries + 1):
            if arrival.traffic.keyed and self.policy.tickets and not attempt:
                key = await self._ticket(arrival.traffic) or key
            result.tries += 1
            await self._exchange(arrival, key, result)
            result.outcomes.append(f"{result.outcome}:{result.reason}:{result.status}")
            if result.status == 200 or result.status in (400, 404, 422):
                break
        result.ended_at = time.monotonic() - self.started

    async def _exchange(self, arrival: Arrival, key: str, result: Result) -> None:
        traffic = arrival.traffic
        headers = {
            "Dogwooddock-Caller": traffic.caller,
            "X-Request-Id": arrival.request_id,
            "traceparent": _traceparent(arrival.request_id),
        }
        if key:
            headers["Idempotency-Key"] = key
        limit_s = self.deployment.timeouts[traffic.kind] + CLIENT_GRACE_S
        timeout = aiohttp.ClientTimeout(total=limit_s)
        data = self.policy.body if traffic.method == "POST" else None
        assert self.session is not None
        result.status, result.outcome, result.reason = 0, "unknown", "client"
        result.whole = result.own = False
        for _ in range(3):
            address = self.rng.choice(self.routers())
            url = f"http://{address}{traffic.path}"
            try:
                async with self.session.request(
                    traffic.method, url, headers=headers, data=data, timeout=timeout
                ) as answer:
                    body = await answer.read()
                    self._read(arrival, result, answer, body)
                return
            except aiohttp.ClientConnectorError:
                result.outcome, result.reason = "not-sent", "refused"
                continue
            except (aiohttp.ClientError, TimeoutError, OSError) as exc:
                result.outcome, result.reason = "unknown", type(exc).__name__
                return

    def _read(
        self,
        arrival: Arrival,
        result: Result,
        answer: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        result.status = answer.status
        result.outcome = answer.headers.get("Dogwooddock-Outcome", "")
        result.reason = answer.headers.get("Dogwooddock-Reason", "")
        ticket = answer.headers.get("Dogwooddock-Next-Ticket")
        if ticket:
            self.tickets.setdefault(arrival.traffic.path, []).append(ticket)
        result.whole = len(body) == int(answer.headers.get("Content-Length", -1))
        if answer.status == 200:
            try:
                document = json.loads(body)
                result.own = document.get("request") == arrival.request_id
            except ValueError:
                result.whole = False

    async def _ticket(self, traffic: Traffic) -> str:
        held = self.tickets.setdefault(traffic.path, [])
        if not held:
            await self._fetch_tickets(traffic, held)
        return held.pop(0) if held else ""

    async def _fetch_tickets(self, traffic: Traffic, held: list[str]) -> None:
        assert self.session is not None
        url = f"http://{self.rng.choice(self.routers())}/_dogwooddock/tickets"
        document = {"method": traffic.method, "path": traffic.path, "count": 32}
        headers = {"Dogwooddock-Caller": traffic.caller}
        try:
            async with self.session.post(url, json=document, headers=headers) as answer:
                held.extend((await answer.json())["tickets"])
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return
