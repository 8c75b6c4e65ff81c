"""The asyncio node: ingress, gate, links between nodes and shared state."""
