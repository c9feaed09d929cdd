"""Parts that live as long as one connection between processes."""
