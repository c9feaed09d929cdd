"""Why a job waits, and the counts of a dispatcher."""

from daisyfall.request import _health, _queue, _retries, _routing


def explain(job: _queue.Job, queue: _queue.FairQueue, now: float) -> dict:
    """Return a job's counts and the reason for which its next task waits."""
    buyer = job.buyer
    sent_by_agent: dict[str, int] = {}
    for agent, _ in job.sent.values():
        name = agent.upstream.agent_id
        sent_by_agent[name] = sent_by_agent.get(name, 0) + 1
    explained = {
        "state": "removed" if job.removed else "waiting" if job.queued else "sent",
        "queued": job.queued,
        "backoff": len(job.delayed),
        "in_flight_by_agent": sent_by_agent,
        "waits_for": _reason(job),
        "buyer_queued": buyer.queued,
        "buyer_in_flight": buyer.usage.in_flight,
        "all_queued": queue.queued,
        "rate_tokens": int(buyer.usage.tokens),
    }
    if job.work is not None:
        explained["deadline_left_ms"] = round((job.work.deadline - now) * 1000.0)
    return explained


def _reason(job: _queue.Job) -> str:
    buyer = job.buyer
    if not job.queued:
        return "backoff" if job.delayed else "results" if job.sent else ""
    if buyer.blocked is not None:
        return f"limit {buyer.blocked.value}"
    blocked = [subqueue.blocked for subqueue in buyer.subqueues.values() if subqueue.blocked]
    if blocked:
        return f"resource {blocked[0]}"
    if not buyer.pool.slots():
        return "no usable upstream"
    heads = [subqueue.head() for subqueue in buyer.subqueues.values()]
    earlier = not any(head is not None and head.job is job for head in heads)
    return "earlier jobs of the buyer" if earlier else "a free slot"


def snapshot(
    queue: _queue.FairQueue,
    router: _routing.Router,
    retries: _retries.Retries,
    health: _health.HealthTracker,
    jobs: int,
) -> dict:
    """Return counts by buyer and agent."""
    agents = router.agent_by_id
    buyers = queue.buyer_by_name.values()
    return {
        "jobs": jobs,
        "queued": queue.queued,
        "queued_by_buyer": {each.name: each.queued for each in buyers if each.queued},
        "in_flight": sum(agent.own for agent in agents.values()),
        "use_by_buyer": {
            each.name: {
                "in_flight": each.usage.in_flight,
                "slots": each.usage.slots,
                "accelerators": each.usage.accelerators,
            }
            for each in buyers
            if each.usage.in_flight or each.usage.slots or each.usage.accelerators
        },
        "in_flight_by_agent": {name: agent.own for name, agent in agents.items()},
        "foreign_by_agent": {name: agent.foreign for name, agent in agents.items()},
        "share_by_agent": {name: agent.share for name, agent in agents.items()},
        "health_by_agent": {name: _health.describe(health.health_by_id[name]) for name in agents},
        "retries_by_reason": dict(retries.count_by_reason),
    }
