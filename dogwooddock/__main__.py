"""Entry point of ``dogwooddock`` and ``python -m dogwooddock``."""

import signal
import sys


def main() -> None:
    """Run a command; a node ignores a reload signal until it handles it."""
    if sys.argv[1:2] == ["node"]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .operators.cli import main as run  # Its libraries take a while to be imported.

    run()


if __name__ == "__main__":
    main()
