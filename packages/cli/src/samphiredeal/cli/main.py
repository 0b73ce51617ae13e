"""The command line.

The roles start without importing `porcelain`, which would slow down their start-up.
"""

import sys

_ROLES = ("entry", "agent")


def main():
    """Run the command given by the arguments; return the exit status."""
    arguments = sys.argv[1:]
    if arguments == ["--version"]:
        from samphiredeal.cli import __version__

        print(__version__)
        return 0
    has_no_options = not any(argument.startswith("-") for argument in arguments)
    if has_no_options and 1 <= len(arguments) <= 2 and arguments[0] in _ROLES:
        return run_role(*arguments)
    from samphiredeal.cli import porcelain

    return porcelain.run(arguments)


def _run_on_platform(role):
    """Run a role with the settings file that the platform names in the environment."""
    from samphiredeal.platform.settings import SettingsError, read_settings

    try:
        settings = read_settings()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if role == "agent":
        from samphiredeal.cli import platform_roles

        platform_roles.run_agent(settings)
        return 0
    from samphiredeal.cli.early import listen_early

    callers = listen_early(settings.callers_address)
    from samphiredeal.cli import platform_roles

    platform_roles.run_entry(settings, callers)
    return 0


def run_role(role, path=""):
    """Run a role with a settings file, by default that which the platform names."""
    return _run_from_file(role, path) if path else _run_on_platform(role)


def _run_from_file(role, path):
    from samphiredeal.cli import roles
    from samphiredeal.cli.settings import SettingsError

    try:
        {"entry": roles.run_entry, "agent": roles.run_agent}[role](path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
