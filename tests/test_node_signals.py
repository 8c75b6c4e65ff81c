"""Signals that reach another thread than the one that waits for them."""

import signal
import subprocess
import sys

import pytest

LIMIT_S = 10.0
# Sends signals to a second thread, as the system does while the first has one pending.
SCRIPT = """
import signal, sys, threading, time
from dogwooddock.logs import configure_logs
from dogwooddock.operators.signals import NodeSignals

configure_logs("info")
signals = NodeSignals()

def deliver():
    time.sleep(0.2)
    for signum in {signums}:
        signal.pthread_kill(threading.get_ident(), signum)
    time.sleep(60)

threading.Thread(target=deliver, daemon=True).start()
signals.wait_for_stop()
"""


@pytest.mark.parametrize(
    "signums",
    [
        [signal.SIGTERM],
        [signal.SIGINT],
        [signal.SIGHUP, signal.SIGTERM],
        [signal.SIGHUP] * 3 + [signal.SIGINT],
    ],
)
def test_stop_signal_that_another_thread_receives_ends_the_wait(signums):
    code = SCRIPT.format(signums=[int(signum) for signum in signums])
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=LIMIT_S
    )
    assert done.returncode == 0, done.stderr
    assert ("reload_ignored" in done.stderr) == (signal.SIGHUP in signums)
