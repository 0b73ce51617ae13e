"""Data that every part of samphiredeal shares, without I/O."""
