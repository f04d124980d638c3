"""Runs all benches and writes one report.

Usage:
  bench [--only NAME]... [--report FILE]

Options:
  --only NAME    Only this bench; may be given again.
  --report FILE  The report [default: bench/_report/index.html].

Exit code 1 if a bench fails or breaks a bound.
"""

from __future__ import annotations

import html
import pathlib
import subprocess
import sys
import time

import attrs
import docopt

HERE = pathlib.Path(__file__).parent
STYLE = 'body{font-family:sans-serif;margin:2em} pre{overflow-x:auto}'


@attrs.frozen
class Outcome:
    """What running one bench gave.

    Attributes:
        name: Name of the bench.
        code: Exit code; 0 if all bounds are kept.
        text: What it printed.
        seconds: How long it took.
        plots: Paths of plots, relative to the report.
    """

    name: str
    code: int
    text: str
    seconds: float
    plots: tuple[str, ...] = ()


def found() -> list[str]:
    """Returns the names of the benches: packages that can be run."""
    mains = HERE.glob('*/__main__.py')
    return sorted(path.parent.name for path in mains)


def run(name: str, folder: pathlib.Path) -> Outcome:
    """Runs a bench in a process of its own, with fresh counters."""
    command = [sys.executable, '-m', f'bench.{name}']
    plots = folder / 'plots'
    if name == 'decisions':
        command += ['--plots', str(plots)]
    started = time.monotonic()
    done = subprocess.run(  # noqa: S603
        command,
        cwd=HERE.parent,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    seconds = time.monotonic() - started
    files: tuple[str, ...] = ()
    if name == 'decisions' and plots.exists():
        files = tuple(f'plots/{path.name}' for path in sorted(plots.iterdir()))
    return Outcome(name, done.returncode, done.stdout, seconds, files)


def section(outcome: Outcome) -> str:
    """Returns the part of the report for one bench."""
    verdict = 'bounds kept' if outcome.code == 0 else f'FAILED {outcome.code}'
    images = ''.join(f'<p><img src="{name}"></p>' for name in outcome.plots)
    return (
        f'<h2>{html.escape(outcome.name)}: {verdict}, '
        f'{outcome.seconds:.0f} s</h2>\n'
        f'<pre>{html.escape(outcome.text)}</pre>\n{images}'
    )


def main() -> int:
    """Runs the benches; returns 1 if one of them failed."""
    options = docopt.docopt(__doc__)
    report = pathlib.Path(options['--report'])
    report.parent.mkdir(parents=True, exist_ok=True)
    outcomes = []
    for name in options['--only'] or found():
        print(f'bench.{name} ...', flush=True)
        outcome = run(name, report.parent)
        print(outcome.text)
        print(f'bench.{name}: exit code {outcome.code}', flush=True)
        outcomes.append(outcome)
    body = '\n'.join(section(outcome) for outcome in outcomes)
    page = (
        '<!doctype html><meta charset="utf-8"><title>Benches</title>'
        f'<style>{STYLE}</style><h1>Benches</h1>\n{body}\n'
    )
    report.write_text(page, encoding='utf-8')
    print(f'report: {report}')
    return int(any(outcome.code for outcome in outcomes))


if __name__ == '__main__':
    sys.exit(main())
