"""Forwards requests to the entry that owns the job's shard, and retries when the owner changes."""

import asyncio
import dataclasses

from daisyfall import _clock, _ids, _wire, errors
from daisyfall.connection import _peer_link, _peer_session
from daisyfall.process import _metrics, _settings, _shard_manager
from daisyfall.request import _jobs, _owner, _submission, _work

# A takeover completes within this time; waiting longer for an owner is useless.
OWNER_WAIT_SECONDS = 5.0
OWNER_POLL_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 2.0
# Extra time for an answer that is already in transit when the deadline passes.
ANSWER_GRACE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class LocalOwner:
    """This entry owns the shard."""


@dataclasses.dataclass(frozen=True)
class RemoteOwner:
    """Another entry owns the shard."""

    link: _peer_link.PeerLink


@dataclasses.dataclass(frozen=True)
class NoOwner:
    """No reachable entry owns the shard now."""


class Forwarder:
    """Runs callers' requests at the owner of their shard, here or at another entry."""

    def __init__(
        self,
        settings: _settings.Settings,
        shard_manager: _shard_manager.ShardManager,
        owner: _owner.Owner,
        link_by_id: dict[str, _peer_link.PeerLink],
        metrics: _metrics.Metrics,
    ):
        self._shard_manager = shard_manager
        self._owner = owner
        self._link_by_id = link_by_id
        self._metrics = metrics
        self._shard_count = settings.jobs.shard_count

    def locate_owner(self, buyer: str) -> LocalOwner | RemoteOwner | NoOwner:
        """Return where the shard of a buyer is owned now."""
        shard = _ids.shard_of(buyer, self._shard_count)
        if self._shard_manager.usable_shard(shard, _clock.monotonic()) is not None:
            return LocalOwner()
        record = self._shard_manager.view.shard_by_number.get(shard)
        own_id = self._shard_manager.record.id
        owner = record.owner if record else ""
        if record is not None and owner in ("", own_id):
            # Released, or relinquished here: the entry to which it hashes takes it over. An
            # entry that is cut off from the table can't read that, so it assumes so; an entry
            # that isn't the owner refuses the request.
            owner = self._shard_manager.view.preferred_owner(shard)
        if owner and owner != own_id:
            link = self._link_by_id.get(owner)
            if link is not None and link.connected:
                return RemoteOwner(link)
        return NoOwner()

    def owner_address(self, buyer: str) -> str:
        """Return the HTTP address of the entry that owns the buyer's jobs, empty for none."""
        record = self._shard_manager.view.owner_of(_ids.shard_of(buyer, self._shard_count))
        entry = self._shard_manager.view.entry_by_id.get(record.owner) if record else None
        return entry.http_address if entry else ""

    async def submit(self, submission: _submission.Submission, wait: bool = True) -> bytes:
        """Return the body of the complete answer; raise `DispatchError` for any other outcome.

        If no owner answers, the error is `OUTCOME_UNKNOWN` once the submission may have
        reached an owner, and `NO_OWNER` (not run) before that.
        """
        deadline = _clock.monotonic() + submission.deadline_ms / 1000
        may_have_reached_owner = False
        no_owner_retry_until = _clock.monotonic() + OWNER_WAIT_SECONDS
        while True:
            location = await self._find_owner(submission.buyer, deadline)
            remaining_ms = int((deadline - _clock.monotonic()) * 1000)
            try:
                match location:
                    case LocalOwner():
                        return await self.submit_local(submission, wait)
                    case RemoteOwner(link=link):
                        self._metrics.count_wasted_messages("forward", 2)
                        return await self._forward(link, submission, max(remaining_ms, 1), wait)
                    case NoOwner():
                        kind = (
                            errors.Kind.OUTCOME_UNKNOWN
                            if may_have_reached_owner
                            else errors.Kind.NO_OWNER
                        )
                        raise errors.DispatchError(kind)
            except (_peer_session.RelinquishedError, _peer_link.LinkLostError):
                may_have_reached_owner = True
                no_owner_retry_until = _clock.monotonic() + OWNER_WAIT_SECONDS
                self._metrics.count_retries("owner_lost")
            except _peer_link.NotConnectedError:
                self._metrics.count_retries("owner_not_connected")
            except errors.DispatchError as error:
                if error.kind is not errors.Kind.NO_OWNER or isinstance(location, NoOwner):
                    raise
                # A stale shard record may name an entry that never becomes the owner again.
                if _clock.monotonic() > min(no_owner_retry_until, deadline):
                    kind = (
                        errors.Kind.OUTCOME_UNKNOWN
                        if may_have_reached_owner
                        else errors.Kind.NO_OWNER
                    )
                    raise errors.DispatchError(kind) from error
                self._metrics.count_retries("owner_moved")
            await asyncio.sleep(OWNER_POLL_SECONDS)

    async def submit_local(self, submission: _submission.Submission, wait: bool) -> bytes:
        """Submit a job to a shard owned here, and wait for its answer if `wait` is set.

        Returns an empty body if the job is still running. Raises `RelinquishedError` if the
        shard moves to another entry in the meantime.
        """
        job = self._owner.submit(submission)
        if isinstance(job, _jobs.SettledJob):
            return _answer_body(job.settlement())
        if not wait and not job.settled.done():
            return b""
        return _answer_body(await asyncio.shield(job.settled))

    async def lookup(self, operation: str, buyer: str, job_id: str, wait_ms: int = 0) -> dict:
        """Run an operation (status, answer, explain or cancel) at the owner; return the reply."""
        location = await self._find_owner(buyer, _clock.monotonic() + OWNER_WAIT_SECONDS)
        match location:
            case LocalOwner():
                return await self.lookup_local(operation, buyer, job_id, wait_ms)
            case RemoteOwner(link=link):
                self._metrics.count_wasted_messages("forward_lookup", 2)
                try:
                    return await link.call(
                        lambda request_id: _wire.OperationRequest(
                            request_id, operation, buyer, job_id, wait_ms
                        ),
                        CALL_TIMEOUT_SECONDS + wait_ms / 1000,
                    )
                except (_peer_link.LinkLostError, _peer_link.NotConnectedError) as error:
                    raise errors.DispatchError(errors.Kind.NO_OWNER, str(error)) from error
        raise errors.DispatchError(errors.Kind.NO_OWNER)

    async def lookup_local(self, operation: str, buyer: str, job_id: str, wait_ms: int) -> dict:
        """Run an operation on a job whose shard is owned here."""
        key: _work.JobKey = (buyer, job_id)
        if operation == "cancel":
            self._owner.cancel(key)
            operation = "status"
        if operation == "answer":
            job = self._owner.jobs.job_by_key.get(key)
            if job is not None:
                await asyncio.wait([job.settled], timeout=wait_ms / 1000)
            settled_job = self._owner.jobs.settled_by_key.get(key)
            if settled_job is not None:
                return {"state": "complete", "body": _answer_body(settled_job.settlement())}
        return self._owner.explain(key)

    async def _forward(
        self,
        link: _peer_link.PeerLink,
        submission: _submission.Submission,
        remaining_ms: int,
        wait: bool,
    ) -> bytes:
        tasks = [task.as_wire() for task in submission.tasks]
        call_timeout_s = remaining_ms / 1000 + ANSWER_GRACE_SECONDS
        return await link.call(
            lambda request_id: _wire.Submit(
                request_id, submission.buyer, submission.job_id, remaining_ms, tasks, wait
            ),
            call_timeout_s,
        )

    async def _find_owner(self, buyer: str, deadline: float) -> LocalOwner | RemoteOwner | NoOwner:
        wait_until = min(deadline, _clock.monotonic() + OWNER_WAIT_SECONDS)
        location = self.locate_owner(buyer)
        while isinstance(location, NoOwner) and _clock.monotonic() < wait_until:
            await asyncio.sleep(OWNER_POLL_SECONDS)
            location = self.locate_owner(buyer)
        return location


def _answer_body(settlement: _jobs.Settlement) -> bytes:
    match settlement:
        case _jobs.Complete(body=body):
            return body
        case _jobs.Failed(error=error):
            raise error
    raise _peer_session.RelinquishedError
