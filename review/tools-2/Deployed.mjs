// A small deployment: the store, servers, and entry boxes as processes started with the command of the deploy file.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request as sendHttp } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Server } from './Server.mjs';
import { Store } from './Store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const toId = (number) => number.toString(16).padStart(16, '0');
const ZONES = ['hall-medeu', 'hall-alatau', 'hall-koktobe'];

const findPorts = async (count) => {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = createServer().listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};

export const ROUTE = {
  name: 'r-build',
  host: 'plans.example',
  'path-prefix': '/build/',
  'route-type': 'non_idempotent',
  'timeout-ms': 3000,
  'target-latency-ms': 1200,
  priority: 2,
  service: 'plan-service',
  attempts: 3,
  stretch: 2.2,
};

export class Deployed {
  boxes = [];
  servers = [];
  events = [];
  startedAt = performance.now();

  constructor({ recordFile, boxCount = 3, serverCount = 12, capacity, storeOptions = {} }) {
    Object.assign(this, { recordFile, boxCount, serverCount, storeOptions });
    this.capacity = capacity ?? { cpu: 16_000, 'mem-mb': 32_768, gpu: 0 };
    this.folder = mkdtempSync(join(tmpdir(), 'stairline-review-'));
    writeFileSync(recordFile, '');
    process.on('exit', () => this.killAll());
    for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(2));
  }

  /** Writes a line to the record, and keeps it as an event. */
  note(kind, fields = {}) {
    const atMs = Math.round(performance.now() - this.startedAt);
    this.events.push({ atMs, kind, ...fields });
    appendFileSync(this.recordFile, `${atMs} ${kind} ${JSON.stringify(fields)}\n`);
  }

  async start({ routes = [ROUTE], services, serverOptions = () => ({}), boxStore, boxAdvice } = {}) {
    this.store = new Store(this.storeOptions);
    this.putConfig(1, routes, services);
    for (let index = 0; index < this.serverCount; index += 1) {
      const server = new Server({
        id: `i-${(0x7f000000 + index * 4099).toString(16)}`,
        store: this.store,
        service: 'plan-service',
        zone: ZONES[index % ZONES.length],
        rack: `r1-${index >> 3}`,
        capacity: this.capacity,
        record: (kind, fields) => this.note(kind, fields),
        ...serverOptions(index),
      });
      await server.start();
      this.servers.push(server);
    }
    for (let index = 0; index < this.boxCount; index += 1) {
      const address = boxStore === undefined ? await this.store.listen() : await boxStore(index);
      await this.startBox(index, address, boxAdvice === undefined ? '' : await boxAdvice(index));
    }
  }

  putConfig(version, routes, services = ['plan-service']) {
    this.store.put('keyed.op', 'config', {
      version,
      routes,
      services: services.map((name) => ({
        name,
        'health-path': '/health',
        'max-connections': 64,
        protocol: 'h1',
        tls: false,
        'enforces-capacity': false,
        headroom: false,
      })),
      limits: {
        'max-header-bytes': 16_384,
        'max-body-bytes': 262_144,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15_000,
      },
    });
  }

  async startBox(index, storeAddress, advice = '') {
    const [front, ready, control, internal] = await findPorts(4);
    const zone = ZONES[index % ZONES.length];
    const name = `edge-${zone}-${index}`;
    const file = join(this.folder, `${name}.json`);
    const settings = {
      'node-name': name,
      role: 'entry',
      'machine-class': 'edge',
      serves: ['edge'],
      ip: '127.0.0.1',
      zone,
      region: 'almaty',
      zones: Object.fromEntries(ZONES.map((one) => [one, 'almaty'])),
      listen: {
        front: `127.0.0.1:${front}`,
        ready: `127.0.0.1:${ready}`,
        control: `127.0.0.1:${control}`,
      },
      'internal-ports': [internal, internal],
      seeds: [],
      bootstrap: true,
      'loss-counts': false,
      limits: {
        'cpu-share': 0.675,
        'cpu-cores': 1,
        'memory-mb': 350,
        'max-fds': 4100,
        'link-mbps': 1000,
        'disk-mb': 0,
      },
      'data-dir': null,
      discovery: 'platform',
      'entry-mode': 'vip',
      'heartbeat-ms': 1500,
      bounds: {
        'contact-ms': 3000,
        'ack-timeout-ms': 4000,
        'grace-period-s': 6,
        'config-apply-ms': 2000,
        'max-hold-ms': 10_000,
        'stop-timeout-ms': 200,
        cancel_ms: 3000,
        visible_ms: 3000,
        finish_s: 14,
        status_s: 120,
      },
      commands: 'invoke',
      advice,
      platform: {
        address: storeAddress,
        form: 'log',
        writes_per_s: 600,
        reads_per_s: 2000,
        parts: 8,
        append_ms: 4,
        part_mb_per_s: 20,
        read_mb_per_s: 80,
        record_bytes: 262_144,
        call_bytes: 2_097_152,
        keep_s: 300,
        part_mb: 200,
        ttl_min_ms: 1000,
      },
      'cloud-api': { address: '', 'rate-per-s': 60, duties: [], 'duty-per-s': 60 },
    };
    writeFileSync(file, JSON.stringify(settings));
    const box = {
      index,
      name,
      file,
      internal,
      front: { host: '127.0.0.1', port: front },
      ready,
      output: '',
      lives: 0,
    };
    this.boxes.push(box);
    this.spawnBox(box);
    return box;
  }

  spawnBox(box) {
    const child = spawn(
      process.execPath,
      ['--max-old-space-size=160', join(ROOT, 'target/stairline.cjs'), 'serve'],
      {
        cwd: ROOT,
        env: { PATH: process.env.PATH, STAIRLINE_SETTINGS: box.file },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    box.child = child;
    box.lives += 1;
    const keep = (chunk) => {
      box.output = (box.output + chunk).slice(-2_000_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      if (!this.isStopping) this.note('process ended', { box: box.name, code, signal });
      box.endedAt = performance.now();
    });
  }

  /** Returns the box that logged last that it leads; undefined before. */
  findLeader() {
    const leads = this.boxes
      .map((box) => ({ box, at: box.output.lastIndexOf('Leading.'), epoch: /./ }))
      .filter(({ at }) => at >= 0);
    const epochOf = ({ box, at }) => Number(/"?epoch"?[=:]\s*"?(\d+)/.exec(box.output.slice(at))?.[1] ?? 0);
    return leads.sort((left, right) => epochOf(right) - epochOf(left))[0]?.box;
  }

  async waitReady(timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs;
    while (performance.now() < until) {
      const states = await Promise.all(
        this.boxes.map((box) => this.call({ host: '127.0.0.1', port: box.ready }, 'GET', '/ready')),
      );
      if (states.every(({ status }) => status === 200) && this.findLeader() !== undefined) return true;
      await delay(100);
    }
    return false;
  }

  /** Sends a request on a connection of its own; status 0 means no answer. */
  call({ host, port }, method, path, body, timeoutMs = 3000) {
    return new Promise((resolve) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const headers = {
        host: 'plans.example',
        'x-stairline-deadline-ms': String(timeoutMs),
        ...(text === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
      };
      const request = sendHttp(
        { host, port, method, path, headers, agent: false, timeout: timeoutMs },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () =>
            resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() }),
          );
          response.on('error', () => resolve({ status: 0, text: 'broken' }));
        },
      );
      const timer = setTimeout(() => request.destroy(new Error('no answer')), timeoutMs);
      request.on('close', () => clearTimeout(timer));
      request.on('error', (error) => resolve({ status: 0, text: error.message }));
      request.end(text);
    });
  }

  /** Submits a job with retries at other boxes, as PROTOCOL.md says of clients. Returns the last status. */
  async submit(id, job, { tries = 5, first = 0, prefix = '/build/' } = {}) {
    let last = 0;
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const box = this.boxes[(first + attempt) % this.boxes.length];
      const { status } = await this.call(box.front, 'POST', prefix + id, job);
      this.note('POST', { id, box: box.name, status });
      last = status;
      if (status >= 200 && status < 300) return status;
      await delay(300);
    }
    return last;
  }

  async getState(id, { tries = 3, first = 0, prefix = '/build/' } = {}) {
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const box = this.boxes[(first + attempt) % this.boxes.length];
      const { status, text } = await this.call(box.front, 'GET', prefix + id);
      this.note('GET', { id, box: box.name, status, text: text.slice(0, 100) });
      if (status === 200) return JSON.parse(text).state;
      if (status === 410) return 'gone';
      await delay(200);
    }
    return 'no answer';
  }

  killAll() {
    this.isStopping = true;
    for (const { child } of this.boxes) {
      try {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      } catch {
        // It has ended.
      }
    }
  }

  stop() {
    this.killAll();
    for (const server of this.servers) server.stop();
    this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}
