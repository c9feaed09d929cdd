"""Parts that live as long as one request or one job."""
