// Stand-in of the platform's store, as PROTOCOL.md describes it: keyed topics of one partition, over HTTP.
import { createServer } from 'node:http';

const HEAD_BYTES = 4;
const KEPT_RESULTS = 5;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

class Topic {
  records = [];
  newest = new Map();
  producers = new Map();
  waiters = new Set();
  busyUntil = 0;

  addFrames(body) {
    for (let at = 0; at < body.length;) {
      const end = at + HEAD_BYTES + body.readUInt32BE(at);
      const frame = Buffer.from(body.subarray(at, end));
      const keyBytes = frame[HEAD_BYTES];
      const key = frame.toString('utf8', HEAD_BYTES + 1, HEAD_BYTES + 1 + keyBytes);
      const value = frame.subarray(HEAD_BYTES + 1 + keyBytes);
      if (value.length === 0) {
        this.newest.delete(key);
      } else {
        this.newest.set(key, this.records.length);
      }
      this.records.push({ key, value, frame });
      at = end;
    }
    for (const wake of this.waiters) wake();
    this.waiters.clear();
  }

  /** Returns status and body of an append; `writer` is undefined for an append without a producer. */
  append(body, writer) {
    if (writer !== undefined) {
      const known = this.producers.get(writer.name) ?? { epoch: -1, last: undefined, results: new Map() };
      if (writer.epoch < known.epoch) return [409, { reason: 'fenced' }];
      if (writer.epoch > known.epoch) {
        known.epoch = writer.epoch;
        known.last = undefined;
        known.results = new Map();
        this.producers.set(writer.name, known);
      }
      const earlier = known.results.get(writer.seq);
      if (earlier !== undefined) return [200, earlier];
      if (known.last !== undefined && writer.seq !== known.last + 1) {
        return [409, { reason: 'seq', 'call-seq': known.last + 1 }];
      }
      known.last = writer.seq;
      const result = { offset: this.records.length, end: 0 };
      known.results.set(writer.seq, result);
      known.results.delete(writer.seq - KEPT_RESULTS);
      this.addFrames(body);
      result.end = this.records.length;
      return [200, result];
    }
    const offset = this.records.length;
    this.addFrames(body);
    return [200, { offset, end: this.records.length }];
  }
}

export class Store {
  topics = new Map();
  servers = [];
  counts = new Map();
  /** Appends that were refused since a record was larger than `record_bytes`. */
  tooLarge = [];

  constructor({ recordBytes = 262_144, callBytes = 2_097_152, appendMs = 4, log = () => undefined } = {}) {
    Object.assign(this, { recordBytes, callBytes, appendMs, log });
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = new Topic();
      this.topics.set(name, topic);
    }
    return topic;
  }

  /** Starts a listener on a free port; `decide(request)` may return 'busy', 'silent' or 'lost' for a call. Returns its address. */
  async listen(decide = () => undefined) {
    const server = createServer((request, response) => {
      this.handle(request, response, decide).catch(() => response.destroy());
    });
    this.servers.push(server);
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${server.address().port}`;
  }

  stop() {
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a record as the operator or a server does. */
  put(topicName, key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(text);
    const head = Buffer.alloc(HEAD_BYTES + 1);
    head.writeUInt32BE(1 + keyBytes.length + valueBytes.length, 0);
    head[HEAD_BYTES] = keyBytes.length;
    this.topic(topicName).addFrames(Buffer.concat([head, keyBytes, valueBytes]));
  }

  async handle(request, response, decide) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, 'http://store');
    const fault = decide(request, url);
    if (fault === 'silent') return;
    const send = (status, value) => {
      if (fault === 'lost') return;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(value));
    };
    if (fault === 'busy') return send(503, {});
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    if (url.pathname === '/log-append') return this.handleAppend(url, topic, body, send);
    if (url.pathname === '/log-read') return this.handleRead(url, topic, response, send);
    if (url.pathname === '/log-newest') return this.handleNewest(url, topic, send);
    return send(404, {});
  }

  async handleAppend(url, topic, body, send) {
    const query = url.searchParams;
    if (body.length > this.callBytes) return send(400, { reason: 'call_bytes' });
    for (let at = 0; at < body.length;) {
      const size = body.readUInt32BE(at);
      if (size > this.recordBytes) {
        const key = body.toString('utf8', at + 5, at + 5 + body[at + 4]);
        this.tooLarge.push({ topic: query.get('topic'), key, size });
        return send(400, { reason: 'record_bytes' });
      }
      at += HEAD_BYTES + size;
    }
    const now = performance.now();
    const startsAt = Math.max(now, topic.busyUntil);
    if (startsAt - now > 2000) return send(503, {});
    topic.busyUntil = startsAt + this.appendMs;
    await delay(topic.busyUntil - now);
    const producer = query.get('producer');
    const writer =
      producer === null
        ? undefined
        : { name: producer, epoch: Number(query.get('epoch')), seq: Number(query.get('call-seq')) };
    return send(...topic.append(body, writer));
  }

  async handleRead(url, topic, response, send) {
    const query = url.searchParams;
    const from = Number(query.get('from-rev'));
    const waitMs = Math.min(30_000, Number(query.get('wait-ms') ?? 0));
    if (topic.records.length <= from && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        topic.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    await delay(1);
    const maxBytes = Number(query.get('max_kb') ?? 1024) * 1024;
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [head];
    let bytes = 0;
    for (let at = from; at < topic.records.length; at += 1) {
      const { frame } = topic.records[at];
      bytes += frame.length;
      if (parts.length > 1 && bytes > maxBytes) break;
      parts.push(frame);
    }
    if (send === undefined) return;
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(Buffer.concat(parts));
  }

  handleNewest(url, topic, send) {
    const after = url.searchParams.get('depends-on') ?? '';
    const keys = [...topic.newest.keys()].filter((key) => key > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const offset = topic.newest.get(key);
      const { value } = topic.records[offset];
      bytes += value.length;
      if (items.length > 0 && (items.length >= PAGE_ITEMS || bytes > PAGE_BYTES)) break;
      items.push({ 'private-key': key, value: value.toString('base64'), offset });
    }
    send(200, { items, more: items.length < keys.length, end: topic.records.length });
  }
}
