"""Runs all benches and writes one report.

Usage:
  bench [--only NAME]... [--short] [--from DIR] [--report FILE]

Options:
  --only NAME    Only this bench; may be given again.
  --short        The short runs, where a bench has them.
  --from DIR     Run nothing; take the figures from the JSON files there.
  --report FILE  The report [default: bench/_report/index.html].

Exit code 1 if a bench fails or breaks a bound.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time
from typing import Any

import attrs
import docopt

from bench.report import figures
from bench.report import page

HERE = pathlib.Path(__file__).parent


@attrs.frozen
class Bench:
    """How a bench is run.

    Attributes:
        name: Module within this package.
        output: Option before the file for its figures, empty if it has none.
        short: Option of its short run, empty if it has none.
        prints: Whether it prints its figures as JSON.
    """

    name: str
    output: str = ''
    short: str = ''
    prints: bool = False


BENCHES = (
    Bench('decisions', output='--json', short='--short'),
    Bench('agreed', output='--figures'),
    Bench('peers'),
    Bench('relay', short='--quick', prints=True),
    Bench('rules_cost'),
    Bench('choice'),
    Bench('fleet', output='--json'),
    Bench('capacity', output='--json'),
)


@attrs.frozen
class Outcome:
    """What running one bench gave.

    Attributes:
        name: Name of the bench.
        code: Exit code; 0 if all bounds are kept, None if it was not run.
        text: What it printed.
        seconds: How long it took.
        figures: Its figures, empty if it gave none.
        short: Whether it was a short run.
    """

    name: str
    code: int | None
    text: str
    seconds: float
    figures: dict[str, Any]
    short: bool = False


def run(bench: Bench, short: bool, folder: pathlib.Path) -> Outcome:
    """Runs a bench in a process of its own, with fresh counters."""
    command = [sys.executable, '-m', f'bench.{bench.name}']
    target = folder / f'{bench.name}.json'
    target.unlink(missing_ok=True)
    if bench.output:
        command += [bench.output, str(target)]
    short = short and bool(bench.short)
    if short:
        command.append(bench.short)
    started = time.monotonic()
    done = subprocess.run(  # noqa: S603
        command,
        cwd=HERE.parent,
        capture_output=True,
        text=True,
        check=False,
    )
    if bench.prints and done.stdout.startswith('{'):
        target.write_text(done.stdout, encoding='utf-8')
    return Outcome(
        bench.name,
        done.returncode,
        done.stdout + done.stderr,
        time.monotonic() - started,
        figures.read(target),
        short,
    )


def from_folder(bench: Bench, folder: pathlib.Path) -> Outcome:
    """Returns what an earlier run left."""
    found = figures.read(folder / f'{bench.name}.json')
    return Outcome(bench.name, None, '', 0.0, found)


def outcomes(options: dict[str, Any], folder: pathlib.Path) -> list[Outcome]:
    """Runs the benches that were asked for, or reads what they left."""
    chosen = [
        bench
        for bench in BENCHES
        if not options['--only'] or bench.name in options['--only']
    ]
    if options['--from']:
        source = pathlib.Path(options['--from'])
        return [from_folder(bench, source) for bench in chosen]
    found = []
    for bench in chosen:
        print(f'bench.{bench.name} ...', flush=True)
        outcome = run(bench, options['--short'], folder)
        print(outcome.text)
        print(f'bench.{bench.name}: exit code {outcome.code}', flush=True)
        found.append(outcome)
    return found


def main() -> int:
    """Runs the benches; returns 1 if one of them failed."""
    options = docopt.docopt(__doc__)
    known = {bench.name for bench in BENCHES}
    for name in options['--only']:
        if name not in known:
            print(f'no bench {name!r}; there are {sorted(known)}')
            return 1
    report = pathlib.Path(options['--report']).absolute()
    report.parent.mkdir(parents=True, exist_ok=True)
    found = outcomes(options, report.parent)
    sections = [
        page.section(
            one.name,
            page.verdict(one.code, one.seconds),
            one.figures,
            one.text,
            one.short,
        )
        for one in found
    ]
    report.write_text(page.page(sections), encoding='utf-8')
    print(f'report: {options["--report"]}')
    return int(any(one.code for one in found))


if __name__ == '__main__':
    try:
        sys.exit(main())
    except json.JSONDecodeError as exc:
        print(f'figures that are no JSON: {exc}', file=sys.stderr)
        sys.exit(1)
