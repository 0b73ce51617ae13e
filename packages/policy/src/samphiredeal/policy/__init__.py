"""The scheduling decisions: state and time in, actions out, no I/O."""
