# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Names of quotas under the module's earlier name, for modules that import them so."""

from leverdoor.workspaces.allowance import EVEN_PART
from leverdoor.workspaces.isolation import stretch
from leverdoor.workspaces.others_use import OthersUse
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["EVEN_PART", "OthersUse", "QuotaBounds", "stretch"]
