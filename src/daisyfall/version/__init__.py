"""Parts that live as long as one version of the lists."""
