// Stand-in of an executor, as PROTOCOL.md describes it. It does not guard its capacity. The spec of a task is `ms=N`: it ends `done` after N ms.
import { createServer } from 'node:http';

const FAIL_AFTER_MS = 60;

export class Server {
  runs = new Map();
  ended = new Map();
  ends = [];
  endCount = 0;
  token = 0;
  expiresAt = Infinity;
  waiters = new Set();
  startedAt = performance.now();
  /** True while the server fails all that it starts. */
  isFailing = false;

  /** `record(line)` gets what the executor does; `decide(path, body)` may return 'silent', or a delay in ms, for a call. */
  constructor({
    id,
    store,
    service,
    zone,
    rack,
    capacity,
    record,
    decide = () => undefined,
    refuse,
    heartbeatMs = 1500,
  }) {
    Object.assign(this, { id, store, service, zone, rack, capacity, record, decide, refuse, heartbeatMs });
  }

  async start(port = 0) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => this.server.listen(port, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), this.heartbeatMs);
  }

  beat() {
    this.seq = (this.seq ?? 0) + 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-remaining-ms': 0,
      capacity: this.capacity,
      labels: ['a', this.rack],
      'clock-ms': this.clock(),
      'call-seq': this.seq,
    });
  }

  stop() {
    clearInterval(this.timer);
    clearTimeout(this.leaseTimer);
    for (const run of this.runs.values()) clearTimeout(run.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  clock() {
    return Math.round(performance.now() - this.startedAt);
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}');
    const fault = this.decide(request.url, body, this);
    if (fault === 'silent') return;
    const send = (status, value = {}) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ 'clock-ms': this.clock(), ...value }));
    };
    if (request.headers['x-stairline-expect-instance'] !== this.id) return send(421);
    if (typeof fault === 'number') await new Promise((resolve) => setTimeout(resolve, fault));
    const token = body['fencing-token'] ?? 0;
    if (token < this.token) return send(409, { reason: 'fence' });
    this.token = token;
    if (request.url === '/run-start') return this.startRun(body, send);
    if (request.url === '/run-stop') return this.stopRun(body, send);
    if (request.url === '/hold') return this.hold(body, send);
    return send(request.url === '/pace' ? 200 : 404);
  }

  extendLease(expires) {
    if (expires === undefined) return;
    const limited = Math.min(expires, this.clock() + 10_000);
    this.expiresAt = this.expiresAt === Infinity ? limited : Math.max(this.expiresAt, limited);
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.checkLease(), Math.max(0, this.expiresAt - this.clock()) + 1);
  }

  checkLease() {
    if (this.clock() < this.expiresAt) return this.extendLease(this.expiresAt);
    for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
  }

  startRun(body, send) {
    const { task, run, spec, 'expires-ms': expires } = body;
    const known = this.runs.get(task);
    if (known?.run === run) return send(200);
    if (expires <= this.clock()) return send(409, { reason: 'late' });
    const refusal = this.refuse?.(body, this);
    if (refusal !== undefined) return send(409, { reason: refusal });
    this.extendLease(expires);
    if (run <= (this.ended.get(task) ?? 0) || known !== undefined) return send(409, { reason: 'old' });
    const started = { task, run, at: performance.now() };
    started.ms = Number(/ms=(\d+)/.exec(spec)?.[1] ?? 500);
    this.runs.set(task, started);
    this.record('start', { task, run, server: this.id });
    const how = this.isFailing ? 'failed' : 'done';
    started.timer = setTimeout(() => this.end(started, how), this.isFailing ? FAIL_AFTER_MS : started.ms);
    return send(200);
  }

  stopRun({ task, run }, send) {
    const known = this.runs.get(task);
    if (known !== undefined && known.run <= run) this.end(known, 'stopped');
    this.ended.set(task, Math.max(run, this.ended.get(task) ?? 0));
    return send(200);
  }

  end(run, how) {
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    this.ended.set(run.task, Math.max(run.run, this.ended.get(run.task) ?? 0));
    this.endCount += 1;
    this.ends.push([this.endCount, run.task, run.run, how, '']);
    this.record('end', { task: run.task, run: run.run, how, server: this.id });
    for (const wake of this.waiters) wake();
    this.waiters.clear();
  }

  async hold({ 'expires-ms': expires, 'last-seen': lastSeen = 0, 'wait-ms': waitMs = 0 }, send) {
    this.extendLease(expires);
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(2000, waitMs));
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const running = [...this.runs.values()].map((run) => [
      run.task,
      run.run,
      '',
      Math.min(99, Math.round(((performance.now() - run.at) * 100) / run.ms)),
      0,
    ]);
    return send(200, { running, 'end-time': this.ends.slice(0, 500) });
  }
}
