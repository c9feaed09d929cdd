"""Stand-ins of the review: store, runners, clients, and the processes of a small deployment."""
