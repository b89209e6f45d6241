# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Does a new build of the entries take over the store and settings of an older one?

A site of entries of the older build is configured, used and upset: workspaces use up a
quota, a target names a limit, a request that ends its targets is held back. Then this
build's entries take the place of the older ones on the same store and settings files,
one after the other under traffic or all at once after a kill. What stood in the store,
what entries answer, what they read of their settings, and what they log is judged, and
all that callers and targets saw by the promises of a soak.

State: the site, the record and the findings of one run, lost with it. Relies on the
soak's site, callers and promises, and on both builds having the same command lines and
the same names of log events.
"""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator
from enum import StrEnum
from pathlib import Path
from random import Random

import msgspec

import leverdoor
from leverdoor.standins.entry_process import EntryProcess, Place
from leverdoor.standins.entry_site import SAMPLE_ROUTES, Answer
from leverdoor.standins.soak.callers import SoakCaller
from leverdoor.standins.soak.fatal import fatal_path
from leverdoor.standins.soak.look_ups import DEADLINE_MS, NO_BODY_DIGEST
from leverdoor.standins.soak.promises import breaches as soak_breaches
from leverdoor.standins.soak.record import Attempt, NamedLimit, Record, now_s
from leverdoor.standins.soak.record import RecordedRun as Run
from leverdoor.standins.soak.site import SoakSite, mark_path
from leverdoor.standins.soak.workspaces import FREE, WORKSPACES

__all__ = ["Build", "Mode", "Takeover", "TakeoverPlan", "check_builds", "older_build"]

RUN_S = 58.0
"""Longest time of one run, in seconds."""
READY_S = 15.0
"""Longest time from an entry's start until it is ready, in seconds."""
WAIT_S = 10.0
"""Longest time for anything else that is awaited, in seconds."""
STOP_S = 8.0
"""Longest time that a planned stop may take, in seconds: the grace and 2 s."""
POLL_S = 0.05
"""Seconds between two looks while something is awaited."""
ENOUGH_ENDS = 3
"""Targets that end before a request is held back."""
KNOWN_S = 4.0
"""Time within which all entries are to know that it is held back, in seconds."""
CALLERS = 6
"""Callers at a time; they leave cores to the entries."""
BEFORE_S = 5.0
"""How long callers use the older build, in seconds: a window of a quota."""
NAMED_S = 5.0
"""Longest time until an entry that is ready names its neighbours, in seconds."""
LIMITS = ("1", "2", "3.5")
"""Limits that a target may name, in requests a second; below what it would get."""
MOST_BODY = 1_000_000
"""Longest body that clients may send, in bytes; a soak's callers stay below it."""
EVACUATED = "c1"
"""The failure domain that the operator has evacuated."""
LONGEST_TTL_S = 1.0
"""Longest time for which a look-up may be kept, in seconds; half of the usual."""
OWN_KEYS = "leverdoor/entries/"
"""Below it entries register; these keys are renewed by whoever runs."""
HELD_KEYS = "leverdoor/quarantine/"
"""Below it stands what is held back."""
SERVERS = "servers/"
FATAL = fatal_path(0)
ROUTES: list[dict[str, object]] = [
    *SAMPLE_ROUTES,
    {**SAMPLE_ROUTES[0], "name": "b-only", "path-prefix": "/look/b-only/"}
    | {"home-regions": ["b"]},
    {**SAMPLE_ROUTES[0], "name": "open", "path-prefix": "/look/open/"}
    | {"allow-anonymous": True},
]
CLIENT_LIMITS = {"max-body-bytes": MOST_BODY}
BOUNDS: dict[str, object] = {
    "grace-period-s": 6.0,
    "drain-ms": 2_500.0,
    "retry-budget-ratio": 0.2,
    "retry-budget-slack": 64.0,
    "ttl_max_s": LONGEST_TTL_S,
    "max-shift": 0.15,
    "quota-window-s": 5.0,
    "quota-overshoot": 0.1,
    "quota-slack": 20.0,
    "strict-revocation": True,
    "revocation-ms": 30_000.0,
}
"""The operator's bounds, as the soak's promises have them."""
OTHER_SETTINGS: list[tuple[str, str, object]] = [
    ("bounds", "grace-period-s", 5.0),
    ("bounds", "drain-ms", 2_000.0),
    ("bounds", "retry-budget-ratio", 0.1),
    ("bounds", "retry-budget-slack", 32.0),
    ("bounds", "ttl_max_s", 0.5),
    ("bounds", "max-shift", 0.1),
    ("bounds", "quota-window-s", 4.0),
    ("bounds", "quota-overshoot", 0.2),
    ("bounds", "quota-slack", 10.0),
    ("bounds", "strict-revocation", False),
    ("bounds", "revocation-ms", 20_000.0),
    ("limits", "link-bandwidth-mbps", 500.0),
    ("platform", "writes_per_s", 200.0),
    ("platform", "reads_per_s", 1_000.0),
    ("", "bootstrap", True),
]
"""Section, name and another value of each setting that may be left out of the file."""
NOT_READ = (
    "record not readable",
    "registration not readable",
    "stored resource cannot be read",
    "peers not read",
    "registration_left_out",
    "limit_unreadable",
    "report_unreadable",
    "configuration not taken",
    "reload failed",
)
"""What an entry logs of something that it can't read or leaves out."""
ERROR_LEVELS = ("ERROR", "CRITICAL")
CALLER_LEFT = "ClientConnectionResetError("
"""Beginning of the error that the HTTP library logs when a caller leaves before its
answer is written, as some of the callers do."""
MOST_SHOWN = 300
"""Characters of a log line or a value that a breach shows."""


class Mode(StrEnum):
    """How the builds change places."""

    ONE_BY_ONE = "one-by-one"
    """Under traffic; each entry is ready before the next one stops."""
    AT_ONCE = "at-once"
    """All are killed without traffic, then all are started."""


AFTER_S = {Mode.ONE_BY_ONE: 4.0, Mode.AT_ONCE: 10.0}
"""How long callers use the build that took over, in seconds.

One by one they use it all the while. After a kill the limit of a target is judged once
it was named again, in windows of 4 s.
"""


class Build(msgspec.Struct, frozen=True):
    """How processes of one build are started."""

    command: list[str]
    path: str
    """PYTHONPATH of its processes; "" for none."""

    def package(self) -> str:
        """Return where its processes find the package."""
        code = "import leverdoor; print(leverdoor.__file__)"
        done = subprocess.run(
            [*self.command, "-c", code],
            env=os.environ | {"PYTHONPATH": self.path},
            capture_output=True,
            text=True,
            check=True,
        )
        return os.path.realpath(done.stdout.strip())

    def apply(self, entry: EntryProcess) -> None:
        """Let an entry be of this build from its next start on."""
        entry.python = self.command
        entry.environment["PYTHONPATH"] = self.path


def this_build() -> Build:
    """Return the build of this module's own package."""
    root = Path(str(leverdoor.__file__)).parent.parent
    return Build([sys.executable, "-P"], str(root))


def older_build(python: Path) -> Build:
    """Return the build that a Python has installed, whatever PYTHONPATH says."""
    return Build([str(python), "-P"], "")


def check_builds(older: Build) -> None:
    """Refuse an older build that is this one.

    Raises:
      ValueError: its processes would be of this build.
    """
    if older.package() == this_build().package():
        raise ValueError(f"{older.command[0]} starts this version")


class TakeoverPlan(msgspec.Struct, frozen=True):
    """What one run plays."""

    seed: int
    mode: Mode
    control: bool = False
    """The older build takes over from itself, for comparison."""
    back: bool = False
    """In the end one entry goes back to the older build beside the others."""


class TakeoverResult(msgspec.Struct, frozen=True):
    """What came of a run."""

    seed: int
    mode: Mode
    control: bool
    back: bool
    entries: int
    sent: int
    good: int
    lost: int
    """Requests under way when their entry was told to stop that got no answer."""
    statuses: dict[str, int]
    keys_before: int
    keys_after: int
    took_s: float
    breaches: list[str]


class Question(msgspec.Struct, frozen=True):
    """A request whose answer is the same at any entry of either build."""

    what: str
    path: str
    key: str
    status: int
    code: int = 0
    """Of the refusal; 0 for none."""
    body: bytes | None = None
    """It is sent by POST if there is one."""
    or_limited: bool = False
    """It may be beyond the quota of its workspace."""


QUOTA_EXCEEDED = (429, 3020)
QUESTIONS = [
    Question("fatal request", FATAL, FREE.key, 503, 3022),
    Question("wrong key", "/look/x", "wrong-key", 401, 3018),
    Question("no key", "/look/x", "", 401, 3017),
    Question("no key needed", "/look/open/x", "", 200),
    Question("no common home", "/look/b-only/x", "key-of-homed", 503, 3019),
    Question("no route", "/nowhere/", FREE.key, 404, 3014),
    Question("long body", "/file/x", FREE.key, 413, 3015, bytes(MOST_BODY + 1)),
    *(
        Question(f"key of {w.name}", "/look/x", w.key, 200, or_limited=w.rate_per_s > 0)
        for w in WORKSPACES
    ),
]


class _Refused(msgspec.Struct):
    """The body of a refusal."""

    code: int = 0


class _Answered(msgspec.Struct):
    """The body of a target's answer."""

    id: str = ""


def _code(answer: Answer) -> int:
    try:
        return msgspec.json.decode(answer.body, type=_Refused).code
    except msgspec.MsgspecError:
        return 0


def _answered_id(answer: Answer) -> str:
    """Return the request that the body of a target's answer names."""
    try:
        return msgspec.json.decode(answer.body, type=_Answered).id
    except msgspec.MsgspecError:
        return ""


class TakeoverSite(SoakSite):
    """The site of a soak whose entries are of a given build at first."""

    def __init__(self, build: Build) -> None:
        super().__init__()
        self._build = build
        self.log_from: dict[str, int] = {}
        """By entry, where the log of its newest process begins."""

    def _entry(self, name: str, place: Place, store: str) -> EntryProcess:
        entry = super()._entry(name, place, store)
        settings = json.loads(entry.settings.read_bytes())
        settings["bounds"] = BOUNDS
        entry.settings.write_text(json.dumps(settings))
        self._build.apply(entry)
        return entry

    async def start_as(self, entry: EntryProcess, build: Build) -> None:
        """Start an entry that has ended, as a process of a build."""
        build.apply(entry)
        self.log_from[entry.name] = entry.log.stat().st_size
        await entry.start()

    def log_lines(self, entry: EntryProcess) -> list[str]:
        """Return what an entry's newest process has logged."""
        if not entry.log.exists():
            return []
        data = entry.log.read_bytes()[self.log_from.get(entry.name, 0) :]
        return data.decode(errors="replace").splitlines()


class _Broken(Exception):
    """The run can't go on."""


@contextlib.asynccontextmanager
async def _within(seconds: float, what: str) -> AsyncIterator[None]:
    """End the run if what is awaited takes longer than so many seconds."""
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError:
        raise _Broken(f"{what}: not within {seconds:.0f} s") from None


class Takeover:
    """Plays one run."""

    def __init__(self, plan: TakeoverPlan, older: Build) -> None:
        """Create it; `run` plays it.

        Args:
          plan: what to play.
          older: the build that runs at first.
        """
        self._plan = plan
        self._older = older
        self._newer = older if plan.control else this_build()
        self._rng = Random(f"takeover/{plan.seed}")
        self._site = TakeoverSite(older)
        self._record = Record()
        self._found: list[str] = []
        self._count = 0
        self._keys: dict[str, tuple[bytes, int]] = {}
        """What stood in the store before: value, and revision at which it was made."""
        self._keys_after = 0
        self._settings_read: dict[str, bool] = {}
        self._fatal_runs = 0
        self._callers: list[asyncio.Task[None]] = []

    async def run(self) -> TakeoverResult:
        """Play it and judge it."""
        began = now_s()
        try:
            async with asyncio.timeout(RUN_S):
                await self._play()
        except _Broken as e:
            self._found.append(str(e))
        except TimeoutError:
            self._found.append(f"TIME the run took more than {RUN_S:.0f} s")
        finally:
            await self._end_callers()
            self._found += self._log_breaches()
            await self._site.stop()
        return self._result(now_s() - began)

    async def _play(self) -> None:
        await self._site.start(ROUTES)
        await self._set_up()
        if self._plan.mode is Mode.ONE_BY_ONE:
            await self._replace_one_by_one()
        else:
            await self._replace_at_once()
        taken_at = now_s()
        self._check_store()
        self._start_callers()
        await asyncio.sleep(AFTER_S[self._plan.mode])
        await self._until_targets_used(taken_at)
        if self._plan.back:
            await self._replace(self._entries()[0], self._older)
            await self._ask_all([self._entries()[0]])
        await self._end_callers()
        self._check_evacuated(taken_at)
        self._check_fatal()
        await self._check_registered()
        await self._check_settings()
        await self._check_changes()

    def _entries(self) -> list[EntryProcess]:
        """Return all entries, in the order in which they are replaced."""
        names = sorted(self._site.entries)
        Random(f"order/{self._plan.seed}").shuffle(names)
        return [self._site.entries[name] for name in names]

    # What stands before.

    async def _set_up(self) -> None:
        """Let the older build write and use all that is to be taken over."""
        tenants = [w.tenant() | {"priority": 1} for w in WORKSPACES]
        self._site.configure(ROUTES, CLIENT_LIMITS, tenants)
        self._site.store.put(f"op/evacuate/{EVACUATED}", b"{}")
        await self._until_in_force()
        self._settings_read = await self._read_settings(self._entries()[0])
        await self._hold_back()
        self._name_limit()
        await self._ask_all(self._entries())
        self._start_callers()
        await asyncio.sleep(BEFORE_S)
        self._keys = self._stored()
        self._fatal_runs = self._count_fatal()

    async def _until_in_force(self) -> None:
        path = mark_path(self._site.routed) + "x"
        for entry in self._entries():
            shown = Question("newest route", path, FREE.key, 200)
            async with _within(WAIT_S, f"CONFIG {entry.name}: {path} in force"):
                while await self._differs(entry, shown):
                    await asyncio.sleep(POLL_S)

    async def _hold_back(self) -> None:
        """Send a request that ends its targets, and wait until it is held back."""
        self._site.crash_paths.add(FATAL)
        self._record.fatal.append(FATAL)
        async with _within(WAIT_S, "FATAL held back"):
            while self._count_fatal() < ENOUGH_ENDS:
                await self._differs(self._rng.choice(self._entries()), QUESTIONS[0])
            await asyncio.sleep(KNOWN_S)
            while not self._held_keys() or self._waits_for_targets():
                await asyncio.sleep(POLL_S)

    def _held_keys(self) -> list[str]:
        return [k for k in self._site.store.items if k.startswith(HELD_KEYS)]

    def _waits_for_targets(self) -> bool:
        """Return whether targets that ended are not yet back."""
        back = sum(n.startswith(SERVERS) for n in self._site.store.items)
        return back < len(self._site.targets) - len(self._site.left)

    def _name_limit(self) -> None:
        """Let one target of the look-ups name a limit."""
        names = [t for t in self._used_targets() if "look" in t]
        name, limit = self._rng.choice(names), self._rng.choice(LIMITS)
        self._site.targets[name].limit = limit
        self._record.limits.append(NamedLimit(name, now_s(), float(limit)))

    def _used_targets(self) -> list[str]:
        """Return the targets that are registered and not evacuated."""
        names = (k.removeprefix(SERVERS) for k in self._site.store.items)
        targets = self._site.targets
        return sorted(n for n in names if n in targets and not self._evacuated(n))

    def _evacuated(self, name: str) -> bool:
        return self._site.targets[name].zone == EVACUATED

    def _stored(self) -> dict[str, tuple[bytes, int]]:
        """Return what stands in the store, entries' own registrations aside."""
        return {
            key: (item.value, item.made)
            for key, item in self._site.store.items.items()
            if not key.startswith(OWN_KEYS)
        }

    # The builds change places.

    async def _replace_one_by_one(self) -> None:
        for entry in self._entries():
            await self._replace(entry, self._newer)
            await self._ask_all([entry])

    async def _replace(self, entry: EntryProcess, build: Build) -> None:
        """Stop an entry as planned, and start it as one of a build."""
        began = now_s()
        entry.send(signal.SIGTERM)
        async with _within(STOP_S, f"STOP {entry.name}"):
            await entry.ended()
        self._record.stops.append((entry.name, began, now_s()))
        await self._site.start_as(entry, build)
        await self._until_ready(entry)

    async def _replace_at_once(self) -> None:
        await self._end_callers()
        began = now_s()
        for entry in self._entries():
            entry.send(signal.SIGKILL)
        for entry in self._entries():
            await entry.ended()
        for entry in self._entries():
            await self._site.start_as(entry, self._newer)
        for entry in self._entries():
            await self._until_ready(entry)
            self._record.note_disturbance(entry.name, began, now_s())
        await self._ask_all(self._entries())
        self._check_adopted()

    async def _until_ready(self, entry: EntryProcess) -> None:
        async with _within(READY_S, f"READY {entry.name}"):
            while entry.running and not await self._site.is_ready(entry):
                await asyncio.sleep(POLL_S)
        if not entry.running:
            raise _Broken(f"READY {entry.name}: it ended: {self._last_line(entry)}")

    def _last_line(self, entry: EntryProcess) -> str:
        return "".join(self._site.log_lines(entry)[-1:])[:MOST_SHOWN]

    def _check_adopted(self) -> None:
        """Each entry took over the registration of the one before it."""
        for entry in self._entries():
            lines = self._site.log_lines(entry)
            if not any("registration adopted" in line for line in lines):
                self._found.append(f"REGISTRATION {entry.name}: not taken over")

    # Callers.

    def _start_callers(self) -> None:
        if self._callers:
            return
        for _ in range(CALLERS):
            self._count += 1
            caller = SoakCaller(self._site, self._record, self._count, self._plan.seed)
            self._callers.append(asyncio.create_task(caller.run()))

    async def _end_callers(self) -> None:
        callers, self._callers = self._callers, []
        for task in callers:
            task.cancel()
        done = await asyncio.gather(*callers, return_exceptions=True)
        self._found += [f"CALLER {e!r}" for e in done if isinstance(e, Exception)]

    async def _ask_all(self, entries: list[EntryProcess]) -> None:
        """Ask entries all questions, and note each answer that is not as it must be."""
        for entry in entries:
            for question in QUESTIONS:
                wrong = await self._differs(entry, question)
                if wrong:
                    self._found.append(f"ANSWER {entry.name}, {question.what}: {wrong}")
            await self._ask_directory(entry)

    async def _differs(self, entry: EntryProcess, question: Question) -> str:
        """Return what an entry answered to a question if it must not; "" otherwise."""
        self._count += 1
        request_id = f"asked-{self._count}"
        headers = {"X-Credential": question.key} if question.key else {}
        method = "GET" if question.body is None else "POST"
        began = now_s()
        answer = await self._site.request(
            entry, method, question.path, question.body, headers, request_id
        )
        self._note(entry, question, answer, began)
        got = (answer.status, _code(answer) if answer.status != 200 else 0)
        if question.or_limited and got == QUOTA_EXCEEDED:
            return ""
        fits = answer.status == question.status and question.code in (0, got[1])
        return "" if fits else f"status {got[0]}, code {got[1]}"

    def _note(
        self, entry: EntryProcess, question: Question, answer: Answer, began: float
    ) -> None:
        """Record a question as an attempt that the promises don't judge further."""
        workspace = [w.name for w in WORKSPACES if w.key == question.key]
        stamped = "X-Server-Stamp" in answer.headers
        attempt = Attempt(
            request_id=answer.request_id,
            entry=entry.name,
            path=question.path,
            once=question.body is not None,
            digest=NO_BODY_DIGEST,
            deadline_ms=DEADLINE_MS,
            sent_at=began,
            ended_at=now_s(),
            status=answer.status,
            own=stamped and _answered_id(answer) == answer.request_id,
            stamped=stamped,
            left=True,
            workspace="".join(workspace),
        )
        self._record.attempts.append(attempt)

    async def _ask_directory(self, entry: EntryProcess) -> None:
        """Check whom an entry names to clients beside it, and for how long."""
        place = entry.place
        url = f"http://{entry.ports['directory']}/api/resolve"
        query = f"?name=records.example&region={place.region}&zone={place.zone}"
        answer = await self._site._ask("GET", url + query)
        said = json.loads(answer.body) if answer.status == 200 else {}
        if said.get("ttl-s") != LONGEST_TTL_S:
            self._found.append(f"DIRECTORY {entry.name}: {answer.status} {said}")
        await self._until_neighbours_named(entry)

    async def _until_neighbours_named(self, entry: EntryProcess) -> None:
        """Wait until an entry names all entries of its failure domain."""
        here = [e for e in self._entries() if e.place == entry.place]
        wanted = {e.ports["frontend"] for e in here}
        try:
            async with asyncio.timeout(NAMED_S):
                while not wanted <= set(await self._site.resolve(entry)):
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self._found.append(f"DIRECTORY {entry.name}: a neighbour is not named")

    # What must hold afterwards.

    def _check_store(self) -> None:
        """Each key stands as it did, and there is no other."""
        after = self._stored()
        self._keys_after = len(after)
        for key, before in self._keys.items():
            if key not in after:
                self._found.append(f"STORE {key}: gone")
            elif after[key] != before:
                change = f"{before} became {after[key]}"[:MOST_SHOWN]
                self._found.append(f"STORE {key}: {change}")
        for key in after.keys() - self._keys.keys():
            self._found.append(f"STORE {key}: nobody wrote it before")

    async def _until_targets_used(self, since: float) -> None:
        """Wait until each registered target has run a request since a time."""
        try:
            async with asyncio.timeout(WAIT_S):
                while self._unused(since):
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self._found += [f"UNUSED {name}" for name in self._unused(since)]

    def _unused(self, since: float) -> list[str]:
        targets = self._site.targets
        used = {n for n, t in targets.items() if any(r.at > since for r in t.runs)}
        return [n for n in self._used_targets() if n not in used]

    def _check_evacuated(self, since: float) -> None:
        for name, target in self._site.targets.items():
            late = sum(r.at > since for r in target.runs)
            if self._evacuated(name) and late:
                self._found.append(f"EVACUATED {name}: {late} requests")

    def _count_fatal(self) -> int:
        targets = self._site.targets.values()
        return sum(r.path == FATAL for t in targets for r in t.runs)

    def _check_fatal(self) -> None:
        more = self._count_fatal() - self._fatal_runs
        if more:
            self._found.append(f"FATAL {FATAL}: ended {more} more targets")

    async def _check_registered(self) -> None:
        """Each entry stands in the store again, and nothing else beside them."""
        wanted = {OWN_KEYS + name for name in self._site.entries}
        try:
            async with asyncio.timeout(WAIT_S):
                while self._registered() != wanted:
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            wrong = sorted(self._registered() ^ wanted)
            self._found.append(f"REGISTRATION wrong: {', '.join(wrong)}")

    def _registered(self) -> set[str]:
        return {k for k in self._site.store.items if k.startswith(OWN_KEYS)}

    async def _check_changes(self) -> None:
        """A change of the configuration comes into force everywhere."""
        self._site.configure(ROUTES, CLIENT_LIMITS)
        await self._until_in_force()

    # Settings.

    async def _check_settings(self) -> None:
        """Each setting that the older build reads from the file is read."""
        read = await self._read_settings(self._entries()[-1])
        for name, was_read in self._settings_read.items():
            if read[name] != was_read:
                self._found.append(f"SETTING {name}: read {read[name]}, was {was_read}")

    async def _read_settings(self, entry: EntryProcess) -> dict[str, bool]:
        """Return for each optional setting whether an entry notices its change."""
        original = entry.settings.read_bytes()
        found = {}
        for section, name, value in OTHER_SETTINGS:
            settings = json.loads(original)
            part = settings.setdefault(section, {}) if section else settings
            part[name] = value
            changed = await self._reload(entry, json.dumps(settings).encode())
            found[name] = changed > 0
            await self._reload(entry, original)
        return found

    async def _reload(self, entry: EntryProcess, settings: bytes) -> int:
        """Let an entry read other settings; returns how many it found changed.

        The file keeps its time, so that the signal alone makes the entry read it.
        """
        before = len(self._reloads(entry))
        written = entry.settings.stat().st_mtime_ns
        entry.settings.write_bytes(settings)
        os.utime(entry.settings, ns=(written, written))
        entry.send(signal.SIGHUP)
        async with _within(WAIT_S, f"SETTING {entry.name}: file read again"):
            while len(self._reloads(entry)) <= before:
                await asyncio.sleep(POLL_S / 5)
        fields = self._reloads(entry)[-1].values()
        return sum(len(f) for f in fields if isinstance(f, list))

    def _reloads(self, entry: EntryProcess) -> list[dict[str, object]]:
        return [e for e in entry.events() if e.get("change") == "reload"]

    # Logs and the verdict.

    def _log_breaches(self) -> list[str]:
        """Return a line for each kind of bad log line of each newest process."""
        found = []
        for entry in self._site.entries.values():
            bad = [x for x in self._site.log_lines(entry) if is_bad_line(x)]
            if bad:
                shown = bad[0][:MOST_SHOWN]
                found.append(f"LOG {entry.name}: {len(bad)} lines, first: {shown}")
        return found

    def _recorded_runs(self) -> list[Run]:
        return [
            Run(
                request_id=r.request_id,
                target=target.name,
                service=target.service,
                path=r.path,
                digest=r.digest,
                deadline_ms=r.deadline_ms,
                at=r.at,
                region=self._site.region(target.zone),
                workspace=r.workspace,
                keyed=r.keyed,
            )
            for target in self._site.targets.values()
            for r in target.runs
        ]

    def _was_cut(self, attempt: Attempt) -> bool:
        """Return whether a request was under way at a stop and got no answer."""
        return (
            attempt.status == 0
            and not attempt.left
            and any(
                name == attempt.entry and attempt.sent_at < began < attempt.ended_at
                for name, began, _ in self._record.stops
            )
        )

    def _result(self, took_s: float) -> TakeoverResult:
        self._record.runs = self._recorded_runs()
        attempts = self._record.attempts
        lost = [a for a in attempts if self._was_cut(a)]
        self._found += [f"LOST {a.request_id}: cut by {a.entry}'s stop" for a in lost]
        good = sum(a.status == 200 for a in attempts)
        if not good:
            self._found.append("LOST all requests")
        return TakeoverResult(
            seed=self._plan.seed,
            mode=self._plan.mode,
            control=self._plan.control,
            back=self._plan.back,
            entries=len(self._site.entries),
            sent=len(attempts),
            good=good,
            lost=len(lost),
            statuses=dict(Counter(str(a.status) for a in attempts)),
            keys_before=len(self._keys),
            keys_after=self._keys_after,
            took_s=round(took_s, 1),
            breaches=[*self._found, *soak_breaches(self._record)],
        )


def is_bad_line(line: str) -> bool:
    """Return whether a log line tells of an error, or of something not read.

    A line that is no JSON object comes of an exception that nobody took.
    """
    try:
        fields = json.loads(line)
    except ValueError:
        return bool(line.strip())
    if not isinstance(fields, dict):
        return True
    if fields.get("level") in ERROR_LEVELS:
        return not str(fields.get("error", "")).startswith(CALLER_LEFT)
    said = {fields.get(name) for name in ("event", "change", "message")}
    return bool(said & set(NOT_READ))
