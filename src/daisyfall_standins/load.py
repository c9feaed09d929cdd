"""Open-loop load generator: submits the jobs of a load shape to the entries over HTTP.

Requests go to the entries round-robin, as from a load balancer. A job is resubmitted
through the next entry if its connection breaks or the answer allows a retry with the
same id. Response times are measured from the scheduled arrival, which avoids coordinated
omission: a slow generator or entry can't hide the delay that it causes.
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
DEFAULT_MAX_ATTEMPTS = 20  # the backoff delays add up to about 12 s
_INITIAL_BACKOFF_MS = 20.0
_MAX_BACKOFF_MS = 1000.0
# Added to the job's deadline as the timeout of an attempt, so that a lost answer ends it.
_RESPONSE_GRACE_MS = 3000.0
_MAX_TRACKED_VALUE = 3_600_000_000  # one hour in µs


class Outcome(enum.Enum):
    """Outcome of a job as its caller saw it."""

    COMPLETE = "complete"
    FAILED = "failed"  # tasks may have run
    REFUSED = "refused"  # no task has run
    UNANSWERED = "unanswered"  # no answer within the timeout and the allowed attempts
    INCORRECT = "wrong"  # incomplete answer, or a result of another task


@attrs.define
class JobRecord:
    """A job as its caller saw it; times in ms unless named otherwise."""

    job_id: str
    buyer: str
    tokens: list[str]
    ideal_ms: float
    response_ms: float = 0.0
    lag_ms: float = 0.0  # delay of the first submission after the scheduled arrival
    outcome: Outcome = Outcome.UNANSWERED
    detail: str = ""
    error_kinds: list[str] = attrs.Factory(list)  # error kinds of the refused and failed attempts
    broken: int = 0  # attempts that ended without an answer
    refused: int = 0  # attempts rejected as not run
    attempts: int = 0
    ended_seconds: float = 0.0  # since the start of the load
    first_broken_seconds: float | None = None  # when the first attempt ended without an answer


@attrs.frozen
class LoadReport:
    """Statistics of a load run; ratios and response times cover complete jobs only."""

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
    """Comparison of the callers' records with the starts by token that the runners counted.

    `started_though_not_run` covers jobs of which every attempt was refused;
    `started_before_refusal` covers refused jobs with an earlier attempt that ended otherwise.
    """

    started: int
    started_twice: list[str]
    started_though_not_run: list[str]
    started_before_refusal: list[str]
    complete_without_start: list[str]


class LoadGenerator:
    """Submits jobs to entries, given as base URLs.

    A job is given up after its deadline plus a grace period, or after `max_attempts` attempts.
    With `follow_owner`, a buyer's requests go to the entry that the last answer named as the
    owner; after a broken connection or a retry they are sent round-robin again.
    """

    def __init__(
        self,
        shape: LoadShape,
        entries: list[str],
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        *,
        follow_owner: bool = False,
    ):
        self._load_shape = shape
        self._max_attempts = max_attempts
        self._entries = entries
        self._next_index = 0
        self._follow_owner = follow_owner
        self._owner_by_buyer: dict[str, str] = {}
        self._random = random.Random(shape.seed)
        self._session: aiohttp.ClientSession | None = None
        self.started_at = 0.0

    async def run(self, jobs: list[Job] | None = None) -> list[JobRecord]:
        """Submit each job at its arrival time; return one record per job, in the same order.

        By default the jobs are generated from the load shape.
        """
        if jobs is None:
            jobs = _workload.generate(self._load_shape, os.urandom(4).hex())
        # No session-wide timeout or connection limit: each attempt has its own timeout.
        connector = aiohttp.TCPConnector(limit=0)
        no_timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(connector=connector, timeout=no_timeout) as self._session:
            self.started_at = started_at = _clock.monotonic()
            return await asyncio.gather(*[self._run_job(job, started_at) for job in jobs])

    async def _run_job(self, job: Job, started_at: float) -> JobRecord:
        scheduled_at = started_at + job.arrival_seconds
        await asyncio.sleep(max(0.0, scheduled_at - _clock.monotonic()))
        shape = self._load_shape
        record = JobRecord(
            job_id=_ids.new_job_id(),
            buyer=job.buyer.name,
            tokens=[task.token for task in job.tasks],
            ideal_ms=job.ideal_ms(shape.slots, shape.round_trip_ms),
            lag_ms=max(0.0, _ms_since(scheduled_at)),
        )
        timeout_ms = job.deadline_ms + _RESPONSE_GRACE_MS
        while record.attempts < self._max_attempts and _ms_since(scheduled_at) < timeout_ms:
            retry_delay_ms = await self._attempt(job, record)
            if retry_delay_ms is None:
                break
            await asyncio.sleep(retry_delay_ms / 1000)
        record.response_ms = _ms_since(scheduled_at)
        record.ended_seconds = _clock.monotonic() - started_at
        return record

    def select_entry(self, buyer: str) -> str:
        """Return the base URL of the entry for the buyer's next attempt."""
        owner = self._owner_by_buyer.get(buyer) if self._follow_owner else None
        if owner is not None:
            return f"http://{owner}"
        entry = self._entries[self._next_index % len(self._entries)]
        self._next_index += 1
        return entry

    def update_known_owner(self, buyer: str, owner: str | None, *, retry: bool) -> None:
        """Update the known owner after an attempt; a retry discards it as possibly stale."""
        if retry:
            self._owner_by_buyer.pop(buyer, None)
        elif owner:
            self._owner_by_buyer[buyer] = owner

    async def _attempt(self, job: Job, record: JobRecord) -> float | None:
        """Submit once; return the retry delay in ms, None if the job has ended."""
        buyer = job.buyer.name
        entry = self.select_entry(buyer)
        record.attempts += 1
        headers = {"Authorization": f"Bearer {job.buyer.token}"}
        body = job.as_body(record.job_id)
        request_timeout = aiohttp.ClientTimeout(total=(job.deadline_ms + _RESPONSE_GRACE_MS) / 1000)
        try:
            async with self._session.post(
                f"{entry}/v1/jobs", json=body, headers=headers, timeout=request_timeout
            ) as response:
                answer = await response.json()
                owner = response.headers.get(OWNER_HEADER)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self.update_known_owner(buyer, None, retry=True)
            record.broken += 1
            if record.first_broken_seconds is None:
                record.first_broken_seconds = _clock.monotonic() - self.started_at
            record.outcome, record.detail = Outcome.UNANSWERED, f"{type(error).__name__} {error}"
            return self._backoff_ms(record.attempts)
        retry_delay_ms = self._record_answer(job, record, answer)
        self.update_known_owner(buyer, owner, retry=retry_delay_ms is not None)
        return retry_delay_ms

    def _record_answer(self, job: Job, record: JobRecord, answer: dict) -> float | None:
        error = answer.get("error")
        if not error:
            record.detail = find_answer_error(
                job, record.job_id, answer, echoes_payload=self._load_shape.echoes_payload
            )
            record.outcome = Outcome.INCORRECT if record.detail else Outcome.COMPLETE
            return None
        record.error_kinds.append(error["kind"])
        not_run = error["run"] == "not run"
        record.refused += not_run
        record.outcome = Outcome.REFUSED if not_run else Outcome.FAILED
        record.detail = f"{error['kind']}: {error['detail']}"
        if error["retry"] != "same id":
            return None
        return max(error["retry_after_ms"], 0) + self._backoff_ms(record.attempts)

    def _backoff_ms(self, attempts: int) -> float:
        max_backoff_ms = min(_MAX_BACKOFF_MS, _INITIAL_BACKOFF_MS * 2**attempts)
        return self._random.uniform(max_backoff_ms / 2, max_backoff_ms)


def find_answer_error(job: Job, job_id: str, answer: dict, *, echoes_payload: bool = True) -> str:
    """Return what is wrong with the answer to the job, an empty string if nothing is."""
    if answer.get("state") != "complete":
        return f"state is {answer.get('state')!r} without an error, expected 'complete'"
    if answer.get("job_id") != job_id:
        return f"answer is for job {answer.get('job_id')!r}, expected {job_id!r}"
    results = answer.get("results", [])
    if len(results) != len(job.tasks):
        return f"{len(results)} results, expected {len(job.tasks)}"
    for index, (task, result) in enumerate(zip(job.tasks, results, strict=True)):
        if echoes_payload and result != task.payload:
            return f"result {index} is {result!r}, expected {task.payload!r}"
    return ""


def summarize(records: list[JobRecord]) -> LoadReport:
    """Return the statistics of a load run."""
    complete = [record for record in records if record.outcome is Outcome.COMPLETE]
    ratios = _histogram([record.response_ms / record.ideal_ms for record in complete])
    response_times = _histogram([record.response_ms for record in complete])
    lags = _histogram([record.lag_ms for record in records])
    kinds = collections.Counter(kind for record in records for kind in record.error_kinds)
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
        response_ms_p50=_percentile(response_times, 50),
        response_ms_p99=_percentile(response_times, 99),
        generator_lag_ms_p99=_percentile(lags, 99),
    )


def audit(records: list[JobRecord], starts_by_token: dict[str, int]) -> StartAudit:
    """Compare the records with the starts counted by all runners."""
    duplicates = [token for token, count in starts_by_token.items() if count > 1]
    refused = [record for record in records if record.outcome is Outcome.REFUSED]
    always_refused = _tokens([each for each in refused if each.refused == each.attempts])
    partly_refused = _tokens([each for each in refused if each.refused < each.attempts])
    complete = _tokens([each for each in records if each.outcome is Outcome.COMPLETE])
    return StartAudit(
        started=sum(starts_by_token.values()),
        started_twice=duplicates,
        started_though_not_run=[token for token in always_refused if token in starts_by_token],
        started_before_refusal=[token for token in partly_refused if token in starts_by_token],
        complete_without_start=[token for token in complete if token not in starts_by_token],
    )


def _tokens(records: list[JobRecord]) -> list[str]:
    return [token for each in records for token in each.tokens]


def _histogram(values: list[float]) -> histogram.HdrHistogram:
    # The histogram stores integers, so values are recorded in thousandths.
    recorder = histogram.HdrHistogram(1, _MAX_TRACKED_VALUE, 3)
    for value in values:
        recorder.record_value(max(1, round(value * 1000)))
    return recorder


def _percentile(recorder: histogram.HdrHistogram, percent: float) -> float:
    return recorder.get_value_at_percentile(percent) / 1000


def _ms_since(start: float) -> float:
    return (_clock.monotonic() - start) * 1000
