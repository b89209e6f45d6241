# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Option types of the command line, and settings as flag and environment variable.

Owns no state.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import click

from leverdoor.errors import SettingsError
from leverdoor.settings import Address, parse_address

__all__ = ["ADDRESS", "setting_option"]

ENVIRONMENT = "LEVERDOOR_"

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


ADDRESS = _AddressType()


def setting_option(flag: str, **kwargs: Any) -> Callable[[F], F]:
    """Declare a daemon's setting: a flag and an environment variable.

    Args:
      flag: the flag, as `--some-name`; the variable is LEVERDOOR_SOME_NAME.
      **kwargs: what click takes besides.
    """
    name = ENVIRONMENT + flag.lstrip("-").replace("-", "_").upper()
    return click.option(flag, envvar=name, show_envvar=True, **kwargs)
