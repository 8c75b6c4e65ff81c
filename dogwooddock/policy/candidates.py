"""What a node knows of one target of a pool."""

__all__ = ["Candidate"]

from dataclasses import dataclass, field

from .latency import TargetLatency


@dataclass(slots=True)
class Candidate:
    """One target of a pool, with the load, latency and failures seen in its replies.

    Args:
        node_id: Identifier of the target's node.
        zone: Availability zone of the target.
        pool: Pool of the target.
        outstanding: Calls of this node to the target that have not returned.
        sent_since: Calls that this node sent since the last report.
        limit: Concurrency limit that the target's gate reported last.
        reported_load: Calls in flight and queued that the gate reported last.
        reported_wait_s: Wait of a new call that the gate reported last, in seconds.
        reported_at: Monotonic time of that report, in seconds.
        slowness: Time that its calls take, as a multiple of what is typical of their
            kind.
        slowness_at: Monotonic time of its last update, in seconds.
        slowness_samples: Calls that it was learnt from.
        latency: Latency estimates.
        draining: Whether the gate reported last that the target is draining.
        consecutive_failures: Failures since the last success or ejection.
        failure_rate: Moving average of the share of calls that failed.
        failure_rate_at: Monotonic time of its last update, in seconds.
        ejections: Ejections in a row; each doubles the duration of the next.
        ejected_until: Monotonic time at which the last ejection ends, in seconds.
    """

    node_id: int
    zone: str
    pool: str = ""
    outstanding: int = 0
    sent_since: int = 0
    limit: int = 1
    reported_load: int = 0
    reported_wait_s: float = 0.0
    reported_at: float = 0.0
    slowness: float = 1.0
    slowness_at: float = 0.0
    slowness_samples: int = 0
    latency: TargetLatency = field(default_factory=TargetLatency)
    draining: bool = False
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
