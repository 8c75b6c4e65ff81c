"""Shared fixtures."""

import pytest

from .helpers import MiniFleet


@pytest.fixture
def fleet():
    """Two nodes that both serve the pool."""
    running = MiniFleet(2)
    yield running
    running.close()


@pytest.fixture
def remote_fleet():
    """Two nodes of which only the second serves the pool."""
    running = MiniFleet(2, served=[1])
    yield running
    running.close()
