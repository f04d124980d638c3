"""Copies of where chats are, from an owner to its standby."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import placements

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import groups

# for each second; about 800 bytes, while a table is copied for the first time
COPIED_CHATS = 120
# of a standby, which takes the places in memory
ANSWER_SECONDS = 1.0


class Copies:
    """What the standby of one group has been told."""

    def __init__(
        self, group: groups.GroupId, places: placements.Placements
    ) -> None:
        self.group = group
        self.places = places
        self.standby = ''

    async def send(self, link: interfaces.PeerLink, standby: str) -> None:
        """Tells the standby the next places that it lacks, if any."""
        if standby != self.standby:
            self.standby = standby
            self.places.resend()
        rows = self.places.next_unsent(COPIED_CHATS)
        if not rows or not standby:
            return
        try:
            await link.request(standby, self.message(rows), ANSWER_SECONDS)
        except errors.PeerError:
            # not known to have come: they stay the next to be sent
            return
        if standby == self.standby:
            self.places.note_sent(rows)

    def message(
        self, rows: list[tuple[int, placements.Place]]
    ) -> messages_decisions.PlacesCopy:
        """Returns the message of some chats and their places."""
        places = list(dict.fromkeys(place for _, place in rows))
        positions = {place: index for index, place in enumerate(places)}
        short_id = messages_decisions.short_id
        return messages_decisions.PlacesCopy(
            self.group.pool,
            self.group.index,
            [short_id(place.upstream) for place in places],
            [place.instance for place in places],
            [chat for chat, _ in rows],
            [positions[place] for _, place in rows],
        )

    def learn(
        self, item: messages_decisions.PlacesCopy, names: dict[int, str]
    ) -> None:
        """Notes places that another owner copied here."""
        for chat, index in zip(item.chats, item.indices, strict=False):
            upstream = names.get(item.upstreams[index])
            if upstream is not None:
                place = placements.Place(upstream, item.instances[index])
                self.places.learn(chat, place)
