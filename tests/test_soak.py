# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Short soaks, and the seeds that ever failed, of real entry processes."""

import pytest

from leverdoor.standins.soak.run import Soak, SoakOptions

SHORT_S = 4.0
SHORT_TROUBLES = 8

FAILED_ONCE = [
    (102, 20.0, 25, "an entry set back by its clock was heard no more"),
    (103, 20.0, 25, "the same"),
    (203, 20.0, 25, "SIGHUP to a process that had just been started ended it"),
    (211636890, 25.0, 12, "the check took no account of the bound on leaving"),
]
"""Seed, seconds, number of troubles, and the cause of the failure."""


@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_no_promise_is_broken_in_a_short_soak(seed: int) -> None:
    verdict = await Soak(seed, SHORT_S, SHORT_TROUBLES).run()
    assert verdict.breaches == []
    assert verdict.statuses["200"] > 0


@pytest.mark.timeout(240)
@pytest.mark.parametrize(
    ("seed", "seconds", "troubles", "fatal"), [(4, 8.0, 6, 1), (700011, 15.0, 12, 2)]
)
async def test_requests_that_end_their_targets_are_held_back_and_no_others(
    seed: int, seconds: float, troubles: int, fatal: int
) -> None:
    """Beside faults; at 700011 all entries are killed after the first ends.

    Its check once counted sends of entries that had just been started.
    """
    verdict = await Soak(seed, seconds, troubles, SoakOptions(fatal=fatal)).run()
    assert verdict.breaches == []


@pytest.mark.timeout(240)
@pytest.mark.parametrize(
    ("seed", "seconds", "troubles", "fatal"), [(5, 20.0, 8, 0), (920006, 15.0, 15, 1)]
)
async def test_targets_get_together_what_they_named_beside_faults(
    seed: int, seconds: float, troubles: int, fatal: int
) -> None:
    """At 920006 a target at a reused address once answered a fatal request well.

    The site had not let such targets crash, and one good answer releases a request
    everywhere.
    """
    options = SoakOptions(fatal=fatal, limits=3)
    verdict = await Soak(seed, seconds, troubles, options).run()
    assert verdict.breaches == []


@pytest.mark.timeout(240)
async def test_what_targets_say_in_answers_is_heeded_beside_faults() -> None:
    verdict = await Soak(4901, 12.0, 10, SoakOptions(reports=3)).run()
    assert verdict.breaches == []


@pytest.mark.timeout(240)
async def test_cuts_between_entries_break_no_promise() -> None:
    """Each direction by itself, and the store towards some; not how late changes are.

    Other work on the machine would decide that; `test_config_in_force.py` holds the
    bound on a fake clock, `leverdoor soak --cuts` on a machine of its own.
    """
    soak = Soak(6, 8.0, 3, SoakOptions(cuts=6, judge_bound=False))
    verdict = await soak.run()
    assert verdict.breaches == []


@pytest.mark.timeout(240)
async def test_large_configurations_take_no_entry_over_its_memory() -> None:
    """All entries were killed at nearly the same time, and their requests lost."""
    verdict = await Soak(7, 15.0, 2, SoakOptions(large=10)).run()
    assert verdict.breaches == []


@pytest.mark.timeout(240)
@pytest.mark.parametrize(
    ("seed", "seconds", "troubles"), [(780201, 10.0, 6), (782006, 12.0, 8)]
)
async def test_replies_without_end_break_no_promise_beside_faults(
    seed: int, seconds: float, troubles: int
) -> None:
    """Guards against entries that are killed over their memory."""
    verdict = await Soak(seed, seconds, troubles, SoakOptions(broken=4)).run()
    assert verdict.breaches == []


@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", [9011, 751102])
async def test_lost_links_to_targets_break_no_promise(seed: int) -> None:
    """In series, in part and of all entries, beside faults and a fatal request.

    At 751102 the check took no account of entries without any link.
    """
    options = SoakOptions(links=5, fatal=1)
    verdict = await Soak(seed, 8.0, 4, options).run()
    assert verdict.breaches == []


@pytest.mark.timeout(240)
@pytest.mark.parametrize(
    ("seed", "seconds", "troubles", "restores", "fatal"),
    [(6001, 10.0, 8, 3, 1), (6100, 15.0, 25, 6, 0), (6223, 15.0, 12, 3, 1)],
)
async def test_restored_store_reverts_no_change_beside_faults(
    seed: int, seconds: float, troubles: int, restores: int, fatal: int
) -> None:
    """Fails if entries compare bare revisions: they never have the newest again.

    At 6100 a target was written again, by mistake, that had left in an earlier era. At
    6223 the check counted a departure from when the store lost it.
    """
    options = SoakOptions(restores=restores, fatal=fatal, judge_bound=False)
    verdict = await Soak(seed, seconds, troubles, options).run()
    assert verdict.breaches == []


@pytest.mark.timeout(300)
@pytest.mark.parametrize(("seed", "seconds", "troubles", "cause"), FAILED_ONCE)
async def test_what_failed_once_holds(
    seed: int, seconds: float, troubles: int, cause: str
) -> None:
    verdict = await Soak(seed, seconds, troubles).run()
    assert verdict.breaches == [], cause
