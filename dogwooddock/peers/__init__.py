"""Other nodes: calls over TCP and gossip in datagrams."""
