"""Open-loop load generator: requests are sent on schedule, answered or not."""

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
    """Return a trace context that is the same for every resend of a request."""
    trace_id = hashlib.md5(request_id.encode()).hexdigest()
    return f"00-{trace_id}-{trace_id[:16]}-01"


@dataclass(frozen=True, slots=True)
class Arrival:
    """One planned client request.

    Args:
        at: Intended start, in seconds from the start of the load.
        traffic: Kind of request.
        request_id: Identity of the request, the same for every resend.
    """

    at: float
    traffic: Traffic
    request_id: str


@dataclass(slots=True)
class Result:
    """Result of a client request.

    Args:
        arrival: The planned request.
        sent_at: Actual start, in seconds from the start of the load.
        ended_at: End of the last try, on the same clock; 0 until then.
        status: HTTP status of the last try; 0 without a response.
        outcome: Outcome of the last try; "not-sent" if no connection was made.
        reason: Reason from the response, or the kind of the client's error.
        whole: Whether the complete body arrived.
        own: Whether the body belongs to this request.
        tries: Number of tries.
        outcomes: Outcome, reason and status of each try.
    """

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
        """Time from the intended start to the end, in seconds."""
        return self.ended_at - self.arrival.at

    def answered_in_time(self, limit_s: float) -> bool:
        """Return whether the complete answer arrived within a limit in seconds."""
        answered = self.status == 200 and self.outcome in ("answered", "")
        return answered and self.whole and self.own and self.latency_s <= limit_s


RateFactor = Callable[[float], float]


def plan_arrivals(
    traffic: tuple[Traffic, ...], duration_s: float, factor: RateFactor, seed: int
) -> list[Arrival]:
    """Draw Poisson arrivals; the same seed gives the same arrivals.

    Args:
        traffic: Kinds of requests.
        duration_s: Length of the load, in seconds.
        factor: Return the factor on all rates at a time in seconds.
        seed: Seed of the arrivals.
    """
    rng = Random(seed)
    arrivals: list[Arrival] = []
    numbers = itertools.count()
    for item in traffic:
        at = 0.0
        while True:
            at += rng.expovariate(item.rate * max(1e-6, factor(at)))
            if at >= duration_s:
                break
            request_id = f"{seed}-{next(numbers)}"
            arrivals.append(Arrival(at, item, request_id))
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


@dataclass
class RouterPolicy:
    """How the simulated routers send requests.

    Args:
        retries: Resends after a failure, without a pause and with the same key.
        tickets: Whether keyed requests use tickets as keys.
        body: Body of keyed requests.
    """

    retries: int = 0
    tickets: bool = False
    body: str = '{"flask": "thermal"}'


class LoadGenerator:
    """Sends planned requests to the routers of nodes and collects the results.

    Args:
        deployment: Deployment that receives the load.
        routers: Return the router addresses that can be used now.
        policy: Retries and keys of the requests.
        seed: Seed for the choice of addresses.
    """

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
        """Send all requests and return the results once all have ended.

        Args:
            arrivals: Planned requests, in order of time.
            actions: Blocking functions, each with the time in seconds at which it is
                called in a thread.
            on_progress: Called once a second with the elapsed time and the results.
        """
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self.session = session
            self.started = time.monotonic()
            side_tasks = [
                asyncio.create_task(self._run_action(at, action))
                for at, action in actions
            ]
            if on_progress is not None:
                side_tasks.append(
                    asyncio.create_task(self._report_progress(on_progress))
                )
            tasks = []
            for arrival in arrivals:
                delay = self.started + arrival.at - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                tasks.append(asyncio.create_task(self._send(arrival)))
            await asyncio.gather(*tasks)
            for task in side_tasks[: len(actions)]:
                await task
            for task in side_tasks[len(actions) :]:
                task.cancel()
        return self.results

    async def _run_action(self, at: float, action: Callable[[], None]) -> None:
        await asyncio.sleep(max(0.0, self.started + at - time.monotonic()))
        await asyncio.get_running_loop().run_in_executor(None, action)

    async def _report_progress(
        self, on_progress: Callable[[float, list[Result]], None]
    ) -> None:
        while True:
            await asyncio.sleep(1.0)
            on_progress(time.monotonic() - self.started, self.results)

    async def _send(self, arrival: Arrival) -> None:
        result = Result(arrival, sent_at=time.monotonic() - self.started)
        self.results.append(result)
        key = f"key-{arrival.request_id}" if arrival.traffic.keyed else ""
        for attempt in range(self.policy.retries + 1):
            if arrival.traffic.keyed and self.policy.tickets and not attempt:
                key = await self._take_ticket(arrival.traffic) or key
            result.tries += 1
            await self._send_once(arrival, key, result)
            result.outcomes.append(f"{result.outcome}:{result.reason}:{result.status}")
            if result.status == 200 or result.status in (400, 404, 422):
                break
        result.ended_at = time.monotonic() - self.started

    async def _send_once(self, arrival: Arrival, key: str, result: Result) -> None:
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
                ) as response:
                    body = await response.read()
                    self._read_response(arrival, result, response, body)
                return
            except aiohttp.ClientConnectorError:
                result.outcome, result.reason = "not-sent", "refused"
                continue
            except (aiohttp.ClientError, TimeoutError, OSError) as exc:
                result.outcome, result.reason = "unknown", type(exc).__name__
                return

    def _read_response(
        self,
        arrival: Arrival,
        result: Result,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        result.status = response.status
        result.outcome = response.headers.get("Dogwooddock-Outcome", "")
        result.reason = response.headers.get("Dogwooddock-Reason", "")
        ticket = response.headers.get("Dogwooddock-Next-Ticket")
        if ticket:
            self.tickets.setdefault(arrival.traffic.path, []).append(ticket)
        result.whole = len(body) == int(response.headers.get("Content-Length", -1))
        if response.status == 200:
            try:
                document = json.loads(body)
                result.own = document.get("request") == arrival.request_id
            except ValueError:
                result.whole = False

    async def _take_ticket(self, traffic: Traffic) -> str:
        unused = self.tickets.setdefault(traffic.path, [])
        if not unused:
            await self._fetch_tickets(traffic, unused)
        return unused.pop(0) if unused else ""

    async def _fetch_tickets(self, traffic: Traffic, unused: list[str]) -> None:
        assert self.session is not None
        url = f"http://{self.rng.choice(self.routers())}/_dogwooddock/tickets"
        document = {"method": traffic.method, "path": traffic.path, "count": 32}
        headers = {"Dogwooddock-Caller": traffic.caller}
        try:
            async with self.session.post(
                url, json=document, headers=headers
            ) as response:
                unused.extend((await response.json())["tickets"])
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return
