"""Run a node on the platform."""

import signal


def main() -> None:
    """Run the command; a reload signal is ignored until the node handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .command import app  # Its libraries take a while to be imported.

    app()


if __name__ == "__main__":
    main()
