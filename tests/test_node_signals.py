"""Signals that reach another thread than the one that waits for them."""

import signal
import subprocess
import sys
import time

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


# Signals that come while the node is built, more than the socket holds.
MANY = """
import signal
from dogwooddock.logs import configure_logs
from dogwooddock.operators.signals import NodeSignals

configure_logs("error")
signals = NodeSignals()
for _ in range(5000):
    signal.raise_signal(signal.SIGHUP)
signal.raise_signal(signal.SIGTERM)
signals.wait_for_stop()
"""


def test_stop_signal_behind_many_reload_signals_ends_the_wait():
    done = subprocess.run(
        [sys.executable, "-c", MANY], capture_output=True, text=True, timeout=LIMIT_S
    )
    assert done.returncode == 0, done.stderr


@pytest.mark.parametrize(
    "signums",
    [
        [signal.SIGTERM],
        [signal.SIGHUP, signal.SIGTERM],
        [signal.SIGHUP, signal.SIGTERM, signal.SIGINT],
    ],
)
def test_node_that_gets_signals_until_its_end_exits_with_0(signums):
    """Signals in the last moments ended the process, or left it in a deadlock."""
    command = [sys.executable, "-m", "dogwooddock", "node", "--name=n", "--zone=z"]
    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as node:
        assert any("node_started" in line for line in node.stderr)
        deadline = time.monotonic() + LIMIT_S
        while node.poll() is None and time.monotonic() < deadline:
            for signum in signums:
                node.send_signal(signum)
            time.sleep(0.0005)
        code = node.poll()
        node.kill()
        assert code == 0, node.stderr.read()[-2000:]
