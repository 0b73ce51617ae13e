"""The operator's rows, decoded."""

from eliot import log_message

from samphiredeal.model.operations import Directory
from samphiredeal.platform import operator


class OperationsView:
    """The newest configuration and the availability zones taken out of service."""

    def __init__(self, on_change):
        self._on_change = on_change
        self._directory = None
        self._zones_out = frozenset()

    @property
    def directory(self):
        """Lookups in the newest configuration, or None before the first."""
        return self._directory

    @property
    def version(self):
        """The version of the newest configuration, 0 before the first."""
        return self._directory.operations.version if self._directory else 0

    @property
    def zones_out(self):
        """The availability zones in which nothing may start."""
        return self._zones_out

    @property
    def guarantees(self):
        """Guaranteed accelerators by client account."""
        if self._directory is None:
            return {}
        accounts = self._directory.operations.accounts
        return {one.name: one.guaranteed_accelerators for one in accounts}

    def on_rows(self, rows, is_snapshot):
        """Apply changed rows of the operator's table, or all rows if `is_snapshot`."""
        zones_out = set() if is_snapshot else set(self._zones_out)
        for row in rows:
            zone = operator.zone_out_of(row.key)
            if row.key == operator.CONFIGURATION_KEY and row.version:
                self._apply_configuration(row)
            elif zone is not None and row.version:
                zones_out.add(zone)
            elif zone is not None:
                zones_out.discard(zone)
        if zones_out != self._zones_out:
            log_message(message_type="zones_out_changed", zones=sorted(zones_out))
            self._zones_out = frozenset(zones_out)
        self._on_change()

    def _apply_configuration(self, row):
        try:
            operations = operator.decode_operations(row.value)
        except ValueError as error:
            log_message(
                message_type="configuration_unreadable",
                row_version=row.version,
                in_force=self.version,
                reason=str(error)[:300],
            )
            return
        self.apply(operations)

    def apply(self, operations):
        """Put a configuration in force if it is newer than the present one."""
        if self._directory is not None and operations.version <= self.version:
            return
        log_message(
            message_type="configuration_in_force",
            version=operations.version,
            before=self.version,
            queues=len(operations.queues),
            accounts=len(operations.accounts),
        )
        self._directory = Directory(operations)
