"""What an entry hears of the store, as its followers tell.

The store may be slow, silent for all, or turn single entries away; which of these
it is decides what an entry does for its callers.
"""

# A sound store is heard every 0.5 s, at the end of each call for changes, and one
# that is slowed ninetyfold every 1.0 s.
_HEARD_NOW_S = 0.7
_HEARD_WITHIN_S = 1.0
# The same for the configuration, whose changes are asked for every 0.7 s.
_CONFIG_HEARD_WITHIN_S = 1.3


class Hearing:
    """What the followers of the system's and of the operator's rows hear."""

    def __init__(self, work_rows, operator_rows):
        self._work_rows = work_rows
        self._operator_rows = operator_rows

    @property
    def is_sound(self):
        """Whether the store answers, however slowly.

        It has to answer for the configuration too: another entry may have shown
        a caller a newer one than is known here.
        """
        config_unheard_s = self._operator_rows.unheard_s
        return (
            self._work_rows.unheard_s < _HEARD_WITHIN_S
            and config_unheard_s < _CONFIG_HEARD_WITHIN_S
        )

    @property
    def is_prompt(self):
        """Whether the store answers without delay."""
        return self.is_sound and self._work_rows.unheard_s < _HEARD_NOW_S

    @property
    def is_silent(self):
        """Whether nothing has come from the store for too long to write to it."""
        return self._work_rows.is_silent

    @property
    def silence_s(self):
        """How old what is known of the system's rows is, in seconds."""
        return self._work_rows.age_s

    @property
    def unheard_s(self):
        """How long ago the store last answered, in seconds."""
        return self._work_rows.unheard_s

    @property
    def config_age_s(self):
        """How old what is known of the configuration is, in seconds."""
        return self._operator_rows.age_s

    @property
    def returns(self):
        """How often the store has answered again after it had not."""
        return self._work_rows.returns
