"""`lavenderbend trace` on logs in the format of routers."""

from __future__ import annotations

import io
import json

import orjson
import pytest

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import main


def log_line(event, timestamp, **fields):
    return json.dumps(
        {
            **fields,
            'timestamp': timestamp,
            'message_type': f'lavenderbend:{event}',
        }
    )


@pytest.fixture
def logs(tmp_path):
    first = tmp_path / 'a.log'
    first.write_text(
        '\n'.join(
            (
                log_line('upstream_avoided', 1.0, upstream='i-2', cause='old'),
                'no log line',
                '{"half',
                log_line('upstream_avoided', 95.0, upstream='i-2', cause='x'),
                log_line('upstream_avoided', 96.0, upstream='i-9', cause='x'),
                log_line('attempt_failed', 99.0, request='r1', upstream='i-2'),
                log_line('request_ended', 99.5, request='r2', seconds=0.1),
                log_line('request_ended', 100.0, request='r1', seconds=0.4),
            )
        )
    )
    second = tmp_path / 'b.log'
    second.write_text(log_line('store_lost', 99.0))
    return [str(first), str(second)]


def run(*argv):
    out = io.StringIO()
    code = main.run(['trace', *argv], base.Output(out=out, err=out))
    return code, out.getvalue()


def test_request_lines_include_context_lines(logs):
    code, text = run('r1', *logs)
    assert code == exit_codes.ExitCode.OK
    events = [line.split()[2] for line in text.splitlines()]
    assert events == ['upstream_avoided', 'attempt_failed', 'request_ended']
    assert 'i-9' not in text


def test_unknown_request_is_reported(logs):
    code, text = run('r7', *logs)
    assert code == exit_codes.ExitCode.FAILED
    assert 'no line names r7' in text


def test_missing_file_is_reported(tmp_path):
    code, text = run('r1', str(tmp_path / 'none.log'))
    assert code == exit_codes.ExitCode.FAILED
    assert 'none.log' in text


@pytest.mark.parametrize('character', ['\x85', '\u2028', '\u2029'])
def test_a_line_with_line_breaks_of_unicode_is_shown(tmp_path, character):
    # log lines with a next line in a field were left out
    path = tmp_path / 'a.log'
    line = {
        'request': 'r1',
        'rule': f'a{character}b',
        'timestamp': 1.0,
        'message_type': 'lavenderbend:request_ended',
    }
    path.write_bytes(orjson.dumps(line) + b'\n')

    code, text = run('r1', str(path))

    assert code == exit_codes.ExitCode.OK
    assert 'request_ended' in text
