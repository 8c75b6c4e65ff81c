"""Storage of idempotency keys: rows, group commits and group reads."""
