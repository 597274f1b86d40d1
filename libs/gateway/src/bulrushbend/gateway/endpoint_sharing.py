"""Exchange of the endpoint list between the gateways of a data centre.

The source of the list accepts a limited number of calls from the whole fleet, and may
charge for each. One gateway of each data centre therefore reads the list and passes it
on; the others read it themselves only when it gets too old.

After each read the reader sends a note with the version and the age of its list. The
pages of the list follow when the content has changed, and when a gateway that does not
have this version asks for them.
"""

from collections.abc import Iterable, Mapping, Sequence

from bulrushbend.core.rendezvous import rendezvous_rank
from bulrushbend.gateway.endpoint_validation import (
    InvalidEndpointError,
    InvalidEntryLog,
    validate_endpoint,
)
from bulrushbend.gateway.endpoints import DiscoveredEndpoint, EndpointDirectory
from bulrushbend.gateway.placement_client import DatagramSender
from bulrushbend.wire.fleet_pb2 import (
    EndpointEntry,
    EndpointListNote,
    EndpointListPage,
    EndpointListRequest,
    GatewayDatagram,
)

# Entries of a page; a datagram of this size stays under 8 KB.
_PAGE_ENTRIES = 50
# Limits on the pages of an incomplete list, since a datagram may be malformed.
_MAX_PAGES = 1_000
_RANKING_KEY = "endpoint-list"

Version = tuple[str, int, int]


def reader_rank(name: str, cores_by_gateway: Mapping[str, float]) -> int:
    """Return the rank of a gateway among those of its data centre that read the list.

    Parameters
    ----------
    name : str
        Name of the gateway.
    cores_by_gateway : mapping from str to float
        Cores of each gateway of the data centre, itself included. Those with the most
        are ranked first.
    """

    def rank(gateway: str) -> tuple[float, bytes]:
        return cores_by_gateway[gateway], rendezvous_rank(_RANKING_KEY, gateway)

    return sorted(cores_by_gateway, key=rank, reverse=True).index(name)


class EndpointListExchange:
    """Sends the endpoint list that this gateway reads, and applies those of others.

    Parameters
    ----------
    name : str
        Name of this gateway.
    incarnation : int
        Incarnation of this gateway.
    directory : EndpointDirectory
        The endpoint list.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        directory: EndpointDirectory,
        send: DatagramSender,
    ):
        self._name = name
        self._incarnation = incarnation
        self._directory = directory
        self._send = send
        self._addresses: tuple[str, ...] = ()
        self._version = 0
        self._published: Sequence[DiscoveredEndpoint] | None = None
        # Version of another gateway that equals the current list.
        self._applied: Version | None = None
        self._incomplete: Version | None = None
        self._pages: dict[int, EndpointListPage] = {}
        self._invalid_entries = InvalidEntryLog()
        directory.add_read_listener(self._publish)

    def set_addresses(self, addresses: Sequence[str]) -> None:
        """Set the addresses of the other gateways of the data centre."""
        self._addresses = tuple(addresses)

    def handle_note(self, note: EndpointListNote, address: str) -> None:
        """Handle a note: refresh the age of the list, or ask for a newer one."""
        if (note.gateway, note.incarnation, note.version) == self._applied:
            self._directory.confirm(note.age_ms)
        elif self._directory.is_newer(note.age_ms):
            request = EndpointListRequest(
                incarnation=note.incarnation, version=note.version
            )
            self._send(address, GatewayDatagram(list_request=request))

    def handle_request(self, request: EndpointListRequest, address: str) -> None:
        """Send the list to a gateway that asks for the current version."""
        if (request.incarnation, request.version) == (self._incarnation, self._version):
            self._send_pages([address])

    def handle_page(self, page: EndpointListPage) -> None:
        """Apply a list of another gateway when all its pages have arrived."""
        if not 0 < page.pages <= _MAX_PAGES or page.page >= page.pages:
            return
        version = (page.gateway, page.incarnation, page.version)
        if version == self._applied:
            return
        if version != self._incomplete:
            self._incomplete = version
            self._pages = {}
        self._pages[page.page] = page
        if len(self._pages) < page.pages:
            return
        pages, self._pages, self._incomplete = self._pages, {}, None
        found = self._decode_entries(
            entry for number in sorted(pages) for entry in pages[number].entries
        )
        age_ms = max(page.age_ms for page in pages.values())
        if self._directory.adopt(found, age_ms):
            self._applied = version

    def _decode_entries(
        self, entries: Iterable[EndpointEntry]
    ) -> list[DiscoveredEndpoint]:
        """Return the endpoints of a list; invalid entries are logged and skipped."""
        found: list[DiscoveredEndpoint] = []
        invalid: dict[str, str] = {}
        for entry in entries:
            try:
                found.append(_decode_entry(entry))
            except InvalidEndpointError as error:
                invalid[f"{entry.id!r:.80} at {entry.address!r:.80}"] = error.message
        self._invalid_entries.update(invalid)
        return found

    def _publish(self, found: Sequence[DiscoveredEndpoint]) -> None:
        """Send the list that this gateway has read, or a note that it is unchanged."""
        self._applied = None
        if found == self._published:
            note = EndpointListNote(
                gateway=self._name,
                incarnation=self._incarnation,
                version=self._version,
                age_ms=int(self._directory.age_ms),
            )
            for address in self._addresses:
                self._send(address, GatewayDatagram(list_note=note))
            return
        self._published = found
        self._version += 1
        self._send_pages(self._addresses)

    def _send_pages(self, addresses: Sequence[str]) -> None:
        entries = [_encode_entry(endpoint) for endpoint in self._published or ()]
        starts = range(0, max(1, len(entries)), _PAGE_ENTRIES)
        for number, start in enumerate(starts):
            page = EndpointListPage(
                gateway=self._name,
                incarnation=self._incarnation,
                version=self._version,
                age_ms=int(self._directory.age_ms),
                page=number,
                pages=len(starts),
                entries=entries[start : start + _PAGE_ENTRIES],
            )
            for address in addresses:
                self._send(address, GatewayDatagram(list_page=page))


def _encode_entry(endpoint: DiscoveredEndpoint) -> EndpointEntry:
    return EndpointEntry(
        id=endpoint.id,
        service=endpoint.service,
        address=endpoint.address,
        data_centre=endpoint.data_centre,
        slots=endpoint.slots,
        is_leaving=endpoint.is_leaving,
        started_ms=endpoint.started_ms,
    )


def _decode_entry(entry: EndpointEntry) -> DiscoveredEndpoint:
    """Return the endpoint that an entry describes.

    Raises
    ------
    InvalidEndpointError
        A field has an invalid value.
    """
    fields = {
        "id": entry.id,
        "service": entry.service,
        "address": entry.address,
        "data_centre": entry.data_centre,
        "slots": entry.slots,
        "is_leaving": entry.is_leaving,
    }
    if entry.HasField("started_ms"):
        fields["started_ms"] = entry.started_ms
    return validate_endpoint(fields)
