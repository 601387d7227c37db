"""A model of a database group under promotion, for hypothesis's state machines.

Endpoints follow the platform's contract. The decisions are the package's own
functions, which a mutation may replace. Messages are kept when they are sent
and delivered in any order, late, twice or never.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.record import Sighting, Vote
from trefoilhitch.position import ORIGIN, at_least, majority_position
from trefoilhitch.promotion import Choice, choose_primary, next_term

MEMBERS = 3
ENDPOINTS = st.integers(0, MEMBERS - 1)
CLAIMANTS = st.integers(0, 1)
REQUESTS = st.integers(0, 7)
RACE = tuple((claimant, each) for claimant in (0, 1) for each in range(MEMBERS))
ANY = st.integers(0, 10_000)
Entry: TypeAlias = tuple[int, int | None]
Log: TypeAlias = tuple[Entry, ...]


@dataclass(frozen=True)
class Rules:
    """The rules that a mutation may break."""

    choose: Callable[..., Choice] = choose_primary
    confirmed: Callable[..., int | None] = majority_position
    covers: Callable[[LogPosition, LogPosition], bool] = at_least
    one_claimant: bool = True
    refuses_older_terms: bool = True
    records_outcomes: bool = True
    settles_first: bool = True
    decides_once: bool = True


@dataclass
class Endpoint:
    """One endpoint; what is kept here survives its restart."""

    term: int = 0
    claimant: int = -1
    role: str = 'replica'
    log: Log = ()
    held: dict[int, int] = field(default_factory=dict)

    def end(self, length: int | None = None) -> LogPosition:
        """Return the position of the end of the log, or of a prefix."""
        size = len(self.log) if length is None else length
        term = self.log[size - 1][0] if size else 0
        return LogPosition(term=term, position=size)


@dataclass(frozen=True)
class Replication:
    """A message from a primary to a follower."""

    term: int
    sender: int
    target: int
    previous: LogPosition
    entries: Log


@dataclass
class Claim:
    """A promotion in progress, at any pace; it is decided once."""

    term: int = 0
    attempt: int = 0
    primary: int | None = None
    votes: dict[int, Vote] = field(default_factory=dict)


class PromotionModel(RuleBasedStateMachine):
    """Endpoints, claimants, writers and readers."""

    contract = Rules()

    def __init__(self) -> None:
        """Start with endpoints in term 0 and no primary."""
        super().__init__()
        self.endpoints = [Endpoint() for _ in range(MEMBERS)]
        self.claims = [Claim(), Claim()]
        self.sent: list[Replication] = []
        self.attempts = 0
        self.promoted: dict[int, int] = {}
        self.acked: dict[int, LogPosition] = {}
        self.unknown: set[int] = set()
        self.not_run: set[int] = set()
        self.seen = ORIGIN

    @rule(claimant=CLAIMANTS)
    def claim(self, claimant: int) -> None:
        """Begin a promotion in a term later than any seen."""
        sightings = [
            Sighting(
                name=str(number),
                role='replica',
                term=each.term,
                last_term=0,
                last_position=0,
                reachable=True,
                silent_ms=0,
            )
            for number, each in enumerate(self.endpoints)
        ]
        self.attempts += 1
        self.claims[claimant] = Claim(next_term(sightings), self.attempts)

    @rule(claimant=CLAIMANTS, member=ENDPOINTS)
    def fence(self, claimant: int, member: int) -> None:
        """Deliver a fence, the first time or again."""
        claimed = self.claims[claimant]
        endpoint = self.endpoints[member]
        same = claimed.term == endpoint.term and endpoint.role == 'fenced'
        if self.contract.one_claimant:
            same = same and endpoint.claimant == claimed.attempt
        later = claimed.term > endpoint.term
        accepted = bool(claimed.term) and (later or same)
        if accepted:
            endpoint.term = claimed.term
            endpoint.claimant = claimed.attempt
            endpoint.role = 'fenced'
        end = endpoint.end()
        claimed.votes[member] = Vote(
            name=str(member),
            accepted=accepted,
            term=endpoint.term,
            last_term=end.term,
            last_position=end.position,
        )

    @rule(claimant=CLAIMANTS)
    def promote(self, claimant: int) -> None:
        """Finish a promotion, perhaps long after the fence."""
        claimed = self.claims[claimant]
        number = self._chosen(claimed)
        if number is None:
            return
        endpoint = self.endpoints[number]
        mine = endpoint.claimant == claimed.attempt
        if not mine or endpoint.role != 'fenced':
            return
        if endpoint.term != claimed.term:
            return
        assert self.promoted.setdefault(claimed.term, number) == number
        endpoint.role = 'primary'
        endpoint.held = {}
        endpoint.log += ((endpoint.term, None),)

    @rule(claimant=CLAIMANTS, absent=ENDPOINTS)
    def elect(self, claimant: int, absent: int) -> None:
        """Run a whole promotion without one endpoint."""
        self.claim(claimant)
        for member in range(MEMBERS):
            if member != absent:
                self.fence(claimant, member)
        self.promote(claimant)

    @rule(number=ENDPOINTS, request=REQUESTS)
    def send(self, number: int, request: int) -> None:
        """Send a request that may not be repeated, and lose its answer."""
        if request in self.unknown and self.contract.settles_first:
            return
        if request in self.acked or request in self.not_run:
            return
        self._execute(number, request)

    @rule(number=ENDPOINTS, request=REQUESTS)
    def settle(self, number: int, request: int) -> None:
        """Look an outcome up in a confirmed term; if absent, send again."""
        endpoint = self.endpoints[number]
        if request not in self.unknown or not self._is_current(number):
            return
        if not any(logged == request for _, logged in endpoint.log):
            self._execute(number, request)

    @rule(number=ENDPOINTS, request=REQUESTS)
    def refuse(self, number: int, request: int) -> None:
        """Have an endpoint that is no primary refuse a first copy."""
        fresh = request not in self.unknown and request not in self.acked
        if self.endpoints[number].role != 'primary' and fresh:
            self.not_run.add(request)

    @rule(sender=ENDPOINTS, member=ENDPOINTS, start=ANY)
    def replicate(self, sender: int, member: int, start: int) -> None:
        """Send a part of a primary's log, to be delivered at some time."""
        endpoint = self.endpoints[sender]
        if endpoint.role != 'primary' or sender == member:
            return
        length = start % (len(endpoint.log) + 1)
        self.sent.append(
            Replication(
                endpoint.term,
                sender,
                member,
                endpoint.end(length),
                endpoint.log[length:],
            ),
        )

    @rule(sender=ENDPOINTS, member=ENDPOINTS)
    def synchronise(self, sender: int, member: int) -> None:
        """Send a whole log and deliver it at once."""
        before = len(self.sent)
        self.replicate(sender, member, 0)
        if len(self.sent) > before:
            self.deliver(before)

    @rule(number=ENDPOINTS, member=ENDPOINTS, request=REQUESTS)
    def write(self, number: int, member: int, request: int) -> None:
        """Run a write through to its acknowledgement."""
        self.send(number, request)
        self.synchronise(number, member)
        self.acknowledge(number)

    @rule(order=st.permutations(RACE))
    def race(self, order: list[tuple[int, int]]) -> None:
        """Have both claimants claim one term, in any order of fences."""
        self.claim(0)
        self.claim(1)
        for claimant, member in order:
            self.fence(claimant, member)
            self.promote(claimant)

    @rule(which=ANY)
    def deliver(self, which: int) -> None:
        """Deliver a message, late, out of order or twice."""
        if not self.sent:
            return
        message = self.sent[which % len(self.sent)]
        target = self.endpoints[message.target]
        if message.term < target.term and self.contract.refuses_older_terms:
            return
        target.term = max(target.term, message.term)
        target.role = 'replica'
        length = message.previous.position
        if length > len(target.log) or target.end(length) != message.previous:
            return
        target.log = _extended(target.log, length, message.entries)
        sender = self.endpoints[message.sender]
        if sender.role == 'primary' and sender.term == message.term:
            held = length + len(message.entries)
            sender.held[message.target] = max(
                held,
                sender.held.get(message.target, 0),
            )

    @rule(number=ENDPOINTS)
    def acknowledge(self, number: int) -> None:
        """Acknowledge what a majority holds in the primary's term."""
        endpoint = self.endpoints[number]
        if endpoint.role != 'primary':
            return
        held = [len(endpoint.log), *endpoint.held.values()]
        reached = self.contract.confirmed(MEMBERS, held)
        if not reached or endpoint.end(reached).term != endpoint.term:
            return
        for index, (_, request) in enumerate(endpoint.log[:reached], start=1):
            if request in self.unknown:
                self._acked(request, endpoint.term, index)

    @rule(number=ENDPOINTS)
    def read(self, number: int) -> None:
        """Read in the session that wrote; the answer's position is checked."""
        endpoint = self.endpoints[number]
        if not self.contract.covers(endpoint.end(), self.seen):
            return
        logged = {request for _, request in endpoint.log}
        assert set(self.acked) <= logged, 'a session missed its own write'

    @rule(number=ENDPOINTS)
    def restart(self, number: int) -> None:
        """Restart an endpoint; a primary does not come back as one."""
        endpoint = self.endpoints[number]
        if endpoint.role == 'primary':
            self.endpoints[number] = replace(endpoint, role='replica', held={})

    @invariant()
    def acknowledged_writes_are_in_every_later_primary(self) -> None:
        """Check each primary of a later term."""
        for endpoint in self.endpoints:
            if endpoint.role != 'primary':
                continue
            logged = {request for _, request in endpoint.log}
            for request, position in self.acked.items():
                if endpoint.term >= position.term:
                    assert request in logged, 'an acknowledged write is lost'

    @invariant()
    def no_request_ran_twice(self) -> None:
        """Check each log."""
        for endpoint in self.endpoints:
            requests = [each for _, each in endpoint.log if each is not None]
            assert len(requests) == len(set(requests)), 'a request ran twice'

    @invariant()
    def what_was_refused_did_not_run(self) -> None:
        """Check each log for requests that were refused as not run."""
        for endpoint in self.endpoints:
            logged = {request for _, request in endpoint.log}
            assert not logged & self.not_run, 'a false promise'

    def _execute(self, number: int, request: int) -> None:
        endpoint = self.endpoints[number]
        if endpoint.role != 'primary':
            return
        recorded = any(logged == request for _, logged in endpoint.log)
        if not recorded or not self.contract.records_outcomes:
            endpoint.log += ((endpoint.term, request),)
        self.unknown.add(request)

    def _chosen(self, claimed: Claim) -> int | None:
        """Return whom a claim promotes, as decided when it first could be."""
        if claimed.primary is not None and self.contract.decides_once:
            return claimed.primary
        choice = self.contract.choose(
            list(claimed.votes.values()),
            term=claimed.term,
            members=MEMBERS,
        )
        claimed.primary = int(choice.primary) if choice.primary else None
        return claimed.primary

    def _acked(self, request: int, term: int, index: int) -> None:
        position = LogPosition(term=term, position=index)
        self.unknown.discard(request)
        self.acked[request] = position
        if at_least(position, self.seen):
            self.seen = position

    def _is_current(self, number: int) -> bool:
        """Tell whether a majority has taken no later term."""
        endpoint = self.endpoints[number]
        if endpoint.role != 'primary':
            return False
        agreeing = sum(each.term <= endpoint.term for each in self.endpoints)
        return agreeing > MEMBERS // 2


def _extended(log: Log, length: int, entries: Log) -> Log:
    """Return a log with entries stored; what agrees is not cut off."""
    for offset, entry in enumerate(entries):
        index = length + offset
        if index >= len(log) or log[index][0] != entry[0]:
            return log[:index] + entries[offset:]
    return log
