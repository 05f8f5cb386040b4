"""The daemon that runs on an entry instance."""
