# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`python -m leverdoor.standins.partitioned`: an entry whose links can be cut.

Owns no state; see `link_cuts`.
"""

import sys

from leverdoor.standins.link_cuts import install

if __name__ == "__main__":
    install()
    from leverdoor.platform.__main__ import main

    sys.exit(main())
