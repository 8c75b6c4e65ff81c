"""Rendezvous hashing: nodes agree on an owner per account without any messages."""

__all__ = ["Address", "account_ids", "pick_owner", "seed_of"]

import zlib
from collections.abc import Iterable

_MASK = (1 << 64) - 1
_MULTIPLIER = 0xBF58476D1CE4E5B9
_ID_MASK = (1 << 31) - 1

Address = tuple[str, int]


def account_ids(names: Iterable[str]) -> dict[str, int]:
    """Return a 31-bit id per account name, the same on all nodes.

    Only names whose hashes collide get ids that depend on the other names.
    """
    ids: dict[str, int] = {}
    taken: set[int] = set()
    for name in sorted(set(names)):
        number = zlib.crc32(name.encode()) & _ID_MASK
        while number in taken:
            number = (number + 1) & _ID_MASK
        taken.add(number)
        ids[name] = number
    return ids


def seed_of(address: Address) -> int:
    """Return the seed of a node for ``pick_owner``."""
    return _mix(zlib.crc32(f"{address[0]}:{address[1]}".encode()) + 1)


def pick_owner(account_id: int, seeds: Iterable[tuple[int, Address]]) -> Address | None:
    """Return the node with the highest weight for an account, or None.

    A node that leaves or joins changes the owner only of the accounts that it owns.

    Args:
        account_id: Id of the account.
        seeds: Pairs of seed and address of the nodes to choose from.
    """
    mixed = _mix(account_id + 1)
    best = max(((_mix(mixed ^ seed), address) for seed, address in seeds), default=None)
    return best[1] if best is not None else None


def _mix(value: int) -> int:
    value = (value ^ value >> 30) * _MULTIPLIER & _MASK
    value = (value ^ value >> 27) * 0x94D049BB133111EB & _MASK
    return value ^ value >> 31
