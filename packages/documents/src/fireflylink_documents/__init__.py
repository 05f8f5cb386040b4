"""JSON encoding, checks and signatures of the stored documents."""
