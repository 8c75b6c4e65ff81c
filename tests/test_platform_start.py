"""Signals that reach a node's process while it starts."""

import signal
import subprocess
import sys

import pytest

# Sends the process a signal when a library begins to be imported, and runs the node.
START = """
import os, runpy, sys

class Sender:
    def find_spec(self, name, path=None, target=None):
        if name == {library!r}:
            os.kill(os.getpid(), {signum})

sys.meta_path.insert(0, Sender())
sys.argv = ["node", "--settings", "/nonexistent/settings.json"]
runpy.run_module("dogwooddock.platform", run_name="__main__")
"""
EXIT_INVALID_SETTINGS = 2


@pytest.mark.parametrize("library", ["structlog", "typer", "pydantic", "thrift"])
def test_reload_signal_during_the_start_does_not_end_the_process(library):
    code = START.format(library=library, signum=int(signal.SIGHUP))
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.returncode == EXIT_INVALID_SETTINGS, done.stderr
    assert "settings_refused" in done.stdout
