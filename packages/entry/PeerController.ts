import type { ByteCounter } from '../common/ByteCounter';
import type { ProcessId } from '../common/ProcessId';
import type { RowName } from '../common/RowName';
import { waitForDelay } from '../common/waitForDelay';
import { toId } from '../common/toId';
import type { BoxId } from '../common/BoxId';
import type { HallId } from '../common/HallId';
import type { Call } from '../gateway/Call';
import type { CallResponse } from '../gateway/CallResponse';
import type { Ownership } from '../ownership/Ownership';
import { toBox } from '../ownership/toBox';
import { PEERS } from '../peers/constants';
import { ForwardClient } from '../peers/ForwardClient';
import type { ForwardResult } from '../peers/ForwardResult';
import type { PeerAddress } from '../peers/PeerAddress';
import { PeerClient } from '../peers/PeerClient';
import type { PeerError } from '../peers/PeerError';
import type { PeerMessage } from '../peers/PeerMessage';
import type { RowStatus } from '../scheduler/RowStatus';
import type { EntryContext } from './EntryContext';
import type { Metrics } from './Metrics';
import type { TableController } from './TableController';

interface PeerControllerOptions {
  readonly context: EntryContext;
  readonly ownership: Ownership;
  readonly table: TableController;
  readonly metrics: Metrics;
  /** Counts the bytes of control. */
  readonly counter: ByteCounter;
  readonly readStatus: () => readonly RowStatus[];
  readonly isTaking: () => boolean;
  /** Told after what a peer said may have changed the rights of this process. */
  readonly handleRights: () => void;
}

interface Peer {
  readonly address: PeerAddress;
  readonly client: PeerClient;
  readonly forward: ForwardClient;
  /** What it said last, with our own deductions for calls sent on since. */
  room: Map<RowName, number>;
  isTaking: boolean;
  process: ProcessId | undefined;
  tableOffset: number;
  heardAt: number;
  isAsking: boolean;
}

/** Time given to a question for a remembered answer, in milliseconds. */
const LOOKUP_MS = 1000;
/** Room that was told longer ago counts for nothing, in heartbeats. */
const ROOM_AGE_HEARTBEATS = 10;

/** Owns the links to the other entry boxes: heartbeats, table catch-up, calls sent on. */
export class PeerController {
  private readonly peers: readonly Peer[];
  private readonly stopping = new AbortController();
  private readonly logger;
  private turn = 0;
  private isCatchingUp = false;

  constructor(private readonly options: PeerControllerOptions) {
    const { settings, box } = options.context;
    this.logger = options.context.createPartLogger('peers');
    this.peers = settings.entries
      .filter((entry) => entry.box !== box)
      .map((entry) =>
        this.createPeer({ ...entry, box: toId<BoxId>(entry.box), hall: toId<HallId>(entry.hall) }),
      );
  }

  /** Sends heartbeats until stopped. */
  async start(): Promise<void> {
    const { heartbeatMs } = this.options.context.settings.timings;
    while (!this.stopping.signal.aborted) {
      this.sendRound();
      await waitForDelay(heartbeatMs, this.stopping.signal);
    }
  }

  stop(): void {
    this.stopping.abort();
    for (const peer of this.peers) {
      peer.client.stop();
      void peer.forward.stop();
    }
  }

  /** Sends a heartbeat to each box of the hall, and to one box of another hall in turn: so the cost does not grow with the cell. */
  sendRound(): void {
    const { hall } = this.options.context;
    const remote = this.peers.filter((peer) => peer.address.hall !== hall);
    const inTurn = remote[this.turn % Math.max(1, remote.length)];
    this.turn += 1;
    for (const peer of this.peers) {
      if (peer.address.hall === hall || peer === inTurn) {
        void this.sendHeartbeat(peer);
      }
    }
  }

  /** Creates what this process tells its peers. */
  createMessage(): PeerMessage {
    const { context, table, isTaking } = this.options;
    const room: Record<string, number> = {};
    for (const status of this.options.readStatus()) {
      if (status.room > 0) {
        room[status.row] = status.room;
      }
    }
    return {
      protocol: PEERS.protocol,
      box: context.box,
      hall: context.hall,
      process: context.process,
      stamp: context.hybridClock.createTimestamp(),
      tableOffset: table.readTable().isShared ? table.readTable().offset : -1,
      room,
      isTaking: isTaking(),
    };
  }

  /** Handles a peer's heartbeat and creates the answer. */
  handleHeartbeat(message: PeerMessage): PeerMessage {
    const { ownership, context } = this.options;
    this.applyMessage(message);
    const answer = this.createMessage();
    if (message.ownership === undefined || message.hall !== context.hall) {
      return answer;
    }
    const now = context.clock.getNow();
    const reply = ownership.handleQuestion(message.ownership, now);
    this.options.handleRights();
    return { ...answer, ownership: reply };
  }

  /** True when another box says that it could start a task of the row at once. */
  hasRoom(row: RowName): boolean {
    return this.chooseRoomiest(row) !== undefined;
  }

  /** Sends a call on to the box with the most room; undefined when none has any. */
  async sendOn(call: Call, remainingMs: number): Promise<ForwardResult | undefined> {
    const peer = this.chooseRoomiest(call.row) ?? (this.options.isTaking() ? undefined : this.chooseTaking());
    if (peer === undefined) {
      return undefined;
    }
    peer.room.set(call.row, (peer.room.get(call.row) ?? 0) - 1);
    this.options.metrics.recordCount('forwarded');
    this.options.context.timeline.recordEvent({
      part: 'peers',
      kind: 'sent on',
      request: call.id,
      detail: { to: peer.address.box },
    });
    const toldAt = peer.heardAt;
    const result = await peer.forward.sendCall(call, remainingMs, false);
    const hasRun = result.kind === 'answered' && result.answer.outcome === 'ran';
    if (hasRun && peer.heardAt === toldAt) {
      // The room that the call took is free again, and no heartbeat has counted it yet.
      peer.room.set(call.row, (peer.room.get(call.row) ?? 0) + 1);
    }
    return result;
  }

  /** Asks the process that claimed a key for its answer; undefined when it cannot be asked. */
  async readAnswer(call: Call, process: string): Promise<CallResponse | undefined> {
    const box = toBox(toId<ProcessId>(process));
    const peer = this.peers.find((other) => other.address.box === box && other.process === process);
    const result = await peer?.forward.sendCall(call, LOOKUP_MS, true);
    return result?.kind === 'answered' ? result.answer : undefined;
  }

  /** Asks all boxes for their table offset until they reach `offset` or `waitMs` is over. */
  async readInForce(offset: number, waitMs: number): Promise<{ inForce: string[]; notSeen: string[] }> {
    const { clock, settings, box } = this.options.context;
    const until = clock.getNow() + waitMs;
    let missing = this.peers.filter((peer) => peer.tableOffset < offset);
    while (missing.length > 0 && clock.getNow() < until) {
      await Promise.all(missing.map((peer) => this.sendHeartbeat(peer)));
      missing = missing.filter((peer) => peer.tableOffset < offset);
      await waitForDelay(missing.length > 0 ? settings.timings.heartbeatMs / 10 : 0);
    }
    const notSeen = missing.map((peer) => peer.address.box as string);
    const inForce = [box, ...this.peers.map((peer) => peer.address.box)].filter(
      (name) => !notSeen.includes(name),
    );
    return { inForce, notSeen };
  }

  private createPeer(address: PeerAddress): Peer {
    const { limits, timings } = this.options.context.settings;
    return {
      address,
      client: new PeerClient(address, timings.leaseMs * PEERS.timeoutPart, this.options.counter),
      forward: new ForwardClient({
        address: address.peers,
        answerLimit: limits.answerBytes,
        maxConnections: limits.forwardConnections,
      }),
      room: new Map(),
      isTaking: false,
      process: undefined,
      tableOffset: -1,
      heardAt: -Infinity,
      isAsking: false,
    };
  }

  private async sendHeartbeat(peer: Peer): Promise<void> {
    if (peer.isAsking) {
      return;
    }
    peer.isAsking = true;
    const { context, ownership } = this.options;
    const askedAt = context.clock.getNow();
    const known = ownership.readKnown(peer.address.box);
    const isSameHall = peer.address.hall === context.hall;
    const message = this.createMessage();
    const sent = isSameHall
      ? { ...message, ownership: ownership.createMessage(askedAt, peer.process) }
      : message;
    const answer = await peer.client.sendHeartbeat(sent);
    peer.isAsking = false;
    if (!answer.ok) {
      this.handleError(peer, answer.error, known);
      return;
    }
    this.applyMessage(answer.value, known);
    if (isSameHall && answer.value.ownership !== undefined) {
      ownership.handleAnswer(answer.value.ownership, askedAt, context.clock.getNow());
      this.options.handleRights();
    }
  }

  private handleError(peer: Peer, error: PeerError, known: readonly ProcessId[]): void {
    peer.isTaking = false;
    peer.room.clear();
    if (error.kind === 'refusing') {
      this.recordEnds(peer.address.box, undefined, known);
    }
  }

  private applyMessage(message: PeerMessage, known?: readonly ProcessId[]): void {
    this.options.context.hybridClock.applyTimestamp(message.stamp);
    const peer = this.peers.find((other) => other.address.box === message.box);
    if (peer === undefined) {
      return;
    }
    if (peer.process !== message.process) {
      this.recordPeerStart(peer, message.process);
    }
    this.recordEnds(peer.address.box, message.process, known);
    peer.room = new Map(Object.entries(message.room).map(([row, room]) => [toId<RowName>(row), room]));
    peer.isTaking = message.isTaking;
    peer.tableOffset = message.tableOffset;
    peer.heardAt = this.options.context.clock.getNow();
    if (message.tableOffset > this.options.table.readTable().offset) {
      void this.readMissingTable(peer);
    }
  }

  private recordPeerStart(peer: Peer, process: ProcessId): void {
    peer.process = process;
    this.logger.info('Peer heard.', { process });
    this.options.context.timeline.recordEvent({ part: 'peers', kind: 'peer heard', detail: { process } });
  }

  /** Proof of end: at the box's address another process answers, or nobody does. */
  private recordEnds(box: BoxId, alive: ProcessId | undefined, known?: readonly ProcessId[]): void {
    const { context, ownership } = this.options;
    for (const process of ownership.recordAlive(box, alive, context.clock.getNow(), known)) {
      context.timeline.recordEvent({ part: 'peers', kind: 'end proved', detail: { process } });
      this.logger.warn('Process has ended.', { process });
      this.options.handleRights();
    }
  }

  private async readMissingTable(peer: Peer): Promise<void> {
    if (this.isCatchingUp) {
      return;
    }
    this.isCatchingUp = true;
    const { table } = this.options;
    const after = table.readTable().isShared ? table.readTable().offset : -1;
    const answer = await peer.client.readTable(after);
    this.isCatchingUp = false;
    if (answer.ok) {
      table.applyPeerAnswer(answer.value);
    }
  }

  private chooseRoomiest(row: RowName): Peer | undefined {
    const { clock, settings, hall } = this.options.context;
    const oldest = clock.getNow() - settings.timings.heartbeatMs * ROOM_AGE_HEARTBEATS;
    let best: Peer | undefined;
    let bestRoom = 0;
    for (const peer of this.peers) {
      const room = peer.room.get(row) ?? 0;
      const isUsable = peer.isTaking && peer.heardAt > oldest && room > 0 && peer.forward.hasRoom();
      // A box of the same hall is nearer: between equals it goes first.
      const isBetter = room > bestRoom || (room === bestRoom && peer.address.hall === hall);
      if (isUsable && isBetter) {
        best = peer;
        bestRoom = room;
      }
    }
    return best;
  }

  /** Any box that takes calls, for those that wait here when this box stops. */
  private chooseTaking(): Peer | undefined {
    const taking = this.peers.filter((peer) => peer.isTaking && peer.forward.hasRoom());
    return taking[Math.floor(this.options.context.random() * taking.length)];
  }
}
