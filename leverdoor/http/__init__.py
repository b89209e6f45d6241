# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 on asyncio streams of bytes, parsed by httptools."""
