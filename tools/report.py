#!/usr/bin/env python3
"""Draws plots of bench output, as plain SVG files.

    tools/report.py PATH-OUTPUT QUERY-OUTPUT [FOLDER]

PATH-OUTPUT is what tools/bench.sh path printed, QUERY-OUTPUT what
tools/bench.sh query printed; FOLDER is docs/results unless given. Each line is
"name value unit bound"; a figure that is not in the output is left out of its
plot. Needs only Python's standard library.
"""

import html
import math
import pathlib
import sys

WIDTH, ROW, LEFT, TOP = 760, 20, 250, 58
ROOM = 90  # For the number at the end of a bar.
COLOURS = {"baseline": "#b0b7c3", "full": "#1f6f8b", "target": "#c0392b"}
SERIES = ("baseline", "full")


def figures(path):
    """Values by name. Lines that are no figures are passed over."""
    values = {}
    for line in pathlib.Path(path).read_text().splitlines():
        parts = line.split()
        if len(parts) != 4:
            continue
        try:
            values[parts[0]] = float(parts[1])
        except ValueError:
            continue
    return values


def text(x, y, what, size=12, anchor="start", colour="#222"):
    return (f'<text x="{x:.1f}" y="{y:.1f}" font-size="{size}" '
            f'text-anchor="{anchor}" fill="{colour}">{html.escape(what)}</text>')


def legend(rows):
    used = [s for s in SERIES if any(series == s for _, series, _ in rows)]
    parts = []
    for place, series in enumerate(used):
        x = LEFT + place * 110
        parts.append(f'<rect x="{x}" y="34" width="12" height="12" '
                     f'fill="{COLOURS[series]}"/>')
        parts.append(text(x + 18, 45, series))
    return parts


def bars(title, unit, rows, target=None):
    """Horizontal bars. Rows are (label, series, value)."""
    top = max([value for _, _, value in rows] + [target or 0, 1e-9])
    scale = (WIDTH - LEFT - ROOM) / top
    height = TOP + ROW * len(rows) + 24
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
             f'height="{height}" font-family="sans-serif">',
             f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
             text(10, 22, f"{title} ({unit})", 15), *legend(rows)]
    for place, (label, series, value) in enumerate(rows):
        y = TOP + ROW * place
        parts.append(text(LEFT - 8, y + 13, label, anchor="end"))
        parts.append(f'<rect x="{LEFT}" y="{y + 2}" height="{ROW - 5}" '
                     f'width="{value * scale:.1f}" fill="{COLOURS[series]}"/>')
        parts.append(text(LEFT + value * scale + 5, y + 13, f"{value:.4g}"))
    if target is not None:
        x, end = LEFT + target * scale, TOP + ROW * len(rows)
        parts.append(f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP - 4}" '
                     f'y2="{end}" stroke="{COLOURS["target"]}"/>')
        parts.append(text(x, end + 15, f"target {target:g}", 11, "middle",
                          COLOURS["target"]))
    return "\n".join(parts + ["</svg>", ""])


def rows_of(values, wanted):
    """Rows of the wanted (label, series, name) that were measured."""
    return [(label, series, values[name]) for label, series, name in wanted
            if name in values and math.isfinite(values[name])]


def latency(values):
    wanted = []
    for quantile in ("p50", "p99", "p99.9"):
        for series in SERIES:
            base = f"path.tail.{series}"
            wanted.append((f"{quantile}, {series}", series, f"{base}.{quantile}"))
            wanted.append((f"{quantile}, {series}, no stragglers", series,
                           f"{base}.no_stragglers.{quantile}"))
    return bars("Latency of searches, real daemons", "ms",
                rows_of(values, wanted))


def coverage(values):
    """What was missing: whole bars of 99.9% tell nothing apart."""
    wanted = [(f"{step}, {series}", series, f"path.tail.{series}{name}.coverage")
              for step, name in (("with stragglers", ""),
                                 ("no stragglers", ".no_stragglers"))
              for series in SERIES]
    for series in SERIES:
        prefix = f"path.frozen.{series}.coverage_at_"
        for name in values:
            if name.startswith(prefix):
                wanted.append((f"frozen, {series}, after {name[len(prefix):]}",
                               series, name))
    rows = [(label, series, 100 - value)
            for label, series, value in rows_of(values, wanted)]
    return bars("Missing coverage, as answers said truly", "% of services", rows)


def extra(values):
    wanted = [(f"{label}, {series}", series, f"path.tail.{series}.{name}")
              for name, label in (("extra", "seen by upstreams"),
                                  ("hedges", "hedges sent"),
                                  ("retries", "retries sent"))
              for series in SERIES]
    return bars("Extra upstream requests", "% of first ones",
                rows_of(values, wanted), 5)


def frozen(values):
    wanted = []
    for series in SERIES:
        prefix = f"path.frozen.{series}.p99_"
        for name in values:
            if name == prefix + "before" or name.startswith(prefix + "at_"):
                wanted.append((f"{series}, {name[len(prefix):]}", series, name))
    return bars("p99 of a second, a third frozen at 0 s", "ms",
                rows_of(values, wanted))


def overload(values):
    wanted = [(f"{share:.1f}x capacity, {series}", series,
               f"path.overload.{series}.at_{share:.1f}x.goodput")
              for share in (0.6, 0.8, 1.0, 1.2, 2.0) for series in SERIES]
    return bars("Goodput: complete answers in time", "1/s",
                rows_of(values, wanted))


def query(values):
    """Each step of the strategy in virtual time; the last one is the whole."""
    steps = []
    for name in values:
        step = name.split(".")[1]
        if name.startswith("query.") and step not in steps:
            steps.append(step)
    wanted = []
    for quantile in ("p50", "p99", "p999", "p99_no_stragglers"):
        for step in steps:
            series = "baseline" if step == "baseline" else "full"
            wanted.append((f"{quantile}, {step}", series,
                           f"query.{step}.{quantile}"))
    return bars("Latency by step of the strategy, virtual time", "ms",
                rows_of(values, wanted))


def main():
    if len(sys.argv) not in (3, 4):
        print(__doc__, file=sys.stderr)
        return 2
    values = figures(sys.argv[1])
    folder = pathlib.Path(sys.argv[3] if len(sys.argv) == 4 else
                          pathlib.Path(__file__).resolve().parents[1]
                          / "docs/results")
    folder.mkdir(parents=True, exist_ok=True)
    for draw in (latency, coverage, extra, frozen, overload):
        (folder / f"{draw.__name__}.svg").write_text(draw(values))
    (folder / "query.svg").write_text(query(figures(sys.argv[2])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
