"""Plots of overload runs."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from .measures import BIN_S


def plot_run(
    title: str,
    series_by_kind: dict[str, dict[str, list[float]]],
    trigger: tuple[float, float],
    path: Path,
) -> None:
    """Draw requests per second over time as a PNG file, one panel per kind.

    Args:
        title: Title of the figure.
        series_by_kind: Requests per second in each time bin, as from ``time_series``.
        trigger: Start and end of the surge or fault, in seconds.
        path: File to write.
    """
    figure, axes = pyplot.subplots(len(series_by_kind), 1, sharex=True, figsize=(8, 7))
    for axis, (kind, rows) in zip(axes, sorted(series_by_kind.items()), strict=True):
        times = [index * BIN_S for index in range(len(rows["good"]))]
        axis.plot(times, rows["offered"], color="0.7", label="offered")
        axis.plot(times, rows["good"], color="tab:green", label="answered in time")
        axis.plot(times, rows["refused"], color="tab:red", label="not-run")
        axis.axvspan(*trigger, color="tab:orange", alpha=0.12)
        axis.set_ylabel(f"{kind}\nrequests/s")
    axes[0].legend(loc="upper right", fontsize="small")
    axes[0].set_title(title)
    axes[-1].set_xlabel("time in s (shaded: surge or fault)")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
