# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Defines the command `leverdoor` and registers its subcommands.

Subcommands that change state, and the daemons, are in `commands`; read-only ones are in
`queries`. Each module there holds one subcommand or a few related ones. Owns no state.
"""

import click

from leverdoor import __version__
from leverdoor.commands.apply import apply
from leverdoor.commands.daemons import agent, gate
from leverdoor.commands.delete import delete
from leverdoor.commands.drain import drain, undrain
from leverdoor.commands.experiment import experiment
from leverdoor.commands.load import load
from leverdoor.commands.soak import soak
from leverdoor.queries.explain import explain
from leverdoor.queries.get import get
from leverdoor.queries.lookup import lookup
from leverdoor.queries.losses import losses
from leverdoor.queries.report import report
from leverdoor.queries.status import status
from leverdoor.queries.watch import watch

__all__ = ["main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Steer traffic across regions: operators' commands, and the daemons.

    Operators' commands talk to an agent's resource API; name one or more with
    --api or LEVERDOOR_API. Exit statuses are those of docs/ERRORS.md.
    """


for command in (apply, delete, drain, undrain, load, experiment, soak, agent, gate):
    main.add_command(command)
for query in (get, watch, report, status, lookup, explain, losses):
    main.add_command(query)


if __name__ == "__main__":
    main()
