"""Signals that reach a node's process while it starts, serves and stops."""

import signal
import socket
import subprocess
import sys
import time

import pytest

from bench.settingsfile import PORTS_PER_NODE, free_ports, write_settings

# Sends the process a signal when a library begins to be imported, and runs the node.
START = """
import os, runpy, sys

class Sender:
    def find_spec(self, name, path=None, target=None):
        if name == {library!r}:
            os.kill(os.getpid(), {signum})

sys.meta_path.insert(0, Sender())
sys.argv = {argv}
runpy.run_module({module!r}, run_name="__main__")
"""
PLATFORM = (
    "dogwooddock.platform",
    ["node", "--settings", "/nonexistent/settings.json"],
    "settings_refused",
)
OWN_INTERFACE = (
    "dogwooddock",
    ["dogwooddock", "node", "--name", "n", "--zone", "z", "--limit-mode", "none"],
    "--limit-mode",
)
# Runs a node whose process gets a signal when the interpreter ends.
END = """
import atexit, os, runpy, sys

atexit.register(os.kill, os.getpid(), {signum})
sys.argv = ["node", "--settings", {settings!r}]
runpy.run_module("dogwooddock.platform", run_name="__main__")
"""
ABSENT = ("127.0.0.1", 9)
EXIT_INVALID_SETTINGS = 2
NODE = [sys.executable, "-m", "dogwooddock", "node", "--name", "n", "--zone", "z"]
STOP_LIMIT_S = 10.0
SIGNAL_PERIOD_S = 0.001


@pytest.mark.parametrize(("module", "argv", "text"), [PLATFORM, OWN_INTERFACE])
@pytest.mark.parametrize("library", ["structlog", "typer", "pydantic", "thrift"])
def test_reload_signal_during_the_start_does_not_end_the_process(
    library, module, argv, text
):
    code = START.format(
        library=library, signum=int(signal.SIGHUP), module=module, argv=argv
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.returncode == EXIT_INVALID_SETTINGS, done.stderr
    assert text in done.stdout + done.stderr


def _read_until(process, text):
    return any(text in line for line in process.stderr)


@pytest.mark.parametrize(
    "signums",
    [
        [signal.SIGHUP, signal.SIGTERM],
        [signal.SIGHUP, signal.SIGHUP, signal.SIGINT],
        [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM],
    ],
    ids=lambda signums: "-".join(signum.name for signum in signums),
)
def test_process_of_a_node_ends_by_stop_signals_only(signums):
    """Guards against a reload signal that ends it, and a second signal that hangs."""
    process = subprocess.Popen(NODE, stderr=subprocess.PIPE, text=True)
    try:
        assert _read_until(process, "node_started")
        for signum in signums:
            assert process.poll() is None
            process.send_signal(signum)
            if signum is signal.SIGHUP and signums[0] is signal.SIGHUP:
                assert _read_until(process, "reload_ignored")
        assert process.wait(STOP_LIMIT_S) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


@pytest.mark.parametrize("signums", [[signal.SIGTERM], [signal.SIGHUP, signal.SIGTERM]])
def test_node_whose_log_nobody_reads_serves_on_and_stops(signums):
    """Guards against a log line that ends the process, or the stop in its middle."""
    process = subprocess.Popen(NODE, stderr=subprocess.PIPE, text=True)
    try:
        assert _read_until(process, "node_started")
        process.stderr.close()
        for signum in signums:
            process.send_signal(signum)
        assert process.wait(STOP_LIMIT_S) == 0
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("event", ["node_started", "address_unavailable"])
@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signal_that_comes_when_the_stop_is_done_does_not_make_it_a_failure(
    signum, event, tmp_path
):
    settings, base = tmp_path / "settings.json", free_ports(PORTS_PER_NODE)
    write_settings(settings, 0, "127.0.0.1", base, ABSENT, "shop", ABSENT)
    holder = socket.socket()
    if event == "address_unavailable":
        holder.bind(("127.0.0.1", base))
    code = END.format(signum=int(signum), settings=str(settings))
    command = [sys.executable, "-c", code]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    try:
        assert any(event in line for line in process.stdout)
        process.send_signal(signal.SIGTERM)
        output = process.stdout.read()
        assert (process.wait(STOP_LIMIT_S), "Traceback" in output) == (0, False)
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
        holder.close()


def _await_line(log, text, process):
    while text not in log.read_text() and process.poll() is None:
        time.sleep(SIGNAL_PERIOD_S)


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signals_until_a_stopped_node_has_ended_do_not_make_it_a_failure(
    signum, tmp_path
):
    log = tmp_path / "log"
    with log.open("w") as stream:
        process = subprocess.Popen(NODE, stderr=stream)
    try:
        _await_line(log, "node_started", process)
        process.send_signal(signal.SIGTERM)
        _await_line(log, "node_stopped", process)
        deadline = time.monotonic() + STOP_LIMIT_S
        while process.poll() is None and time.monotonic() < deadline:
            process.send_signal(signum)
            time.sleep(SIGNAL_PERIOD_S)
        assert (process.poll(), "Traceback" in log.read_text()) == (0, False)
    finally:
        process.kill()
        process.wait()
