"""A replica leaves without a word while the leader is frozen and the store drops old records."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platform_standins import Replica, Site, call_headers, main, send  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
DRAIN_S, CONTACT_S = 2.0, 3.0
# Time from the leaving to the last disruption, the restart of the killed processes.
RESTART_S = 1.0
# Only arrivals later than this count: `drain_ms` after the leaving was acknowledged, and at a moment when all machines
# have been in touch, and the store undisturbed, for `contact_ms` and `drain_ms` more.
JUDGED_FROM_S = RESTART_S + CONTACT_S + DRAIN_S
# How long the leaving replica still serves after its entry is gone: `drain_ms` and a little longer, "at times many seconds".
LINGER_S = 12.0
CLIENTS = 4
# Zone of the entry that is observed and of the replica that comes and goes.
OBSERVED_ZONE = "kicukiro"
# The disruption is played until the rule breaks, at most this often.
ROUNDS = 4


class Ledger(Replica):
    """Notes when each request reached it, by the entry that sent it."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals, self.writers, self.running = [], set(), ""

    async def answer(self, request, writer):
        if not self.is_for_another(request):
            self.running = request.header("request-id")
            self.arrivals.append((time.monotonic(), self.running))
        await super().answer(request, writer)
        self.running = ""

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().handle(reader, writer)
        finally:
            self.writers.discard(writer)

    def leave_without_a_word(self):
        """Removes its entry and keeps serving."""
        self.beat.cancel()
        self.store.put("keyed.servers", self.id, b"")

    def end(self):
        """Ends: its connections and its listener close."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def load(client, entry, record, statuses, stop):
    """A client that sends safe and unsafe requests to one entry in turn."""
    number = 0
    while not stop.is_set():
        number += 1
        method, path = ("POST", "/receipt/1") if number % 2 else ("GET", "/check/1")
        request_id = f"{path.split('/')[1]}-{entry.name}-{client}-{number}"
        try:
            answer = await send(entry.port, method, path, call_headers(request_id, 4000), b"levy 500" if number % 2 else b"")
            statuses[request_id] = answer.status
        except OSError:
            statuses[request_id] = 0
        record.line(f"client: {request_id} gets {statuses[request_id]}")
        await asyncio.sleep(0.05)


async def play_round(site, record, number, order, has_trouble):
    """Plays the disruption once. `order` holds the entries, the one that leads first, then those that follow it in the
    order of succession. Returns what broke the rule."""
    leader, second, third, observer = order[:4]
    statuses, stop = {}, asyncio.Event()
    clients = [asyncio.create_task(load(client, observer, record, statuses, stop)) for client in range(CLIENTS)]
    if has_trouble:
        record.line(f"{leader.name}, which leads, is frozen")
        leader.signal(signal.SIGSTOP)
    await asyncio.sleep(1.5)
    newcomer = await site.add_replica(Ledger(site.store, record, f"i-newcomer{number}", OBSERVED_ZONE))
    record.line(f"{newcomer.id} starts and writes its entry")
    await asyncio.sleep(3)
    # It leaves at some moment: here just after a read of the entries, so that none of them knows at once.
    reads = site.store.reads["keyed.servers"]
    while site.store.reads["keyed.servers"] == reads:
        await asyncio.sleep(0.002)
    await asyncio.sleep(0.01)
    newcomer.leave_without_a_word()
    left_at = time.monotonic()
    record.line(f"{newcomer.id} leaves: the store acknowledges that its entry is removed; it serves on for a while")
    if has_trouble:
        site.store.trim("keyed.servers")
        record.line("the store drops the older records of keyed.servers; the newest of each key stay")
        leader.signal(signal.SIGCONT)
        record.line(f"{leader.name} wakes")
        await asyncio.sleep(0.03)
        for entry in (second, third):
            entry.signal(signal.SIGKILL)
            record.line(f"{entry.name} is killed")
        await asyncio.sleep(RESTART_S)
        for entry in (second, third):
            entry.stop()
            entry.start()
            record.line(f"{entry.name} starts again")
    await asyncio.sleep(left_at + LINGER_S - time.monotonic())
    # It ends at some moment of the next second: here while it works on an unsafe request, if one reaches it.
    for _ in range(200):
        if newcomer.running.startswith("receipt"):
            break
        await asyncio.sleep(0.005)
    newcomer.end()
    record.line(f"{newcomer.id} ends")
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    before = [request_id for at, request_id in newcomer.arrivals if at <= left_at]
    late = [(at - left_at, request_id) for at, request_id in newcomer.arrivals if at - left_at > JUDGED_FROM_S]
    lost = [request_id for _, request_id in late if request_id.startswith("receipt") and statuses[request_id] != 200]
    record.line(f"{newcomer.id} got {len(before)} requests before it left, {len(late)} later than {JUDGED_FROM_S} s after")
    if not before:
        raise RuntimeError("the newcomer was never used")
    if not late:
        return []
    first, last = late[0], late[-1]
    return [
        f"DRAIN: {len(late)} requests from {observer.name} reached {newcomer.id} {first[0]:.1f} to {last[0]:.1f} s after its"
        f" leaving was acknowledged, from {first[1]} to {last[1]}; unsafe ones lost at its end: {', '.join(lost) or 'none'}"
    ]


async def case(record, has_trouble):
    async with Site(record) as site:
        for index, zone in enumerate(["nyabugogo", "kimironko"]):
            await site.add_replica(Ledger(site.store, record, f"i-ledger{index}", zone))
        await site.start_entries(5, ["nyabugogo"] + 4 * [OBSERVED_ZONE])
        order = list(site.entries)
        await asyncio.sleep(3)
        for number in range(ROUNDS):
            broken = await play_round(site, record, number, order, has_trouble)
            if broken:
                return broken
            if has_trouble:
                # A process that starts again comes last in the succession.
                order = order[:1] + order[3:] + order[1:3]
            await asyncio.sleep(2)
        return []


main(case, os.path.join(FOLDER, "record.txt"))
