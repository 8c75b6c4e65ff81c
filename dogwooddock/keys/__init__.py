"""Idempotency keys: their rows and the batches that write them."""
