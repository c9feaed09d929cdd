"""Explanation of why a job waits, and a snapshot of the dispatcher's counts."""

from daisyfall.request import _health, _queue, _retries, _routing


def explain(job: _queue.Job, queue: _queue.FairQueue, now: float) -> dict:
    """Return a job's counts and the reason why its next task waits."""
    buyer = job.buyer
    sent_by_agent: dict[str, int] = {}
    for agent, _ in job.sent.values():
        agent_id = agent.upstream.agent_id
        sent_by_agent[agent_id] = sent_by_agent.get(agent_id, 0) + 1
    explanation = {
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
        explanation["deadline_left_ms"] = round((job.work.deadline - now) * 1000.0)
    return explanation


def _reason(job: _queue.Job) -> str:
    buyer = job.buyer
    if not job.queued:
        return "backoff" if job.delayed else "results" if job.sent else ""
    if buyer.blocked is not None:
        return f"limit {buyer.blocked.value}"
    blocked_by = [subqueue.blocked for subqueue in buyer.subqueues.values() if subqueue.blocked]
    if blocked_by:
        return f"resource {blocked_by[0]}"
    if not buyer.pool.slots():
        return "no usable upstream"
    first_parts = [subqueue.head() for subqueue in buyer.subqueues.values()]
    has_earlier_jobs = not any(part is not None and part.job is job for part in first_parts)
    return "earlier jobs of the buyer" if has_earlier_jobs else "a free slot"


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
        "queued_by_buyer": {buyer.name: buyer.queued for buyer in buyers if buyer.queued},
        "in_flight": sum(agent.own_tasks for agent in agents.values()),
        "use_by_buyer": {
            buyer.name: {
                "in_flight": buyer.usage.in_flight,
                "slots": buyer.usage.slots,
                "accelerators": buyer.usage.accelerators,
            }
            for buyer in buyers
            if buyer.usage.in_flight or buyer.usage.slots or buyer.usage.accelerators
        },
        "in_flight_by_agent": {agent_id: agent.own_tasks for agent_id, agent in agents.items()},
        "foreign_by_agent": {agent_id: agent.external_tasks for agent_id, agent in agents.items()},
        "share_by_agent": {agent_id: agent.share for agent_id, agent in agents.items()},
        "health_by_agent": {
            agent_id: _health.describe(health.health_by_id[agent_id]) for agent_id in agents
        },
        "retries_by_reason": dict(retries.count_by_reason),
    }
