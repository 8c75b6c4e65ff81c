"""Communication between nodes: RPC and multiplexed links over TCP, gossip over UDP."""
