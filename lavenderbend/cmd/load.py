"""`lavenderbend load`."""

from __future__ import annotations

import pathlib
from typing import Any
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import demo_text
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import numbers
from lavenderbend.load import plans
from lavenderbend.protocol import documents_yaml
from lavenderbend.protocol import yaml_nodes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.load import results

MAX_SECONDS = 86_400.0
MAX_RATE = 10_000.0
MIXES = ', '.join(plans.MIXES)


@attrs.frozen
class Senders:
    """The customers file of a load.

    Attributes:
        customers: Customers that send calls, the largest first.
    """

    customers: tuple[plans.LoadCustomer, ...]


@base.COMMANDS.register('load')
class Load(base.Command):
    """Sends a seeded load."""

    summary = 'send a seeded load of returning chats to routers'
    usage = f"""Send a seeded load of returning chats to routers.

Answers of stand-in engines are compared with the one right answer; those of
others can only be checked for wholeness (--any-text).

Usage:
  lavenderbend load --customers FILE --mix NAME [--seconds S] [--rate R]
                    [--seed N] [--surge NAME]... [--surge-factor F]
                    [--any-text] [--histogram FILE] [--plot FILE] [--json]
                    URL...

Options:
  --customers FILE   Names and credentials, in YAML.
  --mix NAME         Kinds of calls: {MIXES}.
  --seconds S        How long calls are begun [default: 20].
  --rate R           Calls a second outside of surges [default: 20].
  --seed N           Seed of everything random [default: 1].
  --surge NAME       A customer that surges in the middle third.
  --surge-factor F   Its traffic against the usual [default: 10].
  --any-text         Take any whole answer of an engine for right.
  --histogram FILE   Write the latencies as HDR percentiles.
  --plot FILE        Draw the latencies into a PNG or SVG.
  --json             Write the result as JSON.
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Sends the load and writes its result."""
        plan = read_plan(arguments)
        result = trio.run(send_load, plan, arguments, output)
        write_files(result, arguments)
        text = '\n\n'.join(
            (
                demo_text.answer_table({plan.mix: result}),
                demo_text.latency_table({plan.mix: result}),
            )
        )
        output.write_result(result.to_document(), text)
        if result.wrong or result.cut or not result.whole:
            return exit_codes.ExitCode.FAILED
        return exit_codes.ExitCode.OK


def read_plan(arguments: Mapping[str, Any]) -> plans.LoadPlan:
    """Returns the load plan that the command line describes.

    Raises:
        DocumentErrors: All faults of the customers file.
        SettingsError: An option is invalid.
    """
    path = arguments['--customers']
    document = yaml_nodes.parse(documents_yaml.read_file(path), path)
    senders = documents_yaml.structure(document, Senders)
    if not senders.customers:
        raise errors.SettingsError(f'{path}: no customers')
    if arguments['--mix'] not in plans.MIXES.entries:
        raise errors.SettingsError(f'--mix: one of {MIXES}')
    names = {customer.name for customer in senders.customers}
    unknown = set(arguments['--surge']) - names
    if unknown:
        raise errors.SettingsError(f'--surge: no customer {unknown.pop()!r}')
    seconds = numbers.read_number('--seconds', arguments, 1.0, MAX_SECONDS)
    factor = numbers.read_number('--surge-factor', arguments, 0.0, 1000.0)
    surge = plans.Surge(
        tuple(arguments['--surge']), factor, seconds / 3, seconds / 3
    )
    return plans.LoadPlan(
        mix=arguments['--mix'],
        customers=senders.customers,
        seconds=seconds,
        rate=numbers.read_number('--rate', arguments, 0.01, MAX_RATE),
        seed=int(numbers.read_number('--seed', arguments, 0, 2**31)),
        surges=(surge,),
    )


async def send_load(
    plan: plans.LoadPlan, arguments: Mapping[str, Any], output: base.Output
) -> results.LoadResult:
    """Sends the load and writes its progress."""
    # imported here because the load generator and the stand-ins' answers
    # import slowly
    from lavenderbend import load
    from lavenderbend.standin import engine_texts

    def progress(result: results.LoadResult) -> None:
        output.write_message(
            f'{result.whole} whole, {result.wrong} wrong, {result.cut} cut, '
            f'{result.refused} refused'
        )

    expected = None if arguments['--any-text'] else engine_texts.answer_text
    return await load.run_load(plan, arguments['URL'], expected, progress)


def write_files(
    result: results.LoadResult, arguments: Mapping[str, Any]
) -> None:
    """Writes the requested histogram and plot files."""
    from lavenderbend.load import plots

    if arguments['--histogram'] is not None:
        with pathlib.Path(arguments['--histogram']).open('wb') as stream:
            plots.write_histograms(result, stream)
    if arguments['--plot'] is not None:
        plots.write_plot(result, arguments['--plot'])
