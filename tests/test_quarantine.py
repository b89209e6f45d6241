# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Quarantine of requests on a fake clock: the cause is quarantined and no other."""

from itertools import count

from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.quarantine.crashes import CRASH_RETENTION_S, MAX_CRASHES, LostRun
from leverdoor.quarantine.notices import serialize_notices
from leverdoor.quarantine.outbox import MAX_SENT, RESEND_S
from leverdoor.quarantine.quarantine import (
    HOLD_S,
    JUDGMENT_DELAY_S,
    MAX_JUDGMENT_DELAY_S,
    MAX_TRIALS,
    TRIAL_DELAY_S,
    Quarantine,
)
from leverdoor.quarantine.verdict import (
    MIN_CRASHES,
    MIN_CRASHES_UNATTRIBUTED,
    Verdict,
    judge_request,
)

FATAL_REQUEST = 0xCA05E
HARMLESS_REQUEST = 0x71C
TARGETS = count(1)
ROUND_S = 0.2


class EntryCluster:
    """The quarantines of some entries that exchange notices without delay."""

    def __init__(self, number: int = 2) -> None:
        self.now = 1000.0
        self.quarantines = [Quarantine() for _ in range(number)]
        self.silent: set[int] = set()

    def crash(
        self, *fingerprints: int, entry_index: int = 0, ran_s: float = 0.1
    ) -> None:
        """Let a target crash while it runs some requests of the entry `entry_index`."""
        self.now += ran_s
        target = next(TARGETS)
        for fingerprint in fingerprints:
            run = LostRun(fingerprint, self.now - ran_s, self.now)
            self.quarantines[entry_index].record_crash(target, run, self.now)

    def round(self, rounds: int = 1) -> None:
        for _ in range(rounds):
            self.now += ROUND_S
            for i, quarantine in enumerate(self.quarantines):
                quarantine.judge(self.now)
                notices = quarantine.notices(self.now)
                assert len(serialize_notices(notices)) <= 19 * MAX_SENT
                for j, receiver in enumerate(self.quarantines):
                    if i != j and not self.silent & {i, j}:
                        receiver.receive(notices, self.now)

    def starts_trial(self, fingerprint: int, entry_index: int = 0) -> bool:
        """Return whether an entry that owns the trials of a request starts one now."""
        hold = self.quarantines[entry_index].active_hold(fingerprint, self.now)
        return hold is not None and self.quarantines[entry_index].start_trial(
            hold, self.now
        )

    def verdict(self, fingerprint: int) -> Verdict:
        """Return the verdict of the first entry."""
        return judge_request(self.quarantines[0]._crash_table, fingerprint)

    def held(self, fingerprint: int) -> list[bool]:
        return [
            quarantine.active_hold(fingerprint, self.now) is not None
            for quarantine in self.quarantines
        ]


SETTLING_ROUNDS = round(JUDGMENT_DELAY_S / ROUND_S) + 2
"""Rounds after which all entries have judged the reported crashes."""


def test_the_third_crash_quarantines_at_any_entry() -> None:
    cluster = EntryCluster(3)
    for entry_index in range(2):
        cluster.crash(FATAL_REQUEST, entry_index=entry_index)
        cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [False, False, False]
    cluster.crash(FATAL_REQUEST, entry_index=2)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [True, True, True]


def test_a_request_that_crashes_targets_on_and_on_is_judged() -> None:
    """Each crash put its judgment off, so it was never quarantined."""
    cluster = EntryCluster(3)
    for crashes in range(MIN_CRASHES + round(MAX_JUDGMENT_DELAY_S / ROUND_S)):
        cluster.crash(FATAL_REQUEST, entry_index=crashes % 3)
        cluster.round()
    assert ROUND_S < JUDGMENT_DELAY_S
    assert cluster.held(FATAL_REQUEST) == [True, True, True]


def test_a_request_running_beside_the_cause_is_not_quarantined() -> None:
    """The cause has one more crash, so only the cause is quarantined."""
    cluster = EntryCluster()
    cluster.crash(FATAL_REQUEST, entry_index=1)
    for _ in range(MIN_CRASHES):
        cluster.crash(HARMLESS_REQUEST, entry_index=0)
        # The other entry reports the same crash a moment later.
        run = LostRun(FATAL_REQUEST, cluster.now - 0.08, cluster.now)
        target = next(TARGETS) - 1
        cluster.quarantines[1].record_crash(target, run, cluster.now)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [True, True]
    assert [cluster.verdict(FATAL_REQUEST), cluster.verdict(HARMLESS_REQUEST)] == [
        Verdict.CAUSE,
        Verdict.HARMLESS,
    ]


def test_requests_that_always_ran_together_both_get_trials() -> None:
    """The harmless request is released, and the trials of the cause are bounded."""
    cluster = EntryCluster()
    for _ in range(MIN_CRASHES):
        cluster.crash(FATAL_REQUEST, HARMLESS_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == cluster.held(HARMLESS_REQUEST) == [True, True]
    assert not cluster.starts_trial(HARMLESS_REQUEST)
    cluster.now += TRIAL_DELAY_S
    assert cluster.starts_trial(HARMLESS_REQUEST)
    cluster.quarantines[0].answered(HARMLESS_REQUEST, cluster.now)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(HARMLESS_REQUEST) == [False, False]
    trials = 0
    while cluster.now < 1000.0 + HOLD_S / 2:
        if cluster.starts_trial(FATAL_REQUEST):
            trials += 1
            cluster.crash(FATAL_REQUEST)
        cluster.round()
    assert trials == MAX_TRIALS
    assert cluster.held(FATAL_REQUEST) == [True, True]


def test_a_request_with_more_crashes_does_not_hide_the_cause() -> None:
    """A popular request ran at the same crashes and at earlier ones."""
    cluster = EntryCluster()
    cluster.crash(HARMLESS_REQUEST)
    cluster.crash(HARMLESS_REQUEST)
    for _ in range(MIN_CRASHES_UNATTRIBUTED):
        cluster.crash(FATAL_REQUEST, HARMLESS_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [True, True]


def test_a_completed_run_moves_the_evidence_to_the_concurrent_requests() -> None:
    cluster = EntryCluster()
    for _ in range(MIN_CRASHES):
        cluster.crash(FATAL_REQUEST, HARMLESS_REQUEST)
    assert cluster.verdict(FATAL_REQUEST) is Verdict.UNSURE
    cluster.quarantines[0].answered(HARMLESS_REQUEST, cluster.now)
    assert cluster.verdict(FATAL_REQUEST) is Verdict.CAUSE


def test_targets_that_crash_together_count_once() -> None:
    """A failure domain that loses power ends many runs of a popular request."""
    cluster = EntryCluster()
    cluster.now += 0.1
    for _ in range(2 * MIN_CRASHES):
        run = LostRun(HARMLESS_REQUEST, cluster.now - 0.1, cluster.now)
        cluster.quarantines[0].record_crash(next(TARGETS), run, cluster.now)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(HARMLESS_REQUEST) == [False, False]


def test_overlapping_attempts_count_by_their_crash_events() -> None:
    """The runs overlap, but one event does not crash targets 0.1 s apart."""
    cluster = EntryCluster(1)
    began = cluster.now
    for i in range(MIN_CRASHES):
        cluster.now = began + 0.2 + 0.1 * i
        run = LostRun(FATAL_REQUEST, began + 0.01 * i, cluster.now)
        cluster.quarantines[0].record_crash(next(TARGETS), run, cluster.now)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [True]


def test_a_request_gets_a_trial_while_targets_crash_by_themselves() -> None:
    cluster = EntryCluster(1)
    for i in range(MIN_CRASHES):
        cluster.crash(HARMLESS_REQUEST, 10_000 + i)
        for j in range(6):
            cluster.crash(20_000 + 10 * i + j)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(HARMLESS_REQUEST) == [True]
    cluster.now += TRIAL_DELAY_S
    assert cluster.starts_trial(HARMLESS_REQUEST)


def test_many_targets_that_crash_together_do_not_hide_the_cause() -> None:
    cluster = EntryCluster(1)
    cluster.crash(FATAL_REQUEST)
    cluster.now += 0.1
    for i in range(50):
        run = LostRun(20_000 + i, cluster.now - 0.1, cluster.now + 0.0005 * i)
        cluster.quarantines[0].record_crash(next(TARGETS), run, cluster.now)
    for _ in range(MIN_CRASHES - 1):
        cluster.crash(FATAL_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [True]


def test_a_completed_run_discards_the_earlier_evidence() -> None:
    cluster = EntryCluster(3)
    for entry_index in range(MIN_CRASHES):
        cluster.crash(HARMLESS_REQUEST, entry_index=entry_index)
    cluster.quarantines[0].answered(HARMLESS_REQUEST, cluster.now)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(HARMLESS_REQUEST) == [False, False, False]
    cluster.crash(HARMLESS_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(HARMLESS_REQUEST) == [False, False, False]


def test_a_completed_run_releases_a_quarantined_request() -> None:
    cluster = EntryCluster(3)
    for _ in range(MIN_CRASHES):
        cluster.crash(HARMLESS_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(HARMLESS_REQUEST) == [True, True, True]
    cluster.quarantines[2].answered(HARMLESS_REQUEST, cluster.now)
    cluster.round(2)
    assert cluster.held(HARMLESS_REQUEST) == [False, False, False]


def test_an_entry_that_was_cut_off_drops_its_outdated_hold() -> None:
    """A request that it quarantined while cut off was completed elsewhere."""
    cluster = EntryCluster(3)
    cluster.silent = {0}
    for _ in range(MIN_CRASHES):
        cluster.crash(HARMLESS_REQUEST, entry_index=0)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(HARMLESS_REQUEST) == [True, False, False]
    cluster.quarantines[1].answered(HARMLESS_REQUEST, cluster.now)
    cluster.silent = set()
    cluster.round(10)
    assert cluster.held(HARMLESS_REQUEST) == [False, False, False]


def test_a_hold_reaches_an_entry_that_was_cut_off() -> None:
    cluster = EntryCluster(3)
    cluster.silent = {2}
    for _ in range(MIN_CRASHES):
        cluster.crash(FATAL_REQUEST)
    cluster.round(30)
    assert cluster.held(FATAL_REQUEST) == [True, True, False]
    cluster.silent = set()
    cluster.round(10)
    assert cluster.held(FATAL_REQUEST) == [True, True, True]


def test_a_hold_expires_and_three_more_crashes_renew_it() -> None:
    cluster = EntryCluster(1)
    for _ in range(MIN_CRASHES):
        cluster.crash(FATAL_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    hold = cluster.quarantines[0].active_hold(FATAL_REQUEST, cluster.now)
    assert hold is not None
    cluster.now = hold.until
    assert cluster.held(FATAL_REQUEST) == [False]
    assert CRASH_RETENTION_S <= HOLD_S
    cluster.crash(FATAL_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [False]
    for _ in range(MIN_CRASHES - 1):
        cluster.crash(FATAL_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [True]


def test_the_evidence_against_a_request_survives_a_full_table() -> None:
    """One event crashes hundreds of targets, each of which runs a popular request."""
    cluster = EntryCluster(1)
    for _ in range(MIN_CRASHES - 1):
        cluster.crash(FATAL_REQUEST)
    began = cluster.now
    cluster.now += 0.5
    for i in range(2 * MAX_CRASHES):
        target = next(TARGETS)
        others = range(100 * i + 1_000_000, 100 * i + 1_000_100)
        for fingerprint in (HARMLESS_REQUEST, *others):
            run = LostRun(fingerprint, began, cluster.now + 0.0001 * i)
            cluster.quarantines[0].record_crash(target, run, cluster.now)
    assert len(cluster.quarantines[0]._crash_table) <= MAX_CRASHES
    cluster.now += 1.0
    cluster.crash(FATAL_REQUEST)
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [True]


events = st.lists(
    st.tuples(
        st.sampled_from(["crash", "answer", "round"]),
        st.integers(0, 2),
        st.integers(1, 4),
    ),
    max_size=60,
)


@settings(max_examples=60, deadline=None)
@given(events)
def test_entries_converge_on_the_same_holds(
    events_in_order: list[tuple[str, int, int]],
) -> None:
    """All entries quarantine the same requests after any crashes and answers."""
    cluster = EntryCluster(3)
    for event, entry_index, fingerprint in events_in_order:
        if event == "crash":
            cluster.crash(fingerprint, entry_index=entry_index)
        elif event == "answer":
            cluster.now += 0.01
            cluster.quarantines[entry_index].answered(fingerprint, cluster.now)
        else:
            cluster.round()
    cluster.round(SETTLING_ROUNDS + round(RESEND_S / ROUND_S))
    for fingerprint in range(1, 5):
        assert len(set(cluster.held(fingerprint))) == 1, fingerprint


def test_no_harmless_request_is_held_beside_a_cause_of_simultaneous_crashes() -> None:
    """A request at three of six crashes is harmless if another was at all six.

    Guards against a comparison of event counts alone. Six crashes within 74 ms make up
    three events, so the cause counts as three, like a look-up that was running at three
    of the crashes, one after the other. Harmless look-ups were refused for 2.3 s.
    """
    cluster = EntryCluster()
    runs = (
        (1, 0.046, 0.072),
        (2, 0.058, 0.087),
        (3, 0.060, 0.090),
        (4, 0.087, 0.131),
        (5, 0.090, 0.134),
        (6, 0.072, 0.146),
    )
    for target, began, end in runs:
        run = LostRun(FATAL_REQUEST, cluster.now + began, cluster.now + end)
        cluster.quarantines[0].record_crash(target, run, cluster.now + end)
    for target, began, end in ((2, 0.058, 0.087), (4, 0.087, 0.116), (6, 0.120, 0.161)):
        cluster.quarantines[1].record_crash(
            target,
            LostRun(HARMLESS_REQUEST, cluster.now + began, cluster.now + end),
            cluster.now,
        )
    cluster.now += 0.2
    cluster.round(SETTLING_ROUNDS)
    assert cluster.held(FATAL_REQUEST) == [True, True]
    assert cluster.held(HARMLESS_REQUEST) == [False, False]
