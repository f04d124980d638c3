"""Replication of chat places from an owner to its standby."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import placements

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import groups

# Chats in one message. One message a second is sent, of about 800 bytes
# while a whole table is replicated for the first time.
MAX_CHATS_PER_MESSAGE = 120
# The standby only updates a table in memory before it answers.
ANSWER_TIMEOUT_SECONDS = 1.0


class PlaceReplication:
    """Replicates the chat places of one group to its standby.

    Attributes:
        group: The group.
        places: Places of the group's chats.
        standby: Router that the places were last sent to, empty for none.
    """

    def __init__(
        self, group: groups.GroupId, places: placements.Placements
    ) -> None:
        self.group = group
        self.places = places
        self.standby = ''

    async def send(self, link: interfaces.PeerLink, standby: str) -> None:
        """Sends the standby the next places that it lacks, if any."""
        if standby != self.standby:
            self.standby = standby
            self.places.resend()
        rows = self.places.next_unsent(MAX_CHATS_PER_MESSAGE)
        if not rows or not standby:
            return
        try:
            await link.request(
                standby, self.message(rows), ANSWER_TIMEOUT_SECONDS
            )
        except errors.PeerError:
            # delivery is not confirmed: the same rows are sent again
            return
        if standby == self.standby:
            self.places.note_sent(rows)

    def message(
        self, rows: list[tuple[int, placements.Place]]
    ) -> messages_decisions.ReplicatedPlaces:
        """Returns the message for some chats and their places."""
        places = list(dict.fromkeys(place for _, place in rows))
        positions = {place: index for index, place in enumerate(places)}
        short_id = messages_decisions.short_id
        return messages_decisions.ReplicatedPlaces(
            self.group.pool,
            self.group.index,
            [short_id(place.upstream) for place in places],
            [place.instance for place in places],
            [chat for chat, _ in rows],
            [positions[place] for _, place in rows],
        )

    def store(
        self,
        message: messages_decisions.ReplicatedPlaces,
        upstream_names: dict[int, str],
    ) -> None:
        """Stores places that another owner replicated to this router."""
        for chat, index in zip(message.chats, message.indices, strict=False):
            upstream = upstream_names.get(message.upstreams[index])
            if upstream is not None:
                place = placements.Place(upstream, message.instances[index])
                self.places.merge(chat, place)
