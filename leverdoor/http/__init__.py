# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 over asyncio: messages, and the server of an entry."""
