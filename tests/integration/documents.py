"""Configurations of the fleets under test."""

from __future__ import annotations

from tests.integration import fleet

CUSTOMERS = ('corte-santiago', 'municipio-maipu', 'clinica-del-norte')
SECRETS = {name: f'secret-of-{name}' for name in CUSTOMERS}


def customers() -> str:
    lines = ['customers:']
    for name, secret in SECRETS.items():
        lines.append(f'  - name: {name}')
        lines.append(f'    credentials: ["{fleet.salted(secret)}"]')
    return '\n'.join(lines)


def document(marker: str = 'first', bound: float = 1.5) -> str:
    """Returns a configuration; callers see `marker` at /marker."""
    return f"""
rules:
  - name: marker
    when: {{path: [/marker]}}
    then: {{reject: "{marker}"}}
  - name: once
    when: {{method: [POST], path: [/replies, /briefings]}}
    then: {{pool: mailbox, idempotent: false, retries: 0, timeout: 10s}}
  - name: instant
    when: {{path: [/alerts/*, /deliveries/*]}}
    then: {{pool: mailbox, priority: instant, timeout: 5s}}
  - name: chats
    when: {{path: [/v1/chat/completions]}}
    then: {{pool: assistant, timeout: 30s, retries: 3}}
pools:
  - name: assistant
    service: assistant
    kind: engine
    bound: {bound}
    floor: 2
    max_load: 32
  - name: mailbox
    service: mailbox
    kind: service
    bound: 2.0
    floor: 16
    max_load: 256
{customers()}
"""
