"""Load generator: submits the jobs of a shape to several entries over HTTP.

Entries are used in turn, as a balancer does. A job whose connection breaks, or
whose answer says that the same id may be sent again, is resubmitted through the
next entry. Response times count from the planned arrival, so that a slow
generator or entry does not hide its own delay.
"""

import asyncio
import collections
import enum
import os
import random

import aiohttp
import attrs
from hdrh import histogram

from daisyfall import _clock, _ids
from daisyfall_standins import _workload

Buyer = _workload.Buyer
LoadShape = _workload.LoadShape
Job = _workload.Job
Task = _workload.Task

OWNER_HEADER = "Daisyfall-Owner"
DEFAULT_MAX_ATTEMPTS = 20  # by default; their waits add up to about 12 s
_FIRST_BACKOFF_MS = 20.0
_LAST_BACKOFF_MS = 1000.0
# An attempt may take the job's deadline and this, so that a lost answer ends it.
_ANSWER_MARGIN_MS = 3000.0
_HIGHEST_TRACKED = 3_600_000_000  # one hour in µs


class Outcome(enum.Enum):
    """How a job ended for its caller."""

    COMPLETE = "complete"
    FAILED = "failed"  # may have run
    REFUSED = "refused"  # not run
    UNANSWERED = "unanswered"  # no answer within the limits
    INCORRECT = "wrong"  # an answer that is incomplete or holds another task's result


@attrs.define
class JobRecord:
    """What the caller saw of one job; times in ms."""

    job_id: str
    buyer: str
    tokens: list[str]
    ideal_ms: float
    response_ms: float = 0.0
    lag_ms: float = 0.0  # delay of the first submission after the planned arrival
    outcome: Outcome = Outcome.UNANSWERED
    detail: str = ""
    kinds: list[str] = attrs.Factory(list)  # error kind of each refused or failed attempt
    broken: int = 0  # attempts without an answer
    refused: int = 0  # attempts answered as not run
    attempts: int = 0
    ended_seconds: float = 0.0  # since the start of the load
    first_broken_seconds: float | None = None  # when the first attempt ended without an answer


@attrs.frozen
class LoadReport:
    """Figures of a load; ratios and times are over complete jobs."""

    jobs: int
    outcomes: dict[str, int]
    tasks: int
    resubmissions: int
    broken_connections: int
    refusals_by_kind: dict[str, int]
    response_over_ideal_p50: float
    response_over_ideal_p99: float
    response_over_ideal_max: float
    response_ms_p50: float
    response_ms_p99: float
    generator_lag_ms_p99: float


@attrs.frozen
class StartAudit:
    """Comparison of the callers' records with the runners' counts of starts by token.

    `started_though_not_run` is about jobs with no attempt but refused ones;
    `started_before_refusal` about refused jobs with an earlier attempt of another end.
    """

    started: int
    started_twice: list[str]
    started_though_not_run: list[str]
    started_before_refusal: list[str]
    complete_without_start: list[str]


class LoadGenerator:
    """Submits jobs to entries; `entries` are base URLs.

    A job ends after its deadline and a margin, or after `attempts` attempts. With
    `follow_owner`, a buyer's first attempts go to the entry that its last answer named
    as the owner; the entries are used in turn after a broken connection or a retry.
    """

    def __init__(
        self,
        shape: LoadShape,
        entries: list[str],
        attempts: int = DEFAULT_MAX_ATTEMPTS,
        *,
        follow_owner: bool = False,
    ):
        self._workload = shape
        self._attempts = attempts
        self._entries = entries
        self._turn = 0
        self._follow_owner = follow_owner
        self._owner_by_buyer: dict[str, str] = {}
        self._random = random.Random(shape.seed)
        self._session: aiohttp.ClientSession | None = None
        self.started = 0.0

    async def run(self, jobs: list[Job] | None = None) -> list[JobRecord]:
        """Submit the jobs (default: those of the shape) at their times.

        Return one record for each job, in the order of the jobs.
        """
        if jobs is None:
            jobs = _workload.generate(self._workload, os.urandom(4).hex())
        # The session's own limit is off, because each job has its deadline.
        connector = aiohttp.TCPConnector(limit=0)
        unlimited = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(connector=connector, timeout=unlimited) as self._session:
            self.started = started = _clock.monotonic()
            return await asyncio.gather(*[self._run_job(job, started) for job in jobs])

    async def _run_job(self, job: Job, started: float) -> JobRecord:
        planned = started + job.arrival_seconds
        await asyncio.sleep(max(0.0, planned - _clock.monotonic()))
        shape = self._workload
        record = JobRecord(
            job_id=_ids.new_job_id(),
            buyer=job.buyer.name,
            tokens=[task.token for task in job.tasks],
            ideal_ms=job.ideal_ms(shape.slots, shape.round_trip_ms),
            lag_ms=max(0.0, _ms_since(planned)),
        )
        limit_ms = job.deadline_ms + _ANSWER_MARGIN_MS
        while record.attempts < self._attempts and _ms_since(planned) < limit_ms:
            wait_ms = await self._attempt(job, record)
            if wait_ms is None:
                break
            await asyncio.sleep(wait_ms / 1000)
        record.response_ms = _ms_since(planned)
        record.ended_seconds = _clock.monotonic() - started
        return record

    def select_entry(self, buyer: str) -> str:
        """Return the base URL for the buyer's next attempt."""
        owner = self._owner_by_buyer.get(buyer) if self._follow_owner else None
        if owner is not None:
            return f"http://{owner}"
        entry = self._entries[self._turn % len(self._entries)]
        self._turn += 1
        return entry

    def update_known_owner(self, buyer: str, owner: str | None, *, retry: bool) -> None:
        """Note what an attempt told about the owner; after a retry it is not trusted."""
        if retry:
            self._owner_by_buyer.pop(buyer, None)
        elif owner:
            self._owner_by_buyer[buyer] = owner

    async def _attempt(self, job: Job, record: JobRecord) -> float | None:
        """Submit once; return the wait before the next attempt, None if the job has ended."""
        buyer = job.buyer.name
        entry = self.select_entry(buyer)
        record.attempts += 1
        headers = {"Authorization": f"Bearer {job.buyer.token}"}
        body = job.as_body(record.job_id)
        limit = aiohttp.ClientTimeout(total=(job.deadline_ms + _ANSWER_MARGIN_MS) / 1000)
        try:
            async with self._session.post(
                f"{entry}/v1/jobs", json=body, headers=headers, timeout=limit
            ) as reply:
                answer = await reply.json()
                owner = reply.headers.get(OWNER_HEADER)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self.update_known_owner(buyer, None, retry=True)
            record.broken += 1
            if record.first_broken_seconds is None:
                record.first_broken_seconds = _clock.monotonic() - self.started
            record.outcome, record.detail = Outcome.UNANSWERED, f"{type(error).__name__} {error}"
            return self._backoff_ms(record.attempts)
        wait_ms = self._judge(job, record, answer)
        self.update_known_owner(buyer, owner, retry=wait_ms is not None)
        return wait_ms

    def _judge(self, job: Job, record: JobRecord, answer: dict) -> float | None:
        error = answer.get("error")
        if not error:
            record.detail = find_fault(job, record.job_id, answer, echoes=self._workload.echoes)
            record.outcome = Outcome.INCORRECT if record.detail else Outcome.COMPLETE
            return None
        record.kinds.append(error["kind"])
        not_run = error["run"] == "not run"
        record.refused += not_run
        record.outcome = Outcome.REFUSED if not_run else Outcome.FAILED
        record.detail = f"{error['kind']}: {error['detail']}"
        if error["retry"] != "same id":
            return None
        return max(error["retry_after_ms"], 0) + self._backoff_ms(record.attempts)

    def _backoff_ms(self, attempts: int) -> float:
        highest = min(_LAST_BACKOFF_MS, _FIRST_BACKOFF_MS * 2**attempts)
        return self._random.uniform(highest / 2, highest)


def find_fault(job: Job, job_id: str, answer: dict, *, echoes: bool = True) -> str:
    """Return why the answer is not the whole answer to this job, empty if it is."""
    if answer.get("state") != "complete":
        return f"state is {answer.get('state')!r} without an error, expected 'complete'"
    if answer.get("job_id") != job_id:
        return f"answer is for job {answer.get('job_id')!r}, expected {job_id!r}"
    results = answer.get("results", [])
    if len(results) != len(job.tasks):
        return f"{len(results)} results, expected {len(job.tasks)}"
    for index, (task, result) in enumerate(zip(job.tasks, results, strict=True)):
        if echoes and result != task.payload:
            return f"result {index} is {result!r}, expected {task.payload!r}"
    return ""


def summarize(records: list[JobRecord]) -> LoadReport:
    """Return the figures of the records."""
    complete = [record for record in records if record.outcome is Outcome.COMPLETE]
    ratios = _histogram([record.response_ms / record.ideal_ms for record in complete])
    times = _histogram([record.response_ms for record in complete])
    lags = _histogram([record.lag_ms for record in records])
    kinds = collections.Counter(kind for record in records for kind in record.kinds)
    outcomes = collections.Counter(record.outcome.value for record in records)
    return LoadReport(
        jobs=len(records),
        outcomes={each.value: outcomes[each.value] for each in Outcome},
        tasks=sum(len(record.tokens) for record in records),
        resubmissions=sum(max(0, record.attempts - 1) for record in records),
        broken_connections=sum(record.broken for record in records),
        refusals_by_kind=dict(kinds),
        response_over_ideal_p50=_percentile(ratios, 50),
        response_over_ideal_p99=_percentile(ratios, 99),
        response_over_ideal_max=_percentile(ratios, 100),
        response_ms_p50=_percentile(times, 50),
        response_ms_p99=_percentile(times, 99),
        generator_lag_ms_p99=_percentile(lags, 99),
    )


def audit(records: list[JobRecord], starts_by_token: dict[str, int]) -> StartAudit:
    """Compare the records with the starts that all runners together counted."""
    twice = [token for token, count in starts_by_token.items() if count > 1]
    refused = [record for record in records if record.outcome is Outcome.REFUSED]
    only_refused = _tokens([each for each in refused if each.refused == each.attempts])
    other_refused = _tokens([each for each in refused if each.refused < each.attempts])
    complete = _tokens([each for each in records if each.outcome is Outcome.COMPLETE])
    return StartAudit(
        started=sum(starts_by_token.values()),
        started_twice=twice,
        started_though_not_run=[token for token in only_refused if token in starts_by_token],
        started_before_refusal=[token for token in other_refused if token in starts_by_token],
        complete_without_start=[token for token in complete if token not in starts_by_token],
    )


def _tokens(records: list[JobRecord]) -> list[str]:
    return [token for each in records for token in each.tokens]


def _histogram(values: list[float]) -> histogram.HdrHistogram:
    # The histogram holds integers, so values are kept in thousandths.
    recorder = histogram.HdrHistogram(1, _HIGHEST_TRACKED, 3)
    for value in values:
        recorder.record_value(max(1, round(value * 1000)))
    return recorder


def _percentile(recorder: histogram.HdrHistogram, percent: float) -> float:
    return recorder.get_value_at_percentile(percent) / 1000


def _ms_since(moment: float) -> float:
    return (_clock.monotonic() - moment) * 1000
