/** Stand-in of the platform's store: the log of PROTOCOL.md, over HTTP. Holds everything in memory. */
import { createServer } from 'node:http';

const APPEND_MS = 4;
const ANSWER_MS = 4;
const MAX_READ_BYTES = 1_048_576;
const MAX_PAGE_ITEMS = 500;
const MAX_RECORD_BYTES = 262_144;
const KEPT_ANSWERS = 5;
/** Time for which records are kept that are not the newest of their key. */
const KEEP_MS = 20_000;

const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

/** One partition of a topic. */
class Partition {
  constructor(isKeyed) {
    this.isKeyed = isKeyed;
    this.records = [];
    this.first = 0;
    this.end = 0;
    /** Newest record of each key, in the order of the keys' first records. */
    this.keys = [];
    this.positions = new Map();
    this.newest = new Map();
    this.producers = new Map();
    this.waiters = new Set();
    this.tail = Promise.resolve();
  }

  push(payload) {
    const offset = this.end;
    this.end += 1;
    this.records.push({ offset, payload, at: Date.now() });
    if (this.isKeyed) {
      const keyLength = payload[0];
      const key = payload.toString('utf8', 1, 1 + keyLength);
      const value = payload.subarray(1 + keyLength);
      if (!this.positions.has(key)) {
        this.positions.set(key, this.keys.length);
        this.keys.push(key);
      }
      if (value.length === 0) {
        this.newest.delete(key);
      } else {
        this.newest.set(key, { key, value, offset });
      }
    }
    return offset;
  }

  wake() {
    for (const waiter of this.waiters) {
      waiter();
    }
    this.waiters.clear();
  }

  dropOld() {
    const oldest = Date.now() - KEEP_MS;
    let count = 0;
    while (count < this.records.length && this.records[count].at < oldest) {
      count += 1;
    }
    this.records.splice(0, count);
    this.first += count;
  }
}

export class Store {
  constructor() {
    this.topics = new Map();
    this.server = createServer((request, response) => void this.handle(request, response));
    this.server.keepAliveTimeout = 60_000;
    this.counts = { appends: 0, reads: 0, pages: 0 };
    /** Decides on a fault of one call: undefined, or a function that answers it. */
    this.findFault = () => undefined;
    this.timer = setInterval(() => this.partitions().forEach((part) => part.dropOld()), 1000);
  }

  partitions() {
    return [...this.topics.values()];
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  getPartition(topic) {
    let part = this.topics.get(topic);
    if (part === undefined) {
      part = new Partition(topic.startsWith('keyed.'));
      this.topics.set(topic, part);
    }
    return part;
  }

  /** Writes a record as another writer: the operator, or an executor. An empty value drops the key. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const text = value === undefined ? '' : JSON.stringify(value);
    const part = this.getPartition(topic);
    part.push(Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(text)]));
    part.wake();
  }

  async handle(request, response) {
    try {
      const url = new URL(request.url, 'http://store');
      const body = await readBody(request);
      const fault = this.findFault({ path: url.pathname, query: url.searchParams, body, request });
      if (fault !== undefined) {
        await fault(response, () => this.dispatch(url, body, response));
        return;
      }
      await this.dispatch(url, body, response);
    } catch (error) {
      if (!response.headersSent) {
        response.writeHead(400).end(JSON.stringify({ error: String(error) }));
      }
    }
  }

  async dispatch(url, body, response) {
    switch (url.pathname) {
      case '/log-append':
        return this.append(url.searchParams, body, response);
      case '/log-read':
        return this.read(url.searchParams, response);
      case '/log-newest':
        return this.readNewest(url.searchParams, response);
      default:
        return this.send(response, 404, {});
    }
  }

  send(response, status, value) {
    if (!response.writableEnded && !response.destroyed) {
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
    }
  }

  async append(query, body, response) {
    const topic = query.get('topic');
    if (topic === 'keyed.servers' || topic === 'keyed.op') {
      return this.send(response, 403, {});
    }
    const part = this.getPartition(topic);
    const turn = part.tail.then(() => delay(APPEND_MS));
    part.tail = turn;
    await turn;
    const answer = this.applyAppend(part, query, body);
    this.counts.appends += 1;
    this.send(response, answer.status, answer.value);
  }

  applyAppend(part, query, body) {
    const records = [];
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position);
      const end = position + 4 + length;
      if (end > body.length || length > MAX_RECORD_BYTES) {
        return { status: 400, value: { error: 'record' } };
      }
      records.push(Buffer.from(body.subarray(position + 4, end)));
      position = end;
    }
    const at = query.get('at');
    if (at !== null && Number(at) !== part.end) {
      return { status: 412, value: { end: part.end } };
    }
    const producer = query.get('producer');
    if (producer === null) {
      return this.pushAll(part, records);
    }
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('call-seq'));
    const known = part.producers.get(producer);
    if (known !== undefined && epoch < known.epoch) {
      return { status: 409, value: { reason: 'fenced' } };
    }
    if (known !== undefined && epoch === known.epoch) {
      const earlier = known.answers.find((one) => one.sequence === sequence);
      if (earlier !== undefined) {
        return earlier.answer;
      }
      if (sequence !== known.last + 1) {
        return { status: 409, value: { reason: 'seq', 'call-seq': known.last + 1 } };
      }
    }
    const answer = this.pushAll(part, records);
    const answers = known?.epoch === epoch ? known.answers : [];
    part.producers.set(producer, {
      epoch,
      last: sequence,
      answers: [...answers, { sequence, answer }].slice(-KEPT_ANSWERS),
    });
    return answer;
  }

  pushAll(part, records) {
    const offset = part.end;
    records.forEach((record) => part.push(record));
    part.wake();
    return { status: 200, value: { offset, end: part.end } };
  }

  async read(query, response) {
    const part = this.getPartition(query.get('topic'));
    const from = Number(query.get('from-rev'));
    const until = Date.now() + Math.min(30_000, Number(query.get('wait-ms') ?? 0));
    await delay(ANSWER_MS);
    while (from >= part.end && Date.now() < until) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, until - Date.now());
        part.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    this.counts.reads += 1;
    if (from < part.first) {
      return this.send(response, 410, { first: part.first });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(part.end), 0);
    head.writeBigUInt64BE(BigInt(part.first), 8);
    const chunks = [head];
    let bytes = 0;
    for (let index = from - part.first; index < part.records.length && bytes < MAX_READ_BYTES; index += 1) {
      const { payload } = part.records[index];
      const length = Buffer.alloc(4);
      length.writeUInt32BE(payload.length, 0);
      chunks.push(length, payload);
      bytes += payload.length;
    }
    if (!response.destroyed) {
      response.writeHead(200, { 'content-type': 'application/octet-stream' }).end(Buffer.concat(chunks));
    }
  }

  async readNewest(query, response) {
    const part = this.getPartition(query.get('topic'));
    await delay(ANSWER_MS);
    const after = query.get('depends-on');
    let position = after === null ? 0 : (part.positions.get(after) ?? -1) + 1;
    const items = [];
    let bytes = 0;
    for (; position < part.keys.length && items.length < MAX_PAGE_ITEMS && bytes < 1_000_000; position += 1) {
      const item = part.newest.get(part.keys[position]);
      if (item !== undefined) {
        const value = item.value.toString('base64');
        items.push({ 'private-key': item.key, value, offset: item.offset });
        bytes += value.length;
      }
    }
    this.counts.pages += 1;
    const more = position < part.keys.length;
    this.send(response, 200, { items, more, end: part.end });
  }
}
