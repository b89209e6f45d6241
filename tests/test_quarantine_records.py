# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The records of quarantined requests in the store, and their effect on entries."""

import os
import time
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.quarantine_records import REMOVAL_DELAY_S, QuarantineRecords
from leverdoor.errors import Code
from leverdoor.platform.wire_format import wire
from leverdoor.quarantine.crashes import LostRun
from leverdoor.quarantine.fingerprint import fingerprint_text
from leverdoor.quarantine.notices import serialize_notices
from leverdoor.quarantine.quarantine import (
    HOLD_S,
    JUDGMENT_DELAY_S,
    MAX_TRIALS,
    TRIAL_DELAY_S,
    Hold,
    Quarantine,
)
from leverdoor.quarantine.records import (
    hold_from_record,
    parse_record,
    record_from_hold,
    serialize_record,
)
from leverdoor.quarantine.refusal import quarantine_refusal
from leverdoor.quarantine.verdict import MIN_CRASHES
from leverdoor.storage.store import KeyValue, LeasingStore, MemoryStore, Write

FATAL_REQUEST = 0xCA05E
KEY = wire({}).quarantine_record_key(fingerprint_text(FATAL_REQUEST))
WALL_S = 1.7e9
HOUR_S = 3_600.0


class Entry:
    """The quarantine of one entry with its records; a dict stands in for the store."""

    def __init__(self, store: dict[str, KeyValue], now: float = 1000.0) -> None:
        self.now = now
        self.store = store
        self.quarantine = Quarantine()
        events = Events(LineWriter(os.open(os.devnull, os.O_WRONLY)), "n1")
        unused: LeasingStore = MemoryStore()  # type: ignore[assignment]
        self.records = QuarantineRecords(
            self.quarantine, unused, wire({}), "n1", events, Random(1), lambda: True
        )

    def read(self) -> None:
        records = {k.rpartition("/")[2]: v for k, v in self.store.items()}
        self.records.take(records, self.now)

    def write(self, wall_s: float) -> list[Write]:
        """Apply the due writes to the store, and let the entry read the store again."""
        writes = self.records.pending_writes(self.now, wall_s)
        for w in writes:
            stored = self.store.get(w.key)
            assert w.expected_revision == (stored.revision if stored else 0)
            if w.value is None:
                del self.store[w.key]
            else:
                revision = stored.revision + 1 if stored else 1
                self.store[w.key] = KeyValue(w.key, w.value, revision)
        self.read()
        return writes

    def quarantine_by_crashes(self, concurrent: int = 0) -> None:
        """Let targets crash until the fatal request is quarantined.

        Args:
          concurrent: another request that ran at the crashes; 0 for none.
        """
        for i in range(MIN_CRASHES):
            self.now += 1.0
            for fingerprint in {FATAL_REQUEST, concurrent or FATAL_REQUEST}:
                run = LostRun(fingerprint, self.now - 0.1, self.now)
                self.quarantine.record_crash(i, run, self.now)
        self.now += 1.1 * JUDGMENT_DELAY_S
        self.quarantine.judge(self.now)
        assert self.held()

    def held(self) -> bool:
        self.quarantine.judge(self.now)
        return self.quarantine.active_hold(FATAL_REQUEST, self.now) is not None


@pytest.fixture(autouse=True)
def wall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: WALL_S)


def test_a_record_is_written_once_and_restored_by_an_entry_that_starts() -> None:
    entry = Entry({})
    entry.quarantine_by_crashes()
    assert [w.key for w in entry.write(WALL_S)] == [KEY]
    assert entry.write(WALL_S) == []
    restarted = Entry(entry.store)
    restarted.read()
    assert restarted.held()


def test_deleting_a_record_releases_its_request() -> None:
    entry = Entry({})
    entry.quarantine_by_crashes()
    entry.write(WALL_S)
    entry.store.clear()
    entry.read()
    assert not entry.held()
    assert entry.write(WALL_S) == []


def test_a_completed_run_removes_the_record() -> None:
    entry = Entry({})
    entry.quarantine_by_crashes()
    entry.write(WALL_S)
    entry.now += 1.0
    entry.quarantine.answered(FATAL_REQUEST, entry.now)
    assert [w.value for w in entry.write(WALL_S)] == [None]


def test_an_expired_record_is_removed() -> None:
    entry = Entry({})
    entry.quarantine_by_crashes()
    entry.write(WALL_S)
    entry.now += HOLD_S + REMOVAL_DELAY_S
    assert not entry.held()
    assert entry.write(WALL_S) == []
    entry.now += 1.0
    assert [w.value for w in entry.write(WALL_S)] == [None]


def test_a_clock_that_is_ahead_removes_no_record() -> None:
    """Removing the record would release the request at all entries."""
    entry = Entry({})
    entry.quarantine_by_crashes()
    entry.write(WALL_S)
    ahead = Entry(entry.store)
    ahead.read()
    assert ahead.write(WALL_S + HOUR_S) == []
    assert KEY in entry.store


def test_a_second_quarantine_writes_a_new_record() -> None:
    entry = Entry({})
    entry.quarantine_by_crashes()
    entry.write(WALL_S)
    entry.now += HOLD_S + 1.0
    assert not entry.held()
    entry.quarantine_by_crashes()
    assert [w.value is None for w in entry.write(WALL_S + HOLD_S)] == [False]
    assert entry.held()


def test_a_record_has_the_number_of_trials_left() -> None:
    """An entry that starts must not repeat the trials of other entries."""
    entry = Entry({})
    entry.quarantine_by_crashes(concurrent=FATAL_REQUEST + 1)
    entry.write(WALL_S)
    entry.now += TRIAL_DELAY_S
    hold = entry.quarantine.active_hold(FATAL_REQUEST, entry.now)
    assert hold is not None and hold.tries == MAX_TRIALS
    assert entry.quarantine.start_trial(hold, entry.now)
    entry.write(WALL_S)
    assert parse_record(entry.store[KEY].value).tries == MAX_TRIALS - 1
    assert entry.held()


def test_unreadable_records_are_ignored() -> None:
    bad = {"x/zz": KeyValue("x/zz", b"{}", 1), "x/12": KeyValue("x/12", b"[", 1)}
    entry = Entry(bad)
    entry.read()
    assert entry.write(WALL_S) == []


def test_the_age_of_a_record_is_clamped_against_wrong_wall_clocks() -> None:
    hold = Hold(FATAL_REQUEST, 990.0, 1000.0)
    record = record_from_hold(hold, "n1", 1010.0, WALL_S)
    assert parse_record(serialize_record(record)) == record
    for wall_s, at in ((WALL_S, 1010.0), (WALL_S - HOUR_S, 1020.0)):
        found = hold_from_record(record, FATAL_REQUEST, 1020.0, wall_s)
        assert found.quarantined_at == pytest.approx(at, abs=0.01)
        assert found.quarantined_at - found.first_crash_at == pytest.approx(
            10.0, abs=0.01
        )
    assert (
        hold_from_record(record, FATAL_REQUEST, 5000.0, WALL_S + HOUR_S).until == 5000.0
    )


def test_a_refusal_has_the_time_to_the_next_trial_or_the_end_of_the_hold() -> None:
    certain = quarantine_refusal(Hold(FATAL_REQUEST, 990.0, 1000.0), 1100.0)
    assert certain.code is Code.QUARANTINED
    assert certain.retry_after_ms == round((HOLD_S - 100.0) * 1000)
    uncertain = quarantine_refusal(
        Hold(FATAL_REQUEST, 990.0, 1000.0, 1, 1005.0), 1002.0
    )
    assert uncertain.retry_after_ms == 3_000
    assert quarantine_refusal(
        Hold(FATAL_REQUEST, 990.0, 1000.0, 1, 1005.0), 1004.9
    ).retry_after_ms == (1_000)


def read_record_and_send_notices(text: str, value: bytes) -> Entry:
    """Let an entry read a record of another program and send its notices."""
    entry = Entry({})
    entry.records.take({text: KeyValue(KEY, value, 1)}, entry.now)
    entry.records.pending_writes(entry.now, WALL_S)
    entry.quarantine.judge(entry.now)
    serialize_notices(entry.quarantine.notices(entry.now))
    return entry


VALID_RECORD = b'{"held_at_ms":1700000000000,"first_s":2.0,"entry":"n1","tries":1}'


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("f" * 20, VALID_RECORD),
        ("-1", VALID_RECORD),
        (
            fingerprint_text(FATAL_REQUEST),
            VALID_RECORD.replace(b'"tries":1', b'"tries":-1'),
        ),
        (
            fingerprint_text(FATAL_REQUEST),
            VALID_RECORD.replace(b'"tries":1', b'"tries":%d' % (1 << 40)),
        ),
        (fingerprint_text(FATAL_REQUEST), VALID_RECORD.replace(b"2.0", b"1e308")),
        (
            fingerprint_text(FATAL_REQUEST),
            VALID_RECORD.replace(b"1700000000000", b"9" * 400),
        ),
    ],
)
def test_a_record_out_of_range_does_not_stop_heartbeats(
    text: str, value: bytes
) -> None:
    """Guards against a record that stops the heartbeats of all entries.

    A record of the right JSON types was accepted without a check of its ranges. The
    next round could not pack its fingerprint, tries or span into a notice and raised,
    so that no entry sent heartbeats while the record was in the store.
    """
    read_record_and_send_notices(text, value)


@given(
    st.text(max_size=20) | st.integers(0, (1 << 72) - 1).map("{:x}".format),
    st.binary(max_size=40)
    | st.builds(
        '{{"held_at_ms":{},"first_s":{},"entry":"n1","tries":{}}}'.format,
        st.integers(),
        st.floats(allow_nan=False, allow_infinity=False),
        st.integers(),
    ).map(str.encode),
)
def test_any_record_is_read_or_ignored(text: str, value: bytes) -> None:
    read_record_and_send_notices(text, value)
