import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { waitForDelay } from '../../common/waitForDelay';
import { sendJson } from '../sendJson';
import { startListening } from '../startListening';
import { KeyedTopic } from './KeyedTopic';
import type { LogFault } from './LogFault';
import { NarrowLink } from './NarrowLink';
import { SilentSockets } from './SilentSockets';

interface LogCall {
  readonly url: URL;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly isAnswerLost: boolean;
  /** The link of the box that calls. */
  readonly link: NarrowLink;
}

type Handler = (call: LogCall) => Promise<void>;

const PAGE_ITEMS = 500;
const LENGTH_BYTES = 4;
const MAX_APPEND_WAIT_MS = 2000;

/** Stands in for the platform's log over HTTP: keyed topics of one partition, in the form of the platform's pages. */
export class LogStandin {
  private readonly topics = new Map<string, KeyedTopic>();
  private readonly servers: Server[] = [];
  private readonly faults = new Map<string, LogFault>();
  private readonly links = new Map<string, NarrowLink>();
  /** Reads that wait for a record, by door. */
  private readonly waiting = new Map<ServerResponse, string>();
  /** How long one append takes, and at least each answer of a read, in milliseconds. */
  private slowMs = 0;
  /** Until when a topic is busy with the appends that it has taken in; it makes one after the other. */
  private readonly busyUntil = new Map<string, number>();
  private callCount = 0;
  private readonly sockets = new SilentSockets();

  private readonly handlers: Readonly<Record<string, Handler>> = {
    'POST /log-append': (call) => this.handleAppend(call),
    'GET /log-read': (call) => this.handleRead(call),
    'GET /log-newest': (call) => this.handleNewest(call),
  };

  /** Starts one way in: each box gets an address of its own, so that a fault can strike it alone. */
  async startDoor(name: string, address: string): Promise<void> {
    const server = createServer((request, response) => {
      this.handleRequest(name, request, response).catch(() => response.destroy());
    });
    this.servers.push(server);
    this.sockets.recordServer(server);
    this.faults.set(name, 'none');
    this.links.set(name, new NarrowLink());
    await startListening(server, address);
  }

  async stop(): Promise<void> {
    for (const server of this.servers) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }

  /** Sets what goes wrong, behind one door or all. Silence also takes the answers of reads that wait at that time. */
  applyFault(fault: LogFault, door?: string): void {
    for (const name of door === undefined ? [...this.faults.keys()] : [door]) {
      this.faults.set(name, fault);
    }
    for (const [response, name] of fault === 'silent' ? [...this.waiting] : []) {
      if (door === undefined || door === name) {
        this.waiting.delete(response);
      }
    }
  }

  /** Silences all connections that are open now, with the reads that wait on them. New ones work. */
  applySilence(): void {
    this.sockets.applySilence();
    this.waiting.clear();
  }

  /** Sets the rate of each box's link in megabits a second; Infinity for no limit. */
  applyLinkRate(megabits: number): void {
    this.links.forEach((link) => link.applyRate(megabits));
  }

  /** Sets how long each call takes, in milliseconds; a topic makes one append after the other, and refuses with over 2 s waiting. */
  applySlowness(slowMs: number): void {
    this.slowMs = slowMs;
  }

  readCallCount(): number {
    return this.callCount;
  }

  readTopic(name: string): KeyedTopic {
    const known = this.topics.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = new KeyedTopic();
    this.topics.set(name, created);
    return created;
  }

  /** Writes one record as the platform itself. An empty value drops the key. */
  writeRecord(topic: string, key: string, value: unknown): void {
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(value === '' ? '' : JSON.stringify(value));
    const frame = Buffer.alloc(LENGTH_BYTES + 1);
    frame.writeUInt32BE(1 + keyBytes.length + valueBytes.length, 0);
    frame.writeUInt8(keyBytes.length, LENGTH_BYTES);
    this.readTopic(topic).append(Buffer.concat([frame, keyBytes, valueBytes]), undefined);
  }

  private async handleRequest(
    door: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.callCount += 1;
    const fault = this.faults.get(door);
    if (fault === 'silent' || this.sockets.isSilent(request)) {
      return;
    }
    if (fault === 'busy') {
      sendJson(response, 503, {});
      return;
    }
    const url = new URL(request.url ?? '/', 'http://log');
    const handler = this.handlers[`${request.method} ${url.pathname}`];
    if (handler === undefined) {
      sendJson(response, 404, {});
      return;
    }
    this.waiting.set(response, door);
    const link = this.links.get(door) ?? new NarrowLink();
    await handler({ url, request, response, isAnswerLost: fault === 'loseAnswers', link });
    this.waiting.delete(response);
  }

  private async handleAppend({ url, request, response, isAnswerLost, link }: LogCall): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
      await link.startPassing((chunk as Buffer).length);
    }
    const { searchParams } = url;
    const producer = searchParams.get('producer');
    const writer =
      producer === null
        ? undefined
        : {
            producer,
            epoch: Number(searchParams.get('epoch')),
            sequence: Number(searchParams.get('call-seq')),
          };
    const topic = searchParams.get('topic') ?? '';
    if (!(await this.startAppendTurn(topic))) {
      sendJson(response, 503, {});
      return;
    }
    const answer = this.readTopic(topic).append(Buffer.concat(chunks), writer);
    if (!isAnswerLost) {
      sendJson(response, answer.status, answer.body);
    }
  }

  /** Waits until the topic has made all earlier appends and this one; false when too many wait. */
  private async startAppendTurn(topic: string): Promise<boolean> {
    if (this.slowMs === 0) {
      return true;
    }
    const now = performance.now();
    const startsAt = Math.max(now, this.busyUntil.get(topic) ?? 0);
    if (startsAt - now > MAX_APPEND_WAIT_MS) {
      return false;
    }
    this.busyUntil.set(topic, startsAt + this.slowMs);
    await waitForDelay(startsAt + this.slowMs - now);
    return true;
  }

  private async handleRead({ url, response, link }: LogCall): Promise<void> {
    await waitForDelay(this.slowMs);
    const topic = this.readTopic(url.searchParams.get('topic') ?? '');
    const from = Number(url.searchParams.get('from-rev'));
    const waitMs = Number(url.searchParams.get('wait-ms') ?? 0);
    if (topic.readEnd() <= from && waitMs > 0) {
      await topic.startWait(waitMs);
      if (!this.waiting.has(response)) {
        return;
      }
    }
    const frames = topic.readFrames(from);
    if (frames === undefined) {
      sendJson(response, 410, { first: topic.readFirstKept() });
      return;
    }
    await link.sendAnswer(response, frames, 'application/octet-stream');
  }

  private async handleNewest({ url, response, link }: LogCall): Promise<void> {
    const topic = this.readTopic(url.searchParams.get('topic') ?? '');
    const all = topic.readNewest(url.searchParams.get('depends-on') ?? '');
    const items = all.slice(0, PAGE_ITEMS).map(({ key, value, offset }) => ({
      'private-key': key,
      value: value.toString('base64'),
      offset,
    }));
    const answer = { items, more: all.length > items.length, end: topic.readEnd() };
    await link.sendAnswer(response, Buffer.from(JSON.stringify(answer)), 'application/json');
  }
}
