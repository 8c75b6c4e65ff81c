"""Header fields of a message while it arrives."""

__all__ = ["HeaderFields", "Headers"]

Headers = list[tuple[bytes, bytes]]

# Memory of a field as objects, besides its bytes.
FIELD_COST_BYTES = 200
# A message with fewer fields stays as it is.
MIN_PACKED_FIELDS = 64


class HeaderFields:
    """Collect header fields, as objects or packed into one block of bytes.

    As objects, a field of a few bytes costs fifty times its size.

    ``pairs`` are the fields in the order sent, ``by_name`` the values by lower-case
    name; the last one if it is repeated.
    """

    __slots__ = ("_packed", "by_name", "pairs")

    def __init__(self) -> None:
        self.pairs: Headers = []
        self.by_name: dict[bytes, bytes] = {}
        self._packed = b""

    @property
    def cost_bytes(self) -> int:
        """Return the memory that the fields take besides their bytes."""
        return len(self.pairs) * FIELD_COST_BYTES

    def add(self, name: bytes, value: bytes) -> None:
        """Add a field."""
        self.pairs.append((name, value))
        self.by_name[name.lower()] = value

    def pack(self) -> None:
        """Keep many fields as bytes, until ``unpack``."""
        if len(self.pairs) < MIN_PACKED_FIELDS:
            return
        self.unpack()
        # Neither names nor values contain a line break.
        self._packed = b"\n".join(name + b":" + value for name, value in self.pairs)
        self.pairs = []
        self.by_name = {}

    def unpack(self) -> None:
        """Make the fields that were packed available again."""
        if not self._packed:
            return
        later, packed = self.pairs, self._packed
        self.pairs, self._packed = [], b""
        self.by_name = {}
        for line in packed.split(b"\n"):
            name, _, value = line.partition(b":")
            self.add(name, value)
        for name, value in later:
            self.add(name, value)
