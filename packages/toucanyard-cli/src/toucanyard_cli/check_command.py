"""Validate settings and patch files without contacting a node."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from toucanyard.configuration import Configuration
from toucanyard.patches import (
    Patch,
    PatchInvalidError,
    Put,
    Remove,
    apply_patch,
)
from toucanyard.settings import SettingsError, load_document, load_options
from toucanyard_cli.access import json_option
from toucanyard_cli.exit_codes import ExitCode
from toucanyard_cli.failures import CommandError


class PatchFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of a patch file."""

    put: Put = Put()
    remove: Remove = Remove()


class VersionFile(msgspec.Struct, frozen=True):
    """The output of `show --json`, as far as it is needed here."""

    configuration: Configuration


class CheckResult(msgspec.Struct, frozen=True):
    """The output of `check --json` for a valid file."""

    file: str
    kind: str


def read_patch_file(file: Path) -> PatchFile:
    """Read a patch file, or raise CommandError with status 2."""
    try:
        return load_document(file, PatchFile)
    except SettingsError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error


@click.command()
@click.option(
    "--configuration",
    "is_patch",
    is_flag=True,
    help="FILE is a patch of the configuration, not settings.",
)
@click.option(
    "--on",
    "base_file",
    type=click.Path(path_type=Path),
    help="Version that the patch is tried on, as `show --json` prints it;"
    " else the empty one.",
)
@click.argument("file", type=click.Path(path_type=Path))
@json_option
def check(file: Path, is_patch: bool, base_file: Path | None, is_json: bool) -> None:
    """Check FILE: a node's settings, or with --configuration a patch."""
    if base_file is not None and not is_patch:
        raise CommandError(ExitCode.USAGE, "--on needs --configuration")
    kind = "patch" if is_patch else "settings"
    if is_patch:
        _check_patch(file, base_file)
    else:
        _check_settings(file)
    if is_json:
        click.echo(msgspec.json.encode(CheckResult(str(file), kind)))
    else:
        click.echo(f"{file}: {kind} are right" if not is_patch else f"{file}: applies")


def _check_settings(file: Path) -> None:
    try:
        load_options(file)
    except SettingsError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error


def _check_patch(file: Path, base_file: Path | None) -> None:
    content = read_patch_file(file)
    base = Configuration()
    if base_file is not None:
        try:
            base = load_document(base_file, VersionFile).configuration
        except SettingsError as error:
            raise CommandError(ExitCode.USAGE, str(error)) from error
    try:
        apply_patch(base, Patch("", base.version, "", content.put, content.remove))
    except PatchInvalidError as error:
        raise CommandError(ExitCode.INVALID, f"{file}: {error}") from error
