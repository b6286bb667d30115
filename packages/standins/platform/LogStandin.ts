import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { sendJson } from '../sendJson';
import { startListening } from '../startListening';
import { KeyedTopic } from './KeyedTopic';
import type { LogFault } from './LogFault';

type Handler = (url: URL, request: IncomingMessage, response: ServerResponse) => Promise<void>;

const PAGE_ITEMS = 500;
const LENGTH_BYTES = 4;

/** Stands in for the platform's log over HTTP: keyed topics of one partition, in the form of the platform's pages. */
export class LogStandin {
  private readonly topics = new Map<string, KeyedTopic>();
  private fault: LogFault = 'none';
  private server: Server | undefined;
  private callCount = 0;

  private readonly handlers: Readonly<Record<string, Handler>> = {
    'POST /log-append': (url, request, response) => this.handleAppend(url, request, response),
    'GET /log-read': (url, _request, response) => this.handleRead(url, response),
    'GET /log-newest': (url, _request, response) => this.handleNewest(url, response),
  };

  constructor(private readonly address: string) {}

  async start(): Promise<void> {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    await startListening(this.server, this.address);
  }

  async stop(): Promise<void> {
    this.server?.closeAllConnections();
    await new Promise((resolve) => this.server?.close(resolve));
  }

  applyFault(fault: LogFault): void {
    this.fault = fault;
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

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.callCount += 1;
    if (this.fault === 'silent') {
      return;
    }
    if (this.fault === 'busy') {
      sendJson(response, 503, {});
      return;
    }
    const url = new URL(request.url ?? '/', 'http://log');
    const handler = this.handlers[`${request.method} ${url.pathname}`];
    if (handler === undefined) {
      sendJson(response, 404, {});
      return;
    }
    await handler(url, request, response);
  }

  private async handleAppend(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
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
    const answer = this.readTopic(searchParams.get('topic') ?? '').append(Buffer.concat(chunks), writer);
    if (this.fault !== 'loseAnswers') {
      sendJson(response, answer.status, answer.body);
    }
  }

  private async handleRead(url: URL, response: ServerResponse): Promise<void> {
    const topic = this.readTopic(url.searchParams.get('topic') ?? '');
    const from = Number(url.searchParams.get('from-rev'));
    const waitMs = Number(url.searchParams.get('wait-ms') ?? 0);
    if (topic.readEnd() <= from && waitMs > 0) {
      await topic.startWait(waitMs);
    }
    const frames = topic.readFrames(from);
    if (frames === undefined) {
      sendJson(response, 410, { first: topic.readFirstKept() });
      return;
    }
    response.writeHead(200, { 'content-length': frames.length });
    response.end(frames);
  }

  private handleNewest(url: URL, response: ServerResponse): Promise<void> {
    const topic = this.readTopic(url.searchParams.get('topic') ?? '');
    const all = topic.readNewest(url.searchParams.get('depends-on') ?? '');
    const items = all.slice(0, PAGE_ITEMS).map(({ key, value, offset }) => ({
      'private-key': key,
      value: value.toString('base64'),
      offset,
    }));
    sendJson(response, 200, { items, more: all.length > items.length, end: topic.readEnd() });
    return Promise.resolve();
  }
}
