import { createServer } from 'node:http';

const FRAME_LENGTH_BYTES = 4;
const READ_HEADER_BYTES = 16;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_048_576;
const KEPT_PRODUCER_RESULTS = 5;
const MAX_WAIT_MS = 30_000;
const BYTES_PER_KB = 1024;
const DEAF_CHECK_MS = 20;

/** Waits for a number of milliseconds. */
export const waitFor = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** One keyed topic with a single partition. */
class Topic {
  records = [];
  newest = new Map();
  producers = new Map();
  firstOffset = 0;
  waiters = new Set();
  busyUntil = 0;

  get end() {
    return this.records.length;
  }

  append(records, writer) {
    let producer;
    if (writer !== undefined) {
      producer = this.producers.get(writer.name);
      if (producer !== undefined && writer.epoch < producer.epoch) {
        return { status: 409, body: { reason: 'fenced' } };
      }
      if (producer === undefined || writer.epoch > producer.epoch) {
        producer = { epoch: writer.epoch, sequence: undefined, results: new Map() };
        this.producers.set(writer.name, producer);
      }
      const earlier = producer.results.get(writer.sequence);
      if (earlier !== undefined) {
        return { status: 200, body: earlier };
      }
      if (producer.sequence !== undefined && writer.sequence !== producer.sequence + 1) {
        return { status: 409, body: { reason: 'seq', 'call-seq': producer.sequence + 1 } };
      }
    }
    const offset = this.end;
    for (const record of records) {
      if (record.value.length === 0) {
        this.newest.delete(record.key);
      } else {
        this.newest.set(record.key, this.records.length);
      }
      this.records.push(record);
    }
    const result = { offset, end: this.end };
    if (producer !== undefined) {
      producer.sequence = writer.sequence;
      producer.results.set(writer.sequence, result);
      producer.results.delete(writer.sequence - KEPT_PRODUCER_RESULTS);
    }
    if (records.length > 0) {
      this.releaseWaiters();
    }
    return { status: 200, body: result };
  }

  releaseWaiters() {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((release) => release());
  }

  waitForRecord(ms) {
    return new Promise((resolve) => {
      const release = () => {
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(() => {
        this.waiters.delete(release);
        resolve();
      }, ms);
      this.waiters.add(release);
    });
  }
}

const parseFrames = (body) => {
  const records = [];
  let position = 0;
  while (position + FRAME_LENGTH_BYTES <= body.length) {
    const end = position + FRAME_LENGTH_BYTES + body.readUInt32BE(position);
    const frame = Buffer.from(body.subarray(position, end));
    const keyLength = frame.readUInt8(FRAME_LENGTH_BYTES);
    const valueStart = FRAME_LENGTH_BYTES + 1 + keyLength;
    records.push({
      frame,
      key: frame.toString('utf8', FRAME_LENGTH_BYTES + 1, valueStart),
      value: frame.subarray(valueStart),
    });
    position = end;
  }
  return records;
};

const toFrame = (key, value) => {
  const keyBytes = Buffer.from(key);
  const valueBytes = Buffer.from(value);
  const head = Buffer.alloc(FRAME_LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + valueBytes.length, 0);
  head.writeUInt8(keyBytes.length, FRAME_LENGTH_BYTES);
  return Buffer.concat([head, keyBytes, valueBytes]);
};

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

const sendJson = (response, status, body) => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

/**
 * Stand-in for the platform's store: the log calls that the pages describe, for topics of one partition. Each box has a listener of its own, so
 * that what the store does to one machine can be set apart from the others.
 */
export class LogStore {
  topics = new Map();
  servers = [];
  /** Box whose append with a producer came last: the one that last wrote under a condition. */
  lastConditionalWriter;
  /** Called with each request. */
  handleCall = () => undefined;
  /** While true, reads that wait for a record hear nothing. */
  areWatchesDeaf = false;
  watches = new Set();

  constructor({ answerMs, recordBytes, callBytes, record }) {
    this.answerMs = answerMs;
    this.recordBytes = recordBytes;
    this.callBytes = callBytes;
    this.record = record;
  }

  topic(name) {
    const known = this.topics.get(name) ?? new Topic();
    this.topics.set(name, known);
    return known;
  }

  /** Writes a record on behalf of the operator or an executor; an empty text deletes the key. */
  write(topic, key, value) {
    this.topic(topic).append(parseFrames(toFrame(key, value === '' ? '' : JSON.stringify(value))), undefined);
  }

  async startListener(box, host, port) {
    const server = createServer((request, response) => {
      this.handleRequest(box, request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    this.servers.push(server);
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  stop() {
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** Drops the history as after a compaction: watches hear nothing for a second, then the history is gone and they are cut. */
  async runCompaction(deafMs) {
    this.areWatchesDeaf = true;
    this.record(`store: watches hear nothing for ${deafMs} ms, then the history is dropped`);
    await waitFor(deafMs);
    this.areWatchesDeaf = false;
    for (const topic of this.topics.values()) {
      topic.firstOffset = topic.end;
    }
    const watches = [...this.watches];
    this.watches.clear();
    watches.forEach((response) => response.destroy());
    this.record('store: history dropped, watches cut');
  }

  async handleRequest(box, request, response) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const name = query.get('topic') ?? '';
    this.handleCall({ box, path: url.pathname, topic: name });
    if (request.method === 'POST' && url.pathname === '/log-append') {
      await this.handleAppend(box, name, query, request, response);
    } else if (request.method === 'GET' && url.pathname === '/log-read') {
      await this.handleRead(name, query, response);
    } else if (request.method === 'GET' && url.pathname === '/log-newest') {
      await waitFor(this.answerMs);
      sendJson(response, 200, this.createPage(this.topic(name), query.get('depends-on') ?? ''));
    } else {
      sendJson(response, 404, {});
    }
  }

  async handleAppend(box, name, query, request, response) {
    const body = await readBody(request);
    const records = parseFrames(body);
    const hasLargeRecord = records.some(({ frame }) => frame.length - FRAME_LENGTH_BYTES > this.recordBytes);
    if (hasLargeRecord || body.length > this.callBytes) {
      this.record(`store: append of ${body.length} bytes to ${name} by ${box} refused: over the limit`);
      sendJson(response, 413, { error: 'record too large' });
      return;
    }
    const producer = query.get('producer');
    const writer =
      producer === null
        ? undefined
        : { name: producer, epoch: Number(query.get('epoch')), sequence: Number(query.get('call-seq')) };
    if (writer !== undefined) {
      this.lastConditionalWriter = box;
    }
    const topic = this.topic(name);
    const now = performance.now();
    topic.busyUntil = Math.max(now, topic.busyUntil) + this.answerMs;
    await waitFor(topic.busyUntil - now);
    const result = topic.append(records, writer);
    sendJson(response, result.status, result.body);
  }

  async handleRead(name, query, response) {
    const topic = this.topic(name);
    const from = Number(query.get('from-rev') ?? 0);
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait-ms') ?? 0));
    const until = performance.now() + waitMs;
    if (waitMs > 0) {
      this.watches.add(response);
      response.once('close', () => this.watches.delete(response));
      while (this.areWatchesDeaf || (topic.end <= from && performance.now() < until)) {
        await topic.waitForRecord(this.areWatchesDeaf ? DEAF_CHECK_MS : until - performance.now());
      }
      this.watches.delete(response);
    }
    await waitFor(this.answerMs);
    if (response.destroyed) {
      return;
    }
    if (from < topic.firstOffset) {
      sendJson(response, 410, { first: topic.firstOffset });
      return;
    }
    const { end } = topic;
    const header = Buffer.alloc(READ_HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(end), 0);
    header.writeBigUInt64BE(BigInt(topic.firstOffset), 8);
    const maxBytes = Number(query.get('max_kb') ?? 1024) * BYTES_PER_KB;
    const frames = [header];
    let bytes = 0;
    for (let offset = from; offset < end; offset += 1) {
      const { frame } = topic.records[offset];
      bytes += frame.length;
      if (frames.length > 1 && bytes > maxBytes) {
        break;
      }
      frames.push(frame);
    }
    const body = Buffer.concat(frames);
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': body.length });
    response.end(body);
  }

  createPage(topic, after) {
    const keys = [...topic.newest.keys()].filter((key) => key > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const offset = topic.newest.get(key);
      const value = topic.records[offset].value.toString('base64');
      bytes += value.length + key.length;
      if (items.length > 0 && (items.length >= MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES)) {
        break;
      }
      items.push({ 'private-key': key, value, offset });
    }
    return { items, more: items.length < keys.length, end: topic.end };
  }
}
