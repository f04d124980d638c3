"""The text that a stand-in engine answers, known to checkers as well."""

from __future__ import annotations

from typing import Any

import orjson

from lavenderbend.state import hashing

# fmt: off
WORDS = (
    'acta', 'aviso', 'banco', 'borde', 'calle', 'carta', 'cauce', 'cerro',
    'ciclo', 'copia', 'cruce', 'curva', 'dato', 'ducto', 'firma', 'folio',
    'fondo', 'grado', 'hora', 'legua', 'linea', 'lista', 'llano', 'marca',
    'medio', 'monto', 'norte', 'nota', 'orden', 'paso', 'pauta', 'plazo',
    'pliego', 'poste', 'puente', 'punto', 'rampa', 'ruta', 'sello', 'senda',
    'serie', 'sitio', 'sobre', 'surco', 'tabla', 'tramo', 'turno', 'valle',
)
# fmt: on
DEFAULT_TOKENS = 24
MAX_TOKENS = 4096
BYTES_PER_TOKEN = 4


def token_count(document: dict[str, Any]) -> int:
    """Returns how many tokens the answer to a chat request has."""
    value = document.get('max_tokens')
    if isinstance(value, int) and 0 < value <= MAX_TOKENS:
        return value
    return DEFAULT_TOKENS


def answer_tokens(request_id: str, document: dict[str, Any]) -> list[str]:
    """Returns the tokens of the one right answer to a request."""
    messages = orjson.dumps(document['messages'], option=orjson.OPT_SORT_KEYS)
    seed = hashing.hash64(request_id, messages)
    tokens = []
    for index in range(token_count(document)):
        # a step of a multiplicative generator; cheap and the same everywhere
        seed = (seed * 6364136223846793005 + 1442695040888963407) % 2**64
        word = WORDS[(seed >> 33) % len(WORDS)]
        tokens.append(word if index == 0 else ' ' + word)
    return tokens


def answer_text(request_id: str, document: dict[str, Any]) -> str:
    """Returns the one right answer to a request."""
    return ''.join(answer_tokens(request_id, document))


def count_tokens(message: dict[str, Any]) -> int:
    """Returns the size of one message."""
    return len(str(message.get('content') or '')) // BYTES_PER_TOKEN + 4


def poisoned(document: dict[str, Any], marker: str) -> bool:
    """Returns whether the prompt holds the text that crashes the engine."""
    return any(
        marker in str(item.get('content')) for item in document['messages']
    )
