"""Stand-ins for the platform and backend servers, the demo, load and experiments."""
