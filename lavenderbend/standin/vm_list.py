"""A stand-in for the platform's VM list, late by a set time."""

from __future__ import annotations

import hashlib
import json
from typing import Any
from typing import TYPE_CHECKING

import attrs
import hypercorn.config
import hypercorn.trio
import quart
import quart_trio
import trio

from lavenderbend.transport import vm_list_http

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderbend.state import upstreams


@attrs.frozen
class Edit:
    """A change of the list and when it shows.

    Attributes:
        shows_at: Trio clock from which readers see it.
        vm_id: The VM.
        vm: Its new line, None when it is removed.
    """

    shows_at: float
    vm_id: str
    vm: upstreams.Vm | None


class VmListStandIn:
    """The list, whose changes show `lag` seconds late.

    Attributes:
        lag: Seconds until a change shows.
        down: While set, reads fail.
    """

    def __init__(
        self, vms: Iterable[upstreams.Vm] = (), lag: float = 0.0
    ) -> None:
        self.lag = lag
        self.down = False
        self.newest = {vm.id: vm for vm in vms}
        self.shown = dict(self.newest)
        self.edits: list[Edit] = []

    def add(self, vm: upstreams.Vm) -> None:
        """Adds or replaces a VM."""
        self.edit(vm.id, vm)

    def set_state(self, vm_id: str, state: upstreams.VmState) -> None:
        """Changes the state of a VM, if it is there."""
        if vm_id in self.newest:
            self.edit(vm_id, attrs.evolve(self.newest[vm_id], state=state))

    def remove(self, vm_id: str) -> None:
        """Removes a VM."""
        self.edit(vm_id, None)

    def edit(self, vm_id: str, vm: upstreams.Vm | None) -> None:
        """Notes a change that shows after the lag."""
        if vm is None:
            self.newest.pop(vm_id, None)
        else:
            self.newest[vm_id] = vm
        shows_at = trio.current_time() + self.lag
        self.edits.append(Edit(shows_at, vm_id, vm))

    def vms(self) -> tuple[upstreams.Vm, ...]:
        """Returns the list as readers see it now."""
        now = trio.current_time()
        waiting = []
        for edit in self.edits:
            if edit.shows_at > now:
                waiting.append(edit)
            elif edit.vm is None:
                self.shown.pop(edit.vm_id, None)
            else:
                self.shown[edit.vm_id] = edit.vm
        self.edits = waiting
        return tuple(self.shown[vm_id] for vm_id in sorted(self.shown))


def make_app(standin: VmListStandIn) -> quart_trio.QuartTrio:
    """Returns the HTTP application of a stand-in."""
    app = quart_trio.QuartTrio(__name__)

    @app.get('/vms')
    async def read() -> quart.Response:
        if standin.down:
            return quart.Response('the VM list is down', 503)
        lines = [vm_list_http.vm_to_json(vm) for vm in standin.vms()]
        body = json.dumps({'vms': lines})
        etag = '"' + hashlib.sha256(body.encode()).hexdigest()[:16] + '"'
        headers = {'etag': etag, 'content-type': 'application/json'}
        if quart.request.headers.get('if-none-match') == etag:
            return quart.Response('', 304, headers)
        return quart.Response(body, 200, headers)

    @app.put('/vms/<vm_id>')
    async def put(vm_id: str) -> quart.Response:
        line: Any = await quart.request.get_json(force=True)
        try:
            standin.add(vm_list_http.vm_from_json({**line, 'id': vm_id}))
        except (KeyError, TypeError, ValueError) as exc:
            return quart.Response(f'no such VM: {exc!r}', 400)
        return quart.Response('', 204)

    @app.delete('/vms/<vm_id>')
    async def delete(vm_id: str) -> quart.Response:
        standin.remove(vm_id)
        return quart.Response('', 204)

    return app


async def serve(
    host: str,
    port: int,
    standin: VmListStandIn,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a stand-in; starts with the bound port."""
    config = hypercorn.config.Config()
    config.bind = [f'{host}:{port}']
    config.accesslog = None
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            hypercorn.trio.serve, make_app(standin), config
        )
        task_status.started(int(binds[0].rsplit(':', 1)[1]))
