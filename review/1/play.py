"""A late second copy of a not-run answer, and the resend of the same request."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "1"))

from standins import (
    Answer,
    Client,
    Deployment,
    Record,
    Request,
    Server,
    main,
    new_id,
    request_headers,
    route,
)

# Times of each episode: a server sheds, and meanwhile it answers twice in two spells.
EPISODES = 9
CALM_S = 1.5
SHED_S = 8.5
SPELL_S = 4.25
EXTRA_S = 4.15
PLAY_S = EPISODES * (CALM_S + SHED_S)
CLIENTS = 60
PAUSE_S = 0.25
WAIT_S = 5.0
WORK_S = 0.04
# Of the requests, that a server turns away; of its answers, that come twice.
SHED_SHARE = 0.55
EXTRA_SHARE = 0.03
PROMISES = (408, 421, 429, 503)


class Disruptions:
    """Tell when servers shed, and when one of them hands out second answers."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()

    def start(self) -> None:
        """Begin the first episode."""
        self._started_at = time.monotonic()

    def _episode_s(self) -> float:
        """Return the time since servers began to shed; negative before."""
        since_s = time.monotonic() - self._started_at
        return since_s % (CALM_S + SHED_S) - CALM_S

    @property
    def sheds(self) -> bool:
        """Report whether servers shed now."""
        return self._episode_s() >= 0

    @property
    def repeats(self) -> bool:
        """Report whether some answers are handed out twice now."""
        episode_s = self._episode_s()
        return episode_s >= 0 and episode_s % SPELL_S < EXTRA_S


class JobServer:
    """Serve requests; turn some away, and hand out some answers again, late.

    Args:
        disruptions: When it does so.
        sheds: Whether it turns requests away.
        repeats: Whether it hands out answers twice.
    """

    def __init__(self, disruptions: Disruptions, sheds: bool, repeats: bool):
        self._disruptions = disruptions
        self._sheds = sheds
        self._repeats = repeats
        self._rng = random.Random()
        self._late: dict[asyncio.StreamWriter, bytes] = {}

    async def handle(
        self, server: Server, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a request."""
        late = self._late.pop(writer, None)
        if late is not None:
            server.record.note(f"{server.name}: sends the second copy, late")
            writer.write(late)
        sheds = self._sheds and self._disruptions.sheds
        if sheds and self._rng.random() < SHED_SHARE:
            server.record.note(f"{server.name}: sheds {request.id}")
            answer = server.shed(request)
        else:
            server.begin(request)
            await asyncio.sleep(WORK_S)
            answer = server.success(request, b"confirmed")
        writer.write(answer)
        repeats = self._repeats and self._disruptions.repeats
        if repeats and self._rng.random() < EXTRA_SHARE:
            self._late[writer] = answer


async def play(record: Record, trouble: bool) -> bool:
    """Send non-idempotent requests and compare answers with runs."""
    disruptions = Disruptions()
    faulty = JobServer(disruptions, trouble, trouble)

    async def idle(
        server: Server, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        server.begin(request)
        writer.write(server.success(request, b"ok"))

    deployment = Deployment(record, [route("confirm", "jobs", "non_idempotent", 1500)])
    answers: dict[str, Answer] = {}
    try:
        await deployment.add("catalog", "zone-a", 36, idle)
        node = await deployment.add("jobs", "zone-b", 36, faulty.handle)
        await deployment.start()
        disruptions.start()

        async def press(number: int) -> None:
            client = Client(node.outbound, record)
            until = asyncio.get_running_loop().time() + PLAY_S
            await asyncio.sleep(PAUSE_S * number / CLIENTS)
            while asyncio.get_running_loop().time() < until:
                request_id = new_id()
                record.note(f"client {number}: sends {request_id}")
                answer = await client.exchange(
                    "POST",
                    "/confirm/1",
                    request_headers(request_id, WAIT_S),
                    b"job",
                    WAIT_S,
                )
                answers[request_id] = answer
                record.note(
                    f"client {number}: {request_id} gets {answer.status}"
                    f"{' stamped' if answer.stamped else ''} {answer.cause}"
                )
                await asyncio.sleep(PAUSE_S)
            client.close()

        await asyncio.gather(*(press(number) for number in range(CLIENTS)))
        await asyncio.sleep(WAIT_S)
    finally:
        await deployment.close()
    runs = deployment.servers[1].runs
    served = sum(answer.status == 200 for answer in answers.values())
    record.note(f"{len(answers)} requests, {served} served")
    if not served:
        raise RuntimeError("no request was served")
    twice = [key for key, count in runs.items() if count > 1]
    refused = [
        key
        for key, answer in answers.items()
        if answer.status in PROMISES and not answer.stamped and runs.get(key)
    ]
    for key in twice:
        record.note(f"TWICE: {key} ran {runs[key]} times")
    for key in refused:
        record.note(f"REFUSED: {key} got {answers[key].status} and ran")
    return not twice and not refused


if __name__ == "__main__":
    main(Path(__file__).resolve().with_name("record.txt"), play)
