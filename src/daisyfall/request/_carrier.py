"""Carries a submission to the entry that owns it and back, through changes of owner."""

import asyncio
import dataclasses

from daisyfall import _clock, _ids, _wire, errors
from daisyfall.connection import _peer_link, _peer_session
from daisyfall.process import _metrics, _registry, _settings
from daisyfall.request import _jobs, _owner, _submission, _work

# A takeover is over within this time; waiting longer for an owner helps nobody.
OWNER_WAIT_SECONDS = 5.0
OWNER_POLL_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 2.0
# Grace for an answer that is on its way when the deadline passes.
ANSWER_GRACE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class Here:
    """This entry owns the shard."""


@dataclasses.dataclass(frozen=True)
class There:
    """Another entry owns the shard."""

    link: _peer_link.PeerLink


@dataclasses.dataclass(frozen=True)
class Nowhere:
    """No entry that can be reached owns the shard now."""


class Carrier:
    """Routes the requests of callers to owners."""

    def __init__(
        self,
        settings: _settings.Settings,
        registry: _registry.Registry,
        owner: _owner.Owner,
        link_by_id: dict[str, _peer_link.PeerLink],
        metrics: _metrics.Metrics,
    ):
        self._registry = registry
        self._owner = owner
        self._link_by_id = link_by_id
        self._metrics = metrics
        self._shard_count = settings.jobs.shard_count

    def locate(self, buyer: str) -> Here | There | Nowhere:
        """Return where the buyer's jobs are owned now."""
        shard = _ids.shard_of(buyer, self._shard_count)
        if self._registry.usable(shard, _clock.monotonic()) is not None:
            return Here()
        record = self._registry.view.shard_by_number.get(shard)
        me = self._registry.record.id
        owner = record.owner if record else ""
        if record is not None and owner in ("", me):
            # Released, or given up here: the entry that the hash names takes it, which an
            # entry that is cut off from the table can't read. One that is no owner refuses.
            owner = self._registry.view.preferred(shard)
        if owner and owner != me:
            link = self._link_by_id.get(owner)
            if link is not None and link.connected:
                return There(link)
        return Nowhere()

    def owner_address(self, buyer: str) -> str:
        """Return the HTTP address of the entry that owns the buyer's jobs, empty for none."""
        record = self._registry.view.owner_of(_ids.shard_of(buyer, self._shard_count))
        entry = self._registry.view.entry_by_id.get(record.owner) if record else None
        return entry.http_address if entry else ""

    async def submit(self, submission: _submission.Submission, wait: bool = True) -> bytes:
        """Return the complete answer's body; raise `DispatchError` for any other end.

        After the first time that the submission may have reached an owner, an end
        without an answer is `OUTCOME_UNKNOWN`; before that, it is `not run`.
        """
        deadline = _clock.monotonic() + submission.deadline_ms / 1000
        reached = False
        refused_until = _clock.monotonic() + OWNER_WAIT_SECONDS
        while True:
            place = await self._find_owner(submission.buyer, deadline)
            left_ms = int((deadline - _clock.monotonic()) * 1000)
            try:
                match place:
                    case Here():
                        return await self.settle_here(submission, wait)
                    case There(link=link):
                        self._metrics.wasted("forward", 2)
                        return await self._forward(link, submission, max(left_ms, 1), wait)
                    case Nowhere():
                        kind = errors.Kind.OUTCOME_UNKNOWN if reached else errors.Kind.NO_OWNER
                        raise errors.DispatchError(kind)
            except (_peer_session.RelinquishedError, _peer_link.LinkLostError):
                reached = True
                refused_until = _clock.monotonic() + OWNER_WAIT_SECONDS
                self._metrics.retried("owner_lost")
            except _peer_link.NotConnectedError:
                self._metrics.retried("owner_not_connected")
            except errors.DispatchError as error:
                if error.kind is not errors.Kind.NO_OWNER or isinstance(place, Nowhere):
                    raise
                # An outdated row may name an entry that never becomes the owner again.
                if _clock.monotonic() > min(refused_until, deadline):
                    kind = errors.Kind.OUTCOME_UNKNOWN if reached else errors.Kind.NO_OWNER
                    raise errors.DispatchError(kind) from error
                self._metrics.retried("owner_moved")
            await asyncio.sleep(OWNER_POLL_SECONDS)

    async def settle_here(self, submission: _submission.Submission, wait: bool) -> bytes:
        """Submit to the own shard; raise `RelinquishedError` if it is lost meanwhile."""
        found = self._owner.submit(submission)
        if isinstance(found, _jobs.Record):
            return _body_of(found.settlement())
        if not wait and not found.settled.done():
            return b""
        return _body_of(await asyncio.shield(found.settled))

    async def lookup(self, operation: str, buyer: str, job_id: str, wait_ms: int = 0) -> dict:
        """Run status, answer, explain or cancel at the owner; return the reply's body."""
        place = await self._find_owner(buyer, _clock.monotonic() + OWNER_WAIT_SECONDS)
        match place:
            case Here():
                return await self.lookup_here(operation, buyer, job_id, wait_ms)
            case There(link=link):
                self._metrics.wasted("forward_lookup", 2)
                try:
                    return await link.call(
                        lambda number: _wire.OperationRequest(
                            number, operation, buyer, job_id, wait_ms
                        ),
                        CALL_TIMEOUT_SECONDS + wait_ms / 1000,
                    )
                except (_peer_link.LinkLostError, _peer_link.NotConnectedError) as error:
                    raise errors.DispatchError(errors.Kind.NO_OWNER, str(error)) from error
        raise errors.DispatchError(errors.Kind.NO_OWNER)

    async def lookup_here(self, operation: str, buyer: str, job_id: str, wait_ms: int) -> dict:
        """Run one lookup at the own shard."""
        key: _work.Key = (buyer, job_id)
        if operation == "cancel":
            self._owner.cancel(key)
            operation = "status"
        if operation == "answer":
            job = self._owner.jobs.job_by_key.get(key)
            if job is not None:
                await asyncio.wait([job.settled], timeout=wait_ms / 1000)
            record = self._owner.jobs.record_by_key.get(key)
            if record is not None:
                return {"state": "complete", "body": _body_of(record.settlement())}
        return self._owner.explain(key)

    async def _forward(
        self,
        link: _peer_link.PeerLink,
        submission: _submission.Submission,
        left_ms: int,
        wait: bool,
    ) -> bytes:
        tasks = [task.as_wire() for task in submission.tasks]
        timeout = left_ms / 1000 + ANSWER_GRACE_SECONDS
        return await link.call(
            lambda number: _wire.Submit(
                number, submission.buyer, submission.job_id, left_ms, tasks, wait
            ),
            timeout,
        )

    async def _find_owner(self, buyer: str, deadline: float) -> Here | There | Nowhere:
        limit = min(deadline, _clock.monotonic() + OWNER_WAIT_SECONDS)
        place = self.locate(buyer)
        while isinstance(place, Nowhere) and _clock.monotonic() < limit:
            await asyncio.sleep(OWNER_POLL_SECONDS)
            place = self.locate(buyer)
        return place


def _body_of(settlement: _jobs.Settlement) -> bytes:
    match settlement:
        case _jobs.Complete(body=body):
            return body
        case _jobs.Failed(error=error):
            raise error
    raise _peer_session.RelinquishedError
