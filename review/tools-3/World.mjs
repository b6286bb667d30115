/** A small deployment: the project's entry processes as the deploy file starts them, beside stand-ins of the store, the executors and the clients. */
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { appendFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Executor } from './Executor.mjs';
import { Store } from './Store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const SERVICE = 'plan-service';
const ZONES = ['hall-medeu', 'hall-alatau', 'hall-koktobe'];
const HOST = 'plans.example';
const PREFIX = '/plans/';

export const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const findFreePorts = async (count) => {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};

export class World {
  constructor(caseFolder) {
    this.recordFile = join(caseFolder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startedAt = Date.now();
    this.folder = mkdtempSync(join(tmpdir(), 'stairline-case-'));
    this.store = new Store();
    this.boxes = [];
    this.executors = [];
    this.agent = new Agent({ keepAlive: false });
    // No process is left behind, however the script ends.
    process.once('SIGTERM', () => process.exit(2));
    process.once('SIGINT', () => process.exit(2));
    process.once('exit', () => this.boxes.forEach(({ child }) => child?.kill('SIGKILL')));
  }

  record(what, fields = {}) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${at} ${what} ${JSON.stringify(fields)}\n`);
  }

  async startStore() {
    await this.store.start();
    this.putConfiguration(1);
  }

  putConfiguration(version, changes = {}) {
    this.store.put('keyed.op', 'config', {
      version,
      routes: [
        {
          name: 'r-plans',
          host: HOST,
          'path-prefix': PREFIX,
          'route-type': 'non_idempotent',
          'timeout-ms': 3000,
          'target-latency-ms': 2500,
          priority: 1,
          service: SERVICE,
          attempts: 2,
          stretch: 2.2,
          ...changes,
        },
      ],
      services: [
        {
          name: SERVICE,
          'health-path': '/health',
          'max-connections': 64,
          protocol: 'h1',
          tls: false,
          'enforces-capacity': false,
          headroom: false,
        },
      ],
      limits: {
        'max-header-bytes': 16384,
        'max-body-bytes': 262144,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
      },
    });
  }

  async addExecutors(count, getLabels = (index) => ['a', `r${(index % 3) + 1}-1`]) {
    for (let index = 0; index < count; index += 1) {
      const executor = new Executor({
        store: this.store,
        name: `executor-${index + 1}`,
        service: SERVICE,
        zone: ZONES[index % ZONES.length],
        labels: getLabels(index),
        cpu: 16000,
        memory: 32768,
        record: (what, fields) => this.record(what, fields),
      });
      await executor.start();
      this.executors.push(executor);
    }
  }

  /** Prepares a box and starts its process. */
  async addBox(index, limits = {}) {
    const [front, ready, internal] = await findFreePorts(3);
    const name = `edge-${ZONES[index % ZONES.length]}-${index + 1}`;
    const settingsFile = join(this.folder, `${name}.json`);
    const zones = Object.fromEntries(ZONES.map((zone) => [zone, 'almaty']));
    const settings = {
      'node-name': name,
      role: 'entry',
      'machine-class': 'edge',
      serves: ['edge'],
      ip: '127.0.0.1',
      zone: ZONES[index % ZONES.length],
      region: 'almaty',
      zones,
      listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
      'internal-ports': [internal, internal],
      seeds: [],
      bootstrap: true,
      limits: {
        'cpu-share': 0.675,
        'cpu-cores': 1,
        'memory-mb': 350,
        'max-fds': 4100,
        'link-mbps': 1000,
        ...limits,
      },
      'heartbeat-ms': 1500,
      bounds: { 'grace-period-s': 6, 'max-hold-ms': 10000, 'stop-timeout-ms': 200, 'lease-ms': 3000 },
      commands: 'invoke',
      platform: {
        address: this.store.address,
        form: 'log',
        writes_per_s: 600,
        reads_per_s: 2000,
        parts: 8,
        append_ms: 4,
        record_bytes: 262144,
        call_bytes: 2097152,
        keep_s: 20,
        part_mb: 200,
        ttl_min_ms: 1000,
      },
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    const box = { name, front, ready, settingsFile, lives: 0, child: undefined, exits: [] };
    this.boxes.push(box);
    this.startBox(box);
    return box;
  }

  startBox(box) {
    box.lives += 1;
    const child = spawn(process.execPath, ['--max-old-space-size=160', 'target/stairline.cjs', 'serve'], {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        STAIRLINE_SETTINGS: box.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    box.child = child;
    mkdirSync(this.folder, { recursive: true });
    const logFile = join(this.folder, `${box.name}-${box.lives}.log`);
    const keep = (chunk) => appendFileSync(logFile, chunk);
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      if (box.child === child) {
        box.child = undefined;
      }
      box.exits.push({ code, signal, isSent: child.isSignalled === true });
      this.record('box ended', {
        box: box.name,
        life: box.lives,
        code,
        signal,
        isSent: child.isSignalled === true,
      });
    });
    this.record('box started', { box: box.name, life: box.lives, pid: child.pid });
  }

  signalBox(box, signal) {
    const { child } = box;
    if (child !== undefined) {
      if (signal !== 'SIGSTOP' && signal !== 'SIGCONT') {
        child.isSignalled = true;
      }
      this.record('signal', { box: box.name, signal });
      child.kill(signal);
    }
  }

  /** Sends a call to a box; the status is 0 without an answer. */
  call(box, method, path, body, timeoutMs = 3000) {
    return new Promise((resolve) => {
      const call = request(
        {
          host: '127.0.0.1',
          port: box.front,
          method,
          path: `${PREFIX}${path}`,
          agent: this.agent,
          headers: {
            host: HOST,
            'content-type': 'application/json',
            'x-stairline-deadline-ms': String(timeoutMs),
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () => {
            clearTimeout(timer);
            const text = Buffer.concat(chunks).toString('utf8');
            let value;
            try {
              value = JSON.parse(text);
            } catch {
              value = undefined;
            }
            resolve({ status: response.statusCode, value });
          });
          response.on('error', () => resolve({ status: 0 }));
        },
      );
      const timer = setTimeout(() => call.destroy(), timeoutMs);
      call.on('error', () => {
        clearTimeout(timer);
        resolve({ status: 0 });
      });
      call.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  async isReady(box) {
    return new Promise((resolve) => {
      const call = request(
        { host: '127.0.0.1', port: box.ready, path: '/ready', agent: this.agent },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.setTimeout(1000, () => call.destroy());
      call.on('error', () => resolve(false));
      call.end();
    });
  }

  async waitForReady(timeoutMs) {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const ready = await Promise.all(this.boxes.map((box) => this.isReady(box)));
      if (ready.every((one) => one)) {
        return true;
      }
      await delay(100);
    }
    return false;
  }

  createJobId() {
    return randomBytes(8).toString('hex');
  }

  /** Submits a job, with the client's retries after no answer, 502, 503, 504 or 429, at other boxes; true once it is accepted. */
  async submit(id, job, tries = 5) {
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const box = this.boxes[attempt % this.boxes.length];
      const { status } = await this.call(box, 'POST', id, job);
      this.record('submit', { id, box: box.name, status });
      if (status === 200) {
        return true;
      }
      await delay(300);
    }
    return false;
  }

  async stop() {
    for (const executor of this.executors) {
      executor.stop();
    }
    const ended = this.boxes
      .filter((box) => box.child !== undefined)
      .map((box) => {
        const { child } = box;
        child.isSignalled = true;
        const exited = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        return exited;
      });
    await Promise.all(ended);
    this.store.stop();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    } else {
      console.log(`logs: ${this.folder}`);
    }
  }
}
