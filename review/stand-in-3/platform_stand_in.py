"""Stand-ins of the users' platform for the scripts beside this folder: store, backends, clients, routers.

All of them run in one process on loopback addresses. The programs under test are started with the commands of
deploy/system.toml as processes of their own, one a machine.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
import zlib

HEADER = struct.Struct(">HB3sI4sH4sHIII")  # len flags pad echo src dport dst sport seq ack sum
SYN, ACK, FIN, RST, BOUNCED = 32, 64, 16, 2, 1
MASK = 0xFFFFFFFF
REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now():
    return time.monotonic()


def is_after(left, right):
    """True if the sequence number left is after right."""
    return 0 < (left - right) & MASK < 0x80000000


def key_sum(fields, data):
    """Stands for the keyed sum: over everything but echo, pad and BOUNCED."""
    return zlib.crc32(repr(fields).encode() + data + b"key") & MASK


class Packet:
    """One packet; src and dst are (address, port)."""

    def __init__(self, src, dst, flags, seq, ack, data=b"", echo=0):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq & MASK, ack & MASK
        self.data, self.echo, self.sum = data, echo, None

    def fields(self):
        return (self.src, self.dst, self.flags & ~BOUNCED, self.seq, self.ack)

    def encode(self):
        total = self.sum if self.sum is not None else key_sum(self.fields(), self.data)
        return HEADER.pack(len(self.data), self.flags, b"\0\0\0", self.echo, socket.inet_aton(self.src[0]), self.dst[1],
                           socket.inet_aton(self.dst[0]), self.src[1], self.seq, self.ack, total) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEADER.size:
            return None
        length, flags, _, echo, src, dport, dst, sport, seq, ack, total = HEADER.unpack_from(raw)
        data = raw[HEADER.size:]
        if length != len(data):
            return None
        packet = Packet((socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport), flags, seq, ack, data, echo)
        packet.sum = total
        return packet

    def is_sound(self):
        return self.sum == key_sum(self.fields(), self.data)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, address):
        self.receive(data, address)

    def error_received(self, error):
        pass


async def udp(address, receive):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(receive), local_addr=address)
    return transport


class Store:
    """The platform's metadata store: reads over HTTP/1.1; one revision counter; linearizable."""

    HISTORY_S = 20

    def __init__(self, record):
        self.record, self.revision, self.items, self.events = record, 100, {}, []
        self.changed = asyncio.Event()
        self.silent = set()  # listening addresses whose machine is cut off from the store
        self.servers = []

    async def listen(self, address, port):
        async def serve(reader, writer):
            await self.serve(address, reader, writer)
        self.servers.append(await asyncio.start_server(serve, address, port))

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision, "created": created, "lease": 1 if key.startswith("servers/") else 0}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "removed": True})

    def note(self, event):
        self.events.append((now(), event))
        while now() - self.events[0][0] > self.HISTORY_S:
            self.events.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, address, reader, writer):
        try:
            while True:
                request = (await reader.readline()).decode()
                if not request:
                    break
                while (await reader.readline()).strip():
                    pass
                if address in self.silent:  # a partition: nothing passes until it heals
                    await self.wait_healed(address)
                    break
                status, body = await self.answer(request.split()[1])
                if address in self.silent:
                    await self.wait_healed(address)
                    break
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, IndexError):
            pass
        finally:
            writer.close()

    async def wait_healed(self, address):
        while address in self.silent:
            await asyncio.sleep(0.05)

    async def answer(self, path):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if url.path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys], "morePages": False, "storeRevision": self.revision}
        if url.path == "/-/kv-key":
            item = self.items.get(query.get("key"))
            return (200, dict(item, storeRevision=self.revision)) if item else (404, {})
        if url.path != "/-/kv-watch":
            return 404, {}
        after, deadline = int(query["after"]), now() + int(query["waitMs"]) / 1000
        while True:
            if self.events and after < self.events[0][1]["revision"] - 1:
                return 410, {}
            events = [e for _, e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            if events or now() >= deadline:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(deadline - now(), 0.001))
            except asyncio.TimeoutError:
                pass


class Flow:
    def __init__(self, packet):
        self.initial, self.next_in, self.own = packet.seq, (packet.seq + 1) & MASK, random.getrandbits(32)
        self.next_out, self.is_open, self.sent_fin, self.got_fin = (self.own + 1) & MASK, False, False, False


class Backend:
    """One incarnation of a backend of a service, beside an agent."""

    def __init__(self, world, machine, ident, warm):
        self.world, self.machine, self.id, self.flows, self.running = world, machine, ident, {}, 0
        self.born = self.last_beat = now()
        self.born_ms = int(time.time() * 1000)
        self.cold_until = self.born if warm else self.born + world.warmup_s
        self.state, self.sequence, self.connections, self.is_alive = "ready", 0, set(), False
        self.is_silent, self.blocked = False, []

    async def start(self):
        self.udp = await udp((self.machine.ip, self.world.ports["app"]), self.receive)
        self.tcp = await asyncio.start_server(self.health, self.machine.ip, self.world.ports["app"])
        self.is_alive = True
        self.task = asyncio.create_task(self.beat())

    async def beat(self):
        while self.is_alive:
            self.publish()
            await asyncio.sleep(self.world.heartbeat_ms / 1000)

    def publish(self):
        self.sequence += 1
        left = max(0, int((self.cold_until - now()) * 1000))
        self.last_beat = now()
        self.world.store.put("servers/" + self.id, {
            "service": self.machine.service, "address": f"{self.machine.ip}:{self.world.ports['app']}",
            "zone": self.machine.zone, "version": "v1", "capacity": self.world.capacity, "state": self.state,
            "warmupLeftMs": left, "sequence": self.sequence, "born": self.born_ms})

    def crash(self):
        """Ends at once: its sockets close, its flows are gone, its entry stays until it lapses."""
        self.is_alive = False
        self.task.cancel()
        self.udp.close()
        self.tcp.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def fall_silent(self):
        """Ends for good without a word: packets vanish, open connections stay open, new ones hang."""
        self.is_silent, self.is_alive = True, False
        self.task.cancel()
        self.udp.close()
        self.tcp.close()
        address = (self.machine.ip, self.world.ports["app"])
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(0)
        self.blocked = [listener]
        for _ in range(3):  # a full queue of new connections: opening packets are dropped
            client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            client.setblocking(False)
            client.connect_ex(address)
            self.blocked.append(client)

    def release_address(self):
        """The address may be used again; connections of the past stay silent."""
        for blocked in self.blocked:
            blocked.close()

    async def health(self, reader, writer):
        self.connections.add(writer)
        try:
            while await reader.readline():
                while (await reader.readline()).strip():
                    pass
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def send(self, packet):
        if self.is_alive:
            self.udp.sendto(packet.encode(), (self.machine.ip, self.world.ports["outbound"]))

    def receive(self, raw, _):
        packet = Packet.decode(raw)
        if packet is None or not self.is_alive:
            return
        if not packet.is_sound():
            self.world.note("unasked", backend=self.id)
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if flow is None and packet.flags & SYN and len(self.flows) < 2000:
            flow = self.flows[key] = Flow(packet)
            flow.taken_at, flow.sent_at = now(), self.world.sent_at.get((packet.src, packet.ack), now())
        if flow is None or (packet.flags & SYN and packet.seq != flow.initial):
            packet.flags |= BOUNCED
            self.send(packet)
            return
        if packet.flags & SYN:
            self.send(Packet(packet.dst, packet.src, SYN | ACK, flow.own, flow.next_in))
            return
        if not flow.is_open and packet.ack != (flow.own + 1) & MASK:
            packet.flags |= BOUNCED  # another backend owns the flow
            self.send(packet)
            return
        if not flow.is_open:
            flow.is_open = True
            self.world.note("opened", backend=self.id, flow=packet.src, route=packet.dst, sent=round(flow.sent_at, 4),
                            arrived=round(flow.taken_at, 4), cold=flow.taken_at < self.cold_until)
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq == flow.next_in:
            flow.next_in = (flow.next_in + len(packet.data)) & MASK
            asyncio.create_task(self.run(key, flow, packet))
        elif packet.data:
            self.send(Packet(packet.dst, packet.src, ACK, flow.next_out, flow.next_in))
        if packet.flags & FIN and packet.seq + len(packet.data) & MASK == flow.next_in:
            flow.next_in = (flow.next_in + 1) & MASK
            flow.got_fin = True
            self.send(Packet(packet.dst, packet.src, ACK | FIN, flow.next_out, flow.next_in))
        elif packet.flags & FIN:
            self.send(Packet(packet.dst, packet.src, ACK, flow.next_out, flow.next_in))

    async def run(self, key, flow, packet):
        self.world.note("run", backend=self.id, service=self.machine.service, request=packet.data.decode())
        await asyncio.sleep(self.world.work_s)
        answer = Packet(packet.dst, packet.src, ACK, flow.next_out, flow.next_in, b"answer " + packet.data)
        flow.next_out = (flow.next_out + len(answer.data)) & MASK
        self.send(answer)


class Machine:
    """A machine of the deployment with one process of the system."""

    def __init__(self, world, name, role, ip, zone, store_ip, service=None):
        self.world, self.name, self.role, self.ip, self.zone, self.service = world, name, role, ip, zone, service
        self.store_ip, self.process, self.is_first = store_ip, None, True

    def settings(self):
        world, is_front = self.world, self.role == "balancer"
        at = lambda name: f"{self.ip}:{world.ports[name]}"
        listens = {"datagramAddr": at("datagram"), "readiness": at("readiness")}
        listens.update({"control": at("control")} if is_front else {"outbound": at("outbound")})
        value = {
            "nodeName": self.name, "role": self.role, "machineClass": "frontend" if is_front else "side",
            "serves": ["frontend", "control"] if is_front else ["side"], "ip": self.ip, "zone": self.zone,
            "region": "attica", "zones": {zone: "attica" for zone in world.zones}, "bindAddrs": listens,
            "internalPorts": [world.ports["internal"], world.ports["internal"] + 15],
            "seeds": [f"{m.ip}:{world.ports['control']}" for m in world.balancers[:3]],
            "bootstrap": self.is_first, "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "announce", "heartbeatMs": world.heartbeat_ms,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "places", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
                       "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "backMs": 250,
                       "outerMs": 12000, "warmupFactor": 1.5, "warmupSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
                       "flowMs": 2000, "maxFlowS": 60},
            "hash": "mod", "deploymentMode": "agent",
            "platform": {"address": f"{self.store_ip}:{world.ports['store']}", "deploymentMode": "read",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
        if not is_front:
            value.update({"service": self.service, "app": at("app")})
        return value

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        self.write_settings()
        self.started_at = now()
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.world.commands[self.role], cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "CORNELCROSS_BOOT": path})
        log.close()
        self.is_first = False

    def write_settings(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path + ".new", "w") as file:
            json.dump(self.settings(), file)
        os.replace(path + ".new", path)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Client:
    """An address with clients; each request opens a flow of its own."""

    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone, self.flows = world, ip, zone, {}
        self.ports = itertools.cycle(range(1024, 60000))

    async def start(self):
        self.udp = await udp((self.ip, self.world.ports["datagram"]), self.receive)

    def send(self, packet, through=None):
        machine = through or self.world.route(self.zone, packet)
        if machine:
            self.udp.sendto(packet.encode(), (machine.ip, self.world.ports["datagram"]))

    def receive(self, raw, _):
        packet = Packet.decode(raw)
        if packet and packet.dst[1] in self.flows:
            self.flows[packet.dst[1]].put_nowait(packet)

    async def request(self, route, name, deadline_s=3.0, through=None):
        """Opens a flow, sends one request, returns how it ended: 'answered', 'reset', 'closed' or 'silent'."""
        port = next(self.ports)
        queue = self.flows[port] = asyncio.Queue()
        try:
            return await self.exchange((self.ip, port), route, name, queue, now() + deadline_s, through)
        finally:
            del self.flows[port]

    async def next_packet(self, queue, until):
        try:
            return await asyncio.wait_for(queue.get(), max(until - now(), 0.0))
        except asyncio.TimeoutError:
            return None

    async def exchange(self, own, route, name, queue, deadline, through):
        initial, started, opened = random.getrandbits(32), now(), None
        for copy, (begin, end) in enumerate(((0, 0.2), (0.2, 0.6), (0.6, 1.4))):
            self.world.sent_at[(own, copy)] = now()
            self.world.note("sent", request=name, flow=own, route=route, copy=copy,
                            through=through.name if through else "router")
            self.send(Packet(own, route, SYN, initial, copy), through)
            until = started + end
            while opened is None:
                packet = await self.next_packet(queue, until)
                if packet is None:
                    break
                if packet.flags & RST:
                    return "refused"
                if packet.flags & SYN and packet.flags & ACK:
                    opened = packet
            if opened:
                break
        if not opened:
            return "silent"
        seq, ack, data = (initial + 1) & MASK, (opened.seq + 1) & MASK, name.encode()
        self.send(Packet(own, route, ACK, seq, ack), through)
        wait, ended = 0.2, None
        while ended is None and now() < deadline:
            self.send(Packet(own, route, ACK, seq, ack, data), through)
            until = min(now() + wait, deadline)
            wait = min(wait * 2, 1.6)
            while ended is None:
                packet = await self.next_packet(queue, until)
                if packet is None:
                    break
                if packet.flags & RST and not packet.flags & SYN:
                    ended = "reset"
                elif packet.data and packet.seq == ack:
                    ended = "answered" if packet.data == b"answer " + data else "foreign"
                    ack = (ack + len(packet.data)) & MASK
        if ended == "answered":
            seq = (seq + len(data)) & MASK
            self.send(Packet(own, route, ACK | FIN, seq, ack), through)
            packet = await self.next_packet(queue, now() + 0.5)
            if packet and packet.flags & FIN:
                self.send(Packet(own, route, ACK, (seq + 1) & MASK, (packet.seq + 1) & MASK), through)
        return ended or "silent"


class World:
    """A small deployment: machines in three zones, a store, backends and clients."""

    def __init__(self, folder, record, balancers, agents, capacity=4, work_s=0.02, warmup_s=2.0, warmup_per_s=0.0):
        """balancers: zones by index; agents: (zone, service) by index."""
        self.folder = tempfile.mkdtemp(prefix="cornelcross-review-", dir=folder)
        self.zones = ["att-a", "att-b", "att-c"]
        self.heartbeat_ms, self.capacity, self.work_s = 770, capacity, work_s
        self.warmup_s, self.warmup_per_s = warmup_s, warmup_per_s
        self.record, self.started, self.sent_at, self.notes = open(record, "w"), now(), {}, []
        base = 127 << 24 | random.randrange(1, 250) << 16
        ip = lambda net, host: socket.inet_ntoa(struct.pack(">I", base | net << 8 | host))
        self.commands = {}
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            for role, value in tomllib.load(file)["roles"].items():
                words = value["run"].split()
                self.commands[role] = [os.path.join(REPOSITORY, words[0])] + words[1:]
        self.balancers = [Machine(self, f"frontend-{z}-{i + 1}", "balancer", ip(1, 10 + i), z, ip(9, 10 + i))
                          for i, z in enumerate(balancers)]
        self.agents = [Machine(self, f"side-{z}-{i + 1}", "agent", ip(2, 10 + i), z, ip(9, 100 + i), s)
                       for i, (z, s) in enumerate(agents)]
        self.machines = self.balancers + self.agents
        self.clients = [Client(self, ip(5, 10 + i), z) for i, z in enumerate(self.zones)]
        self.routable = ip(8, 1)
        self.ports = self.free_ports()
        self.store, self.backends, self.rotation, self.tasks = Store(self), {}, {}, []
        self.incarnations = []

    def free_ports(self):
        names = ("datagram", "readiness", "control", "outbound", "app", "store")
        for _ in range(100):
            first = random.randrange(20000, 30000)
            ports = {name: first + i for i, name in enumerate(names)}
            ports["internal"] = first + 10
            try:
                for machine in self.machines:
                    for port in itertools.chain(ports.values(), [first + 11]):
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((machine.ip, port))
                return ports
            except OSError:
                continue
        raise OSError("no free ports")

    def note(self, event, **fields):
        entry = dict({"t": round(now() - self.started, 4), "event": event}, **fields)
        self.notes.append(dict(entry, at=now()))
        self.record.write(json.dumps(entry, default=str) + "\n")

    def write_config(self, version, routes, services):
        """routes: (address, port, shares by service); the answer of the store acknowledges it."""
        value = {"version": version, "routes": [], "services": [], "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        for i, (address, port, shares) in enumerate(routes):
            route = {"name": f"r-{i}", "hostname": address, "prefix": f"/{port}/", "type": "safe", "timeoutMs": 1200,
                     "targetLatencyMs": 250, "priority": 2, "maxAttempts": 2}
            if len(shares) == 1:
                route["service"] = next(iter(shares))
            else:
                route["trafficSplit"] = [{"service": s, "weight": w} for s, w in shares.items()]
            value["routes"].append(route)
        for name in services:
            value["services"].append({"name": name, "healthCheckPath": "/health", "maxConnections": 2000,
                                      "protocol": "h1", "tls": False, "warmupS": self.warmup_s,
                                      "warmupPerS": self.warmup_per_s})
        self.store.put("op/config", value)
        self.note("config", version=version, routes=[[a, p, s] for a, p, s in routes])

    def route(self, zone, packet):
        """The routers: a hash over the balancers of the zone that are in rotation, else over all in rotation."""
        ready = [m for m in self.balancers if self.rotation.get(m.name, 0) < 2]
        own = [m for m in ready if m.zone == zone] or ready
        return own[zlib.crc32(repr((packet.src, packet.dst)).encode()) % len(own)] if own else None

    async def probe(self, machine):
        while True:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(machine.ip, self.ports["readiness"]), 0.4)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
                is_ready = b" 200 " in status
            except (OSError, asyncio.TimeoutError):
                is_ready = False
            self.rotation[machine.name] = 0 if is_ready else self.rotation.get(machine.name, 0) + 1
            await asyncio.sleep(0.5)

    async def expire(self):
        while True:
            last = {}  # of each entry, whichever start of the backend wrote it
            for backend in self.incarnations:
                last[backend.id] = max(last.get(backend.id, 0.0), backend.last_beat)
            for ident, beat in last.items():
                if now() - beat > 3 * self.heartbeat_ms / 1000:
                    self.store.remove("servers/" + ident)
            await asyncio.sleep(0.1)

    async def start_backend(self, machine, ident, warm=True):
        backend = Backend(self, machine, ident, warm)
        await backend.start()
        self.incarnations.append(backend)
        self.backends[machine.name] = backend
        self.note("backend started", backend=ident, cold=not warm)
        return backend

    async def start(self, routes, services):
        self.services = services
        for machine in self.machines:
            await self.store.listen(machine.store_ip, self.ports["store"])
        for client in self.clients:
            await client.start()
        for machine in self.machines:
            machine.start()
        for i, machine in enumerate(self.agents):
            await self.start_backend(machine, f"i-{i:04x}")
        self.write_config(1, routes, services)
        self.tasks = [asyncio.create_task(self.probe(m)) for m in self.balancers] + [asyncio.create_task(self.expire())]
        await asyncio.sleep(6)
        if any(m.process.poll() is not None for m in self.machines):
            raise OSError("a process ended while the deployment started")
        answers = await asyncio.gather(*(c.request((self.routable, routes[0][1]), f"first-{i}")
                                         for i, c in enumerate(self.clients)))
        if set(answers) != {"answered"}:
            raise OSError(f"the deployment does not serve: {answers}")

    def end(self):
        for machine in self.machines:
            machine.end()
        self.record.close()


def play(scenario, *arguments, **settings):
    """Runs scenario(world) and returns its exit code; 2 if the deployment could not run."""
    async def run():
        world = World(*arguments, **settings)
        try:
            return await asyncio.wait_for(scenario(world), 110)
        finally:
            world.end()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
    try:
        return asyncio.run(run())
    except Exception as error:  # a fault of the script or of the machine is no broken rule
        print(f"could not run: {error!r}")
        return 2
