"""The protocol between daemons: messages, server and client."""
