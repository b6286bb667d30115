import { createServer } from 'node:http';

const MAX_HOLD_MS = 10_000;
const MAX_WAIT_MS = 2000;
const MAX_LISTED_ENDS = 500;
const CHECKPOINT_MS = 500;
const CHECKPOINT_DIGITS = 16;

/**
 * Stand-in for one life of an executor. The spec of a task says how long it works: `work MS`, with `saves` for a task that saves its progress.
 * It starts whatever it is told to start, as the service has `enforces-capacity` false.
 */
export class Executor {
  runs = new Map();
  tombstones = new Map();
  ends = [];
  endCount = 0;
  fence = 0;
  leaseUntil = -Infinity;
  waiters = new Set();
  isOver = false;
  startedAt = performance.now();

  constructor({ id, host, port, record, handleStart = () => undefined, handleEnd = () => undefined }) {
    this.id = id;
    this.host = host;
    this.port = port;
    this.record = record;
    this.handleStart = handleStart;
    this.handleEnd = handleEnd;
    // Clocks of executors count from different times.
    this.clockBaseMs = Math.floor(Math.random() * 1e6);
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  clock() {
    return Math.round(this.clockBaseMs + performance.now() - this.startedAt);
  }

  async start() {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.leaseTimer = setInterval(() => this.checkLease(), 10);
  }

  /** Ends this life at once, with all that it runs. */
  async stop() {
    this.isOver = true;
    clearInterval(this.leaseTimer);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
    }
    this.runs.clear();
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  checkLease() {
    if (this.runs.size > 0 && this.clock() >= this.leaseUntil) {
      [...this.runs.values()].forEach((run) => this.endRun(run, 'lapsed'));
    }
  }

  extendLease(expiresMs) {
    if (expiresMs !== undefined) {
      this.leaseUntil = Math.max(this.leaseUntil, Math.min(expiresMs, this.clock() + MAX_HOLD_MS));
    }
  }

  getSaved(run) {
    const workedMs = performance.now() - run.startedAt;
    const count = run.isSaving ? Math.floor(workedMs / CHECKPOINT_MS) : 0;
    return count === 0 ? run.saved : (run.seed + count).toString(16).padStart(CHECKPOINT_DIGITS, '0');
  }

  endRun(run, how) {
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    this.tombstones.set(run.task, Math.max(run.run, this.tombstones.get(run.task) ?? 0));
    this.endCount += 1;
    this.ends.push([this.endCount, run.task, run.run, how, how === 'done' ? '' : this.getSaved(run)]);
    this.handleEnd({ executor: this.id, task: run.task, run: run.run, how });
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((release) => release());
  }

  async handleRequest(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (this.isOver) {
      response.destroy();
      return;
    }
    const send = (status, fields) => {
      if (response.destroyed || this.isOver) {
        return;
      }
      const text = JSON.stringify({ 'clock-ms': this.clock(), ...fields });
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        'x-stairline-instance-id': this.id,
      });
      response.end(text);
    };
    if (request.method === 'GET') {
      send(200, {});
      return;
    }
    if (request.headers['x-stairline-expect-instance'] !== this.id) {
      send(421, {});
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    const token = body['fencing-token'] ?? 0;
    if (token < this.fence) {
      send(409, { reason: 'fence' });
      return;
    }
    this.fence = token;
    if (request.url === '/run-start') {
      const reason = this.startRun(body);
      send(reason === undefined ? 200 : 409, reason === undefined ? {} : { reason });
    } else if (request.url === '/run-stop') {
      this.stopRun(body);
      send(200, {});
    } else if (request.url === '/hold') {
      await this.hold(body, send);
    } else if (request.url === '/pace') {
      send(200, {});
    } else {
      send(400, {});
    }
  }

  startRun(body) {
    const { task, run, spec } = body;
    if (this.runs.get(task)?.run === run) {
      return undefined;
    }
    this.extendLease(body['expires-ms']);
    if ((this.tombstones.get(task) ?? 0) >= run || (this.runs.get(task)?.run ?? 0) > run) {
      return 'old';
    }
    if (body['expires-ms'] <= this.clock()) {
      return 'late';
    }
    const [, workText, isSaving] = /^work (\d+)( saves)?/.exec(spec) ?? [];
    const started = {
      task,
      run,
      startedAt: performance.now(),
      workMs: Number(workText),
      isSaving: isSaving !== undefined,
      saved: body['last-checkpoint'] ?? '',
      seed: Math.floor(Math.random() * 2 ** 44),
    };
    started.timer = setTimeout(() => this.endRun(started, 'done'), started.workMs);
    this.runs.set(task, started);
    this.handleStart({ executor: this.id, task, run, spec });
    return undefined;
  }

  stopRun({ task, run }) {
    this.tombstones.set(task, Math.max(run, this.tombstones.get(task) ?? 0));
    const running = this.runs.get(task);
    if (running?.run === run) {
      this.endRun(running, 'stopped');
    }
  }

  async hold(body, send) {
    this.ends = this.ends.filter(([number]) => number > (body['last-seen'] ?? 0));
    this.extendLease(body['expires-ms']);
    const waitMs = Math.min(MAX_WAIT_MS, body['wait-ms'] ?? 0);
    if (waitMs > 0 && this.ends.length === 0) {
      await new Promise((resolve) => {
        const release = () => {
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(() => {
          this.waiters.delete(release);
          resolve();
        }, waitMs);
        this.waiters.add(release);
      });
    }
    const running = [...this.runs.values()].map((run) => [
      run.task,
      run.run,
      this.getSaved(run),
      Math.min(99, Math.floor(((performance.now() - run.startedAt) * 100) / run.workMs)),
      0,
    ]);
    send(200, { running, 'end-time': this.ends.slice(0, MAX_LISTED_ENDS) });
  }
}
