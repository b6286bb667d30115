import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { waitForDelay } from '../../common/waitForDelay';
import { sendJson } from '../sendJson';
import { startListening } from '../startListening';
import { KeyedTopic } from './KeyedTopic';
import type { LogFault } from './LogFault';
import { RateLimitedLink } from './RateLimitedLink';
import { BlackholedConnections } from './BlackholedConnections';

interface LogRequest {
  readonly url: URL;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** True when an append is applied but gets no response. */
  readonly isResponseLost: boolean;
  /** Link of the box that sent the request. */
  readonly link: RateLimitedLink;
}

type RequestHandler = (logRequest: LogRequest) => Promise<void>;

const MAX_PAGE_ITEMS = 500;
const FRAME_LENGTH_BYTES = 4;
const DEFAULT_READ_KB = 1024;
const BYTES_PER_KB = 1024;
const MAX_APPEND_WAIT_MS = 2000;
const MAX_RECORD_BYTES = 262_144;
const MAX_APPEND_BYTES = 2_097_152;

/** Returns why the log takes no append of these frames, however often it is sent; undefined when it does. */
const findSizeProblem = (frames: Buffer): string | undefined => {
  if (frames.length > MAX_APPEND_BYTES) {
    return 'call_bytes';
  }
  for (let offset = 0; offset + FRAME_LENGTH_BYTES <= frames.length;) {
    const length = frames.readUInt32BE(offset);
    if (length > MAX_RECORD_BYTES) {
      return 'record_bytes';
    }
    offset += FRAME_LENGTH_BYTES + length;
  }
  return undefined;
};

/** Stands in for the platform's log over HTTP: keyed topics of one partition, with the paths and bodies that the platform documents. */
export class LogStandin {
  private readonly topics = new Map<string, KeyedTopic>();
  private readonly servers: Server[] = [];
  private readonly faultsByListener = new Map<string, LogFault>();
  private readonly linksByListener = new Map<string, RateLimitedLink>();
  /** Name of the listener of each request in progress, by its response; without an entry, a long poll ends without a response. */
  private readonly pendingResponses = new Map<ServerResponse, string>();
  /** Time that a topic takes for an append, and delay of each read from an offset, in milliseconds. */
  private latencyMs = 0;
  /** Monotonic time until which each topic is busy; a topic processes its appends one after the other. */
  private readonly topicsBusyUntil = new Map<string, number>();
  private requestCount = 0;
  private readonly connections = new BlackholedConnections();

  private readonly handlers: Readonly<Record<string, RequestHandler>> = {
    'POST /log-append': (logRequest) => this.handleAppend(logRequest),
    'GET /log-read': (logRequest) => this.handleRead(logRequest),
    'GET /log-newest': (logRequest) => this.handleReadNewest(logRequest),
  };

  /** Starts a listener. Each box gets a listener of its own, so that a fault can be injected for one box. */
  async startListener(name: string, address: string): Promise<void> {
    const server = createServer((request, response) => {
      this.handleRequest(name, request, response).catch(() => response.destroy());
    });
    this.servers.push(server);
    this.connections.addServer(server);
    this.faultsByListener.set(name, 'none');
    this.linksByListener.set(name, new RateLimitedLink());
    await startListening(server, address);
  }

  async stop(): Promise<void> {
    for (const server of this.servers) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }

  /** Sets the fault of one listener, or of all without a name. With `silent`, their pending long polls get no response either. */
  setFault(fault: LogFault, listener?: string): void {
    for (const name of listener === undefined ? [...this.faultsByListener.keys()] : [listener]) {
      this.faultsByListener.set(name, fault);
    }
    for (const [response, name] of fault === 'silent' ? [...this.pendingResponses] : []) {
      if (listener === undefined || listener === name) {
        this.pendingResponses.delete(response);
      }
    }
  }

  /** Blackholes all connections that are open now, with their pending long polls. New connections work. */
  applyBlackhole(): void {
    this.connections.applyBlackhole();
    this.pendingResponses.clear();
  }

  /** Sets the rate of each box's link in megabits per second; Infinity for no limit. */
  setLinkRate(megabits: number): void {
    this.linksByListener.forEach((link) => link.setRate(megabits));
  }

  /**
   * Sets the milliseconds that an append takes and that a read from an offset is delayed. A topic processes one append at a time, and
   * rejects appends while its queue is too long.
   */
  setLatency(latencyMs: number): void {
    this.latencyMs = latencyMs;
  }

  /** Returns the number of requests received, with or without a response. */
  countRequests(): number {
    return this.requestCount;
  }

  /** Returns a topic, which is created on first use. */
  getTopic(name: string): KeyedTopic {
    const known = this.topics.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = new KeyedTopic();
    this.topics.set(name, created);
    return created;
  }

  /** Appends a record on behalf of the platform. An empty string as the value deletes the key. */
  writeRecord(topic: string, key: string, value: unknown): void {
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(value === '' ? '' : JSON.stringify(value));
    const frame = Buffer.alloc(FRAME_LENGTH_BYTES + 1);
    frame.writeUInt32BE(1 + keyBytes.length + valueBytes.length, 0);
    frame.writeUInt8(keyBytes.length, FRAME_LENGTH_BYTES);
    this.getTopic(topic).append(Buffer.concat([frame, keyBytes, valueBytes]), undefined);
  }

  private async handleRequest(
    listener: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.requestCount += 1;
    const fault = this.faultsByListener.get(listener);
    if (fault === 'silent' || this.connections.isBlackholed(request)) {
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
    this.pendingResponses.set(response, listener);
    const link = this.linksByListener.get(listener) ?? new RateLimitedLink();
    await handler({ url, request, response, isResponseLost: fault === 'loseAnswers', link });
    this.pendingResponses.delete(response);
  }

  private async handleAppend({ url, request, response, isResponseLost, link }: LogRequest): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
      await link.waitForTransfer((chunk as Buffer).length);
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
    if (!(await this.waitForTopic(topic))) {
      sendJson(response, 503, {});
      return;
    }
    const frames = Buffer.concat(chunks);
    const problem = findSizeProblem(frames);
    if (problem !== undefined) {
      sendJson(response, 400, { reason: problem });
      return;
    }
    const result = this.getTopic(topic).append(frames, writer);
    if (!isResponseLost) {
      sendJson(response, result.status, result.body);
    }
  }

  /** Waits until the topic has had time for all earlier appends and this one. Returns false at once when its queue is too long. */
  private async waitForTopic(topic: string): Promise<boolean> {
    if (this.latencyMs === 0) {
      return true;
    }
    const now = performance.now();
    const startsAt = Math.max(now, this.topicsBusyUntil.get(topic) ?? 0);
    if (startsAt - now > MAX_APPEND_WAIT_MS) {
      return false;
    }
    this.topicsBusyUntil.set(topic, startsAt + this.latencyMs);
    await waitForDelay(startsAt + this.latencyMs - now);
    return true;
  }

  private async handleRead({ url, response, link }: LogRequest): Promise<void> {
    await waitForDelay(this.latencyMs);
    const topic = this.getTopic(url.searchParams.get('topic') ?? '');
    const from = Number(url.searchParams.get('from-rev'));
    const waitMs = Number(url.searchParams.get('wait-ms') ?? 0);
    if (topic.getEndOffset() <= from && waitMs > 0) {
      await topic.waitForAppend(waitMs);
      if (!this.pendingResponses.has(response)) {
        return;
      }
    }
    const maxKb = Number(url.searchParams.get('max_kb') ?? DEFAULT_READ_KB);
    const frames = topic.getReadBody(from, maxKb * BYTES_PER_KB);
    if (frames === undefined) {
      sendJson(response, 410, { first: topic.getFirstOffset() });
      return;
    }
    await link.sendResponse(response, frames, 'application/octet-stream');
  }

  private async handleReadNewest({ url, response, link }: LogRequest): Promise<void> {
    const topic = this.getTopic(url.searchParams.get('topic') ?? '');
    const all = topic.listNewest(url.searchParams.get('depends-on') ?? '');
    const items = all.slice(0, MAX_PAGE_ITEMS).map(({ key, value, offset }) => ({
      'private-key': key,
      value: value.toString('base64'),
      offset,
    }));
    const page = { items, more: all.length > items.length, end: topic.getEndOffset() };
    await link.sendResponse(response, Buffer.from(JSON.stringify(page)), 'application/json');
  }
}
