"""Data types shared by all packages of samphiredeal; performs no I/O."""
