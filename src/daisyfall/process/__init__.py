"""Entry and agent processes: membership, shard ownership, leader choice, settings and metrics."""
