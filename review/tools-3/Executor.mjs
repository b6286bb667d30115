/** Stand-in of an executor: the calls of PROTOCOL.md under "Running tasks", and its entry in the store. */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';

const START_MS = 20;
const SAVE_MS = 500;
const BEAT_MS = 1500;
/** Beats of silence after which the store drops the entry. */
const LOST_BEATS = 3;
const MAX_HOLD_MS = 10_000;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
};

/**
 * A task's work is given in its spec: `{"ms":N}` ends `done` after N ms of work, `{"lasts":true}` runs until it is stopped; `saveBytes` is the length of its
 * checkpoints, if it writes any. A crash ends everything that runs; the next life has a new id, at the same address and on the same machine.
 */
export class Executor {
  constructor({ store, name, service, zone, labels, cpu, memory, record }) {
    Object.assign(this, { store, name, service, zone, labels, cpu, memory, record });
    this.isUp = false;
    this.port = 0;
    this.lives = 0;
    /** Called with each start that is carried out: task, run, spec and executor. */
    this.handleStarted = () => undefined;
    this.handleEnded = () => undefined;
    /** Decides on a fault of one call: undefined, or a function that gets the response and the usual handling. */
    this.findFault = () => undefined;
  }

  async start() {
    this.lives += 1;
    this.id = `i-${randomBytes(5).toString('hex')}`;
    this.bornAt = performance.now();
    this.token = 0;
    this.running = new Map();
    this.barred = new Map();
    this.ends = [];
    this.newestEnd = 0;
    this.leaseUntil = 0;
    this.waiters = new Set();
    this.server = createServer((request, response) => void this.handle(request, response));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
    this.port = this.server.address().port;
    this.address = `127.0.0.1:${this.port}`;
    this.isUp = true;
    this.beats = 0;
    this.beat();
    this.beatTimer = setInterval(() => this.beat(), BEAT_MS);
    this.workTimer = setInterval(() => this.work(), 10);
    this.record('executor up', { executor: this.name, id: this.id });
  }

  /** Ends at once, without a word: everything that runs here dies, and the entry lapses. */
  crash() {
    const { id } = this;
    this.isUp = false;
    clearInterval(this.beatTimer);
    clearInterval(this.workTimer);
    const died = [...this.running.values()].map(({ task, run }) => `${task}#${run}`);
    this.running.clear();
    this.server.closeAllConnections();
    this.server.close();
    setTimeout(() => this.store.put('keyed.servers', id), LOST_BEATS * BEAT_MS).unref();
    this.record('executor crashed', { executor: this.name, id, died });
  }

  stop() {
    if (this.isUp) {
      this.isUp = false;
      clearInterval(this.beatTimer);
      clearInterval(this.workTimer);
      this.server.closeAllConnections();
      this.server.close();
    }
  }

  beat() {
    this.beats += 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-remaining-ms': 0,
      capacity: { cpu: this.cpu, 'mem-mb': this.memory, gpu: 0 },
      labels: this.labels,
      'clock-ms': this.getClock(),
      'call-seq': this.beats,
    });
  }

  getClock() {
    return Math.floor(performance.now() - this.bornAt);
  }

  async handle(request, response) {
    const { server } = this;
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined || server !== this.server || !this.isUp) {
      response.destroy();
      return;
    }
    const expected = request.headers['x-stairline-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.send(response, 421, {});
      return;
    }
    const usual = () => this.dispatch(request.url, body, response);
    const fault = this.findFault(request.url, body);
    await (fault === undefined ? usual() : fault(response, usual));
  }

  send(response, status, value) {
    if (!response.destroyed) {
      response
        .writeHead(status, { 'content-type': 'application/json' })
        .end(JSON.stringify({ 'clock-ms': this.getClock(), ...value }));
    }
  }

  isFenced(body) {
    const token = body['fencing-token'] ?? 0;
    if (token < this.token) {
      return true;
    }
    this.token = token;
    return false;
  }

  extendLease(expiresMs) {
    if (expiresMs !== undefined) {
      this.leaseUntil = Math.max(this.leaseUntil, Math.min(expiresMs, this.getClock() + MAX_HOLD_MS));
    }
  }

  async dispatch(path, body, response) {
    if (path === '/health') {
      return this.send(response, 200, {});
    }
    if (this.isFenced(body)) {
      return this.send(response, 409, { reason: 'fence' });
    }
    switch (path) {
      case '/run-start':
        return this.startRun(body, response);
      case '/run-stop':
        return this.stopRun(body, response);
      case '/hold':
        return this.hold(body, response);
      default:
        return this.send(response, 404, {});
    }
  }

  startRun(body, response) {
    const { task, run, spec } = body;
    this.extendLease(body['expires-ms']);
    if (this.running.get(task)?.run === run) {
      return this.send(response, 200, {});
    }
    if (run <= (this.barred.get(task) ?? 0) || this.running.has(task)) {
      return this.send(response, 409, { reason: 'old' });
    }
    if (body['expires-ms'] <= this.getClock()) {
      return this.send(response, 409, { reason: 'late' });
    }
    const work = JSON.parse(spec);
    const saved = body['last-checkpoint'] ?? '';
    // A checkpoint begins with the work that it has saved, in milliseconds.
    const savedMs = saved === '' ? 0 : Number.parseInt(saved, 10);
    this.running.set(task, {
      task,
      run,
      work,
      saved,
      savedMs,
      startedAt: this.getClock(),
      nextSaveMs: SAVE_MS,
    });
    this.record('start', { executor: this.name, id: this.id, task, run, token: body['fencing-token'] });
    this.handleStarted({ task, run, spec, executor: this });
    return this.send(response, 200, {});
  }

  stopRun(body, response) {
    const { task, run } = body;
    this.barred.set(task, Math.max(run, this.barred.get(task) ?? 0));
    const entry = this.running.get(task);
    if (entry !== undefined && entry.run <= run) {
      this.endRun(entry, 'stopped');
    }
    return this.send(response, 200, {});
  }

  endRun({ task, run, saved }, how) {
    this.running.delete(task);
    this.barred.set(task, Math.max(run, this.barred.get(task) ?? 0));
    this.newestEnd += 1;
    this.ends.push([this.newestEnd, task, run, how, how === 'done' ? '' : saved]);
    this.record('end', { executor: this.name, id: this.id, task, run, how });
    this.handleEnded({ task, run, how, executor: this });
    this.waiters.forEach((resolve) => resolve());
    this.waiters.clear();
  }

  work() {
    const now = this.getClock();
    const entries = [...this.running.values()];
    if (entries.length > 0 && now > this.leaseUntil) {
      entries.forEach((entry) => this.endRun(entry, 'lapsed'));
      return;
    }
    for (const entry of entries) {
      const ageMs = now - entry.startedAt;
      this.saveWork(entry, ageMs);
      if (entry.work.ms !== undefined && entry.savedMs + ageMs >= entry.work.ms) {
        this.endRun(entry, 'done');
      }
    }
  }

  /** Renews the checkpoint of a task, if it writes any, with each `SAVE_MS` of work. */
  saveWork(entry, ageMs) {
    const { saveBytes = 0 } = entry.work;
    if (saveBytes > 0 && ageMs >= entry.nextSaveMs) {
      entry.nextSaveMs += SAVE_MS;
      entry.saved = `${entry.savedMs + Math.floor(ageMs)} ${entry.task} `.padEnd(saveBytes, 'c');
    }
  }

  getPercent({ work, startedAt, savedMs }) {
    const workedMs = savedMs + this.getClock() - startedAt;
    const share = work.ms === undefined ? workedMs / START_MS : workedMs / work.ms;
    return Math.floor(100 * Math.min(1, share));
  }

  async hold(body, response) {
    const { server } = this;
    this.extendLease(body['expires-ms']);
    const seen = body['last-seen'] ?? 0;
    this.ends = this.ends.filter(([number]) => number > seen);
    const waitMs = Math.min(2000, body['wait-ms'] ?? 0);
    if (waitMs > 0 && this.ends.length === 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (server !== this.server || !this.isUp) {
      return undefined;
    }
    const running = [...this.running.values()].map((entry) => [
      entry.task,
      entry.run,
      entry.saved,
      this.getPercent(entry),
      0,
    ]);
    return this.send(response, 200, { running, 'end-time': this.ends.slice(0, 500) });
  }
}
