"""Configuration: the edit log in the store, and its replication to nodes."""
