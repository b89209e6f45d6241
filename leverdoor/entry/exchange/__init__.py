# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries exchange: heartbeats, digests, news of the state, use of quotas."""
