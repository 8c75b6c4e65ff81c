"""Plots of overload runs."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from .measures import BIN_S


def plot_run(
    title: str,
    table: dict[str, dict[str, list[float]]],
    trigger: tuple[float, float],
    path: Path,
) -> None:
    """Draw goodput and refusals by kind over time into a PNG file."""
    figure, axes = pyplot.subplots(len(table), 1, sharex=True, figsize=(8, 7))
    for axis, (kind, rows) in zip(axes, sorted(table.items()), strict=True):
        times = [index * BIN_S for index in range(len(rows["good"]))]
        axis.plot(times, rows["offered"], color="0.7", label="offered")
        axis.plot(times, rows["good"], color="tab:green", label="answered in time")
        axis.plot(times, rows["refused"], color="tab:red", label="not-run")
        axis.axvspan(*trigger, color="tab:orange", alpha=0.12)
        axis.set_ylabel(f"{kind}\nrequests/s")
    axes[0].legend(loc="upper right", fontsize="small")
    axes[0].set_title(title)
    axes[-1].set_xlabel("s (shaded: the trigger)")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
