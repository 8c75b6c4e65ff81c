"""Lines that libraries log in a node's process."""

import subprocess
import sys

LIMIT_S = 10.0
LINES = 2000
# Far more than a pipe holds.
SCRIPT = f"""
import logging
from dogwooddock.logs import configure_rate_limited_logs

configure_rate_limited_logs("info")
for _ in range({LINES}):
    logging.getLogger("asyncio").error("accept\\nfailed " + 1000 * "x")
"""


def test_library_lines_do_not_stop_a_process_whose_standard_error_nobody_reads():
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    try:
        assert process.wait(LIMIT_S) == 0
        assert process.stderr.read() == b""
        lines = process.stdout.read().splitlines()
    finally:
        process.kill()
        process.wait()
    messages = [line for line in lines if b" event=library_message " in line]
    assert 0 < len(messages) < LINES
    assert all(b" library=asyncio " in line and len(line) < 1000 for line in messages)


def test_line_about_a_long_request_target_is_short():
    code = (
        "import structlog\n"
        "from dogwooddock.logs import configure_rate_limited_logs\n"
        "configure_rate_limited_logs('info')\n"
        "structlog.get_logger().info('request_unrouted', path='/x' * 8000, count=1)\n"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert "path=/x/x" in done.stdout
    assert "count=1" in done.stdout
    assert len(done.stdout) < 1000
