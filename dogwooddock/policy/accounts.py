"""Client accounts: which account holds the API key that a request carries."""

__all__ = ["AccountTable", "ClientAccount", "KeyCheck", "check_key"]

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from .outcomes import Reason


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """An account of the configuration.

    Args:
        name: Name of the account.
        api_keys: Keys that its requests may carry.
        priority: Priority of its requests, in place of their routes'; 0 is the highest
            and None means that the routes' priorities apply.
        rate_per_s: Requests per second over all nodes together; 0 for no limit.
        burst: Requests that it may send at once beyond its rate.
    """

    name: str
    api_keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class AccountTable:
    """Find the account that holds a key.

    Keys are compared by their digests, so the time of a lookup tells nothing about the
    keys that exist.

    Args:
        accounts: All accounts; no two of them hold the same key.
    """

    def __init__(self, accounts: Iterable[ClientAccount]):
        self._by_digest: dict[bytes, ClientAccount] = {}
        self._by_name: dict[str, ClientAccount] = {}
        for account in accounts:
            self._by_name[account.name] = account
            for key in account.api_keys:
                self._by_digest[_digest(key.encode())] = account

        rates = [item.rate_per_s for item in self._by_name.values() if item.rate_per_s]
        self._mean_rate = sum(rates) / len(rates) if rates else 1.0

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all accounts."""
        return tuple(self._by_name)

    def find(self, key: bytes) -> ClientAccount | None:
        """Return the account that holds a key, or None."""
        return self._by_digest.get(_digest(key))

    def weight(self, name: str) -> float:
        """Return the weight of an account's share: its rate limit over the mean limit.

        An account without a limit, or that is not known, has the mean weight of 1.
        """
        account = self._by_name.get(name)
        if account is None or not account.rate_per_s:
            return 1.0
        return account.rate_per_s / self._mean_rate


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


@dataclass(frozen=True, slots=True)
class KeyCheck:
    """Result of the check of a request's key.

    Args:
        account: Account that holds the key; None if the request is refused.
        status: HTTP status of the refusal.
        reason: Reason of the refusal.
        text: What the caller has to correct.
    """

    account: ClientAccount | None
    status: int = 0
    reason: Reason = Reason.NONE
    text: str = ""


_MISSING = KeyCheck(
    None, 401, Reason.UNKNOWN_KEY, "the API key is missing; send the account's key"
)
_UNKNOWN = KeyCheck(
    None,
    401,
    Reason.UNKNOWN_KEY,
    "no account holds this API key; send a key of the account that is in use",
)
_REPEATED = KeyCheck(
    None, 400, Reason.MALFORMED, "the API key is sent more than once; send one"
)
_NO_PARENT = KeyCheck(
    None,
    503,
    Reason.UNKNOWN_PARENT,
    "the call has no API key, and the request that made it does not run here",
)


def check_key(
    accounts: AccountTable, api_keys: tuple[bytes, ...], request_id: bytes
) -> KeyCheck:
    """Check the key of a request that no running request is known to have made.

    Answers the load of callers without a valid key: they are refused before any work.
    A request whose id has the form of a target's own call may be such a call, of a run
    that this node no longer knows, so it is refused as not run instead.

    Args:
        accounts: Accounts of the configuration.
        api_keys: Values of the key header, as received.
        request_id: Identifier of the request.
    """
    if len(api_keys) > 1:
        return _REPEATED
    if not api_keys:
        return _NO_PARENT if b"." in request_id else _MISSING
    if not api_keys[0]:
        return _MISSING
    account = accounts.find(api_keys[0])
    return KeyCheck(account) if account is not None else _UNKNOWN
