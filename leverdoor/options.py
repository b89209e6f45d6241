# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Command-line option types, and the options of daemons.

Owns no state.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import click

from leverdoor.errors import SettingsError
from leverdoor.settings import Address, parse_address

__all__ = ["ADDRESS_TYPE", "daemon_option"]

ENVIRONMENT_PREFIX = "LEVERDOOR_"

F = TypeVar("F", bound=Callable[..., Any])


class _AddressType(click.ParamType[Address]):
    name = "ip:port"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        if isinstance(value, Address):
            return value
        try:
            return parse_address(str(value))
        except SettingsError as e:
            self.fail(e.detail, param, ctx)


ADDRESS_TYPE = _AddressType()


def daemon_option(flag: str, **kwargs: Any) -> Callable[[F], F]:
    """Declare a daemon's option, set by a flag or an environment variable.

    Args:
      flag: the flag, such as `--some-name`; the variable is then LEVERDOOR_SOME_NAME.
      **kwargs: further arguments of `click.option`.
    Returns: the decorator that adds the option.
    """
    variable = ENVIRONMENT_PREFIX + flag.lstrip("-").replace("-", "_").upper()
    return click.option(flag, envvar=variable, show_envvar=True, **kwargs)
