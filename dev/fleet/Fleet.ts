import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Agent, request } from 'undici';
import type { EntryStatus } from '../../packages/entry/EntryStatus';
import type { EndpointFault } from '../../packages/standins/EndpointFault';
import type { EndpointStats } from '../../packages/standins/EndpointStats';
import type { StandinBox } from '../../packages/standins/StandinBox';
import type { StandinFaults } from '../../packages/standins/StandinFaults';
import type { BoxListing } from '../../packages/platform/BoxListing';
import type { CallResult } from './CallResult';
import { chooseFreePorts } from './chooseFreePorts';
import { createFleetPlan } from './createFleetPlan';
import type { FleetOptions } from './FleetOptions';
import type { FleetPlan } from './FleetPlan';
import { ManagedProcess } from './ManagedProcess';

interface CallOptions {
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
}

const CONNECTIONS_PER_BOX = 512;

/** Runs a small deployment as separate processes on this machine, and brings about failures. For the demo and tests. */
export class Fleet {
  private readonly processes = new Map<string, ManagedProcess>();
  private readonly agent = new Agent({ connections: CONNECTIONS_PER_BOX, headersTimeout: 0, bodyTimeout: 0 });
  private boxes: readonly StandinBox[];

  private constructor(
    private readonly plan: FleetPlan,
    private readonly options: FleetOptions,
  ) {
    this.boxes = plan.boxes;
  }

  /** Writes the settings of a deployment into a new folder. */
  static async create(options: FleetOptions): Promise<Fleet> {
    const entryCount = options.halls.reduce((sum, hall) => sum + hall.entries, 0);
    const workerCount = options.halls.reduce((sum, hall) => sum + hall.workers, 0);
    const ports = await chooseFreePorts(1 + entryCount * 3 + workerCount);
    const folder = mkdtempSync(join(tmpdir(), 'stairline-'));
    mkdirSync(join(folder, 'logs'));
    const plan = createFleetPlan(options, ports, folder);
    writeFileSync(plan.settingsFile, JSON.stringify(plan.settings));
    writeFileSync(plan.boxesFile, JSON.stringify(plan.boxes));
    return new Fleet(plan, options);
  }

  /** Starts the stand-ins and all entry processes, and waits until every entry process may place. */
  async start(): Promise<void> {
    await this.startStandins();
    await Promise.all(this.readBoxes().map((box) => this.startEntry(box)));
    await this.startWait(async () =>
      (await this.readAllStatus()).every(
        (status) =>
          status.workers.unsettled === 0 &&
          status.hasEvidence &&
          status.table.isShared &&
          status.workers.known > 0,
      ),
    );
  }

  async startStandins(): Promise<void> {
    const { platform, boxesFile } = this.plan;
    const lag = String(this.options.listLagMs ?? 300);
    await this.startProcess(
      'platform',
      ['dist/dev.cjs', 'platform', '--address', platform, '--list-lag-ms', lag],
      'ready',
    );
    await this.sendBoxes(this.boxes);
    await this.startProcess(
      'endpoints',
      ['dist/dev.cjs', 'endpoints', '--boxes', boxesFile, '--platform', platform],
      'ready',
    );
  }

  async startEntry(box: string, extra: readonly string[] = []): Promise<void> {
    const args = [
      'dist/stairline.cjs',
      'entry',
      '--settings',
      this.plan.settingsFile,
      '--box',
      box,
      ...extra,
    ];
    await this.startProcess(box, args, 'Started.');
  }

  /** Entry boxes in the settings' order. */
  readBoxes(): readonly string[] {
    return this.plan.settings.entries.map((entry) => entry.box);
  }

  readSettingsFile(): string {
    return this.plan.settingsFile;
  }

  readFolder(): string {
    return this.plan.folder;
  }

  readProcess(name: string): ManagedProcess {
    const found = this.processes.get(name);
    if (found === undefined) {
      throw new Error(`no process ${name}`);
    }
    return found;
  }

  /** Sends one request as a caller of a box. Never rejects. */
  async sendCall(box: string, row: string, options: CallOptions = {}): Promise<CallResult> {
    const startedAt = performance.now();
    const address = this.readEntry(box).callers;
    try {
      const response = await request(`http://${address}/v1/workloads/${row}`, {
        method: 'POST',
        headers: { 'content-type': 'text/plain', ...options.headers },
        body: options.body ?? 'body',
        dispatcher: this.agent,
        ...(options.timeoutMs === undefined ? {} : { signal: AbortSignal.timeout(options.timeoutMs) }),
      });
      const body = await response.body.text();
      const retryAfter = response.headers['retry-after'];
      return {
        status: response.statusCode,
        outcome: String(response.headers['x-stairline-outcome']),
        request: String(response.headers['x-stairline-request']),
        box,
        retryAfter: retryAfter === undefined ? undefined : Number(retryAfter),
        body,
        tookMs: performance.now() - startedAt,
      };
    } catch (thrown) {
      const tookMs = performance.now() - startedAt;
      return {
        status: 0,
        outcome: 'cut',
        request: '',
        box,
        retryAfter: undefined,
        body: String(thrown),
        tookMs,
      };
    }
  }

  async readStatus(box: string): Promise<EntryStatus | undefined> {
    try {
      const response = await request(`http://${this.readEntry(box).operators}/status`, {
        signal: AbortSignal.timeout(1000),
      });
      return (await response.body.json()) as EntryStatus;
    } catch {
      return undefined;
    }
  }

  /** The metrics of a box as text. */
  async readMetrics(box: string): Promise<string> {
    const response = await request(`http://${this.readEntry(box).operators}/metrics`);
    return response.body.text();
  }

  /** Statuses of the boxes that answer. */
  async readAllStatus(): Promise<readonly EntryStatus[]> {
    const statuses = await Promise.all(this.readBoxes().map((box) => this.readStatus(box)));
    return statuses.filter((status) => status !== undefined);
  }

  /** What the endpoints have witnessed. */
  async readRecords(): Promise<readonly EndpointStats[]> {
    return Promise.all(
      this.plan.boxes.map(async (box) => {
        const response = await request(`http://${box.address}/standin`, { dispatcher: this.agent });
        return (await response.body.json()) as EndpointStats;
      }),
    );
  }

  /** Sends a steering call to the platform stand-in. */
  async sendFaults(faults: Partial<StandinFaults>): Promise<void> {
    await this.sendSteering('faults', faults);
  }

  /** How often the platform stand-in was called. */
  async readPlatformCounts(): Promise<{ appends: number; reads: number; calls: number }> {
    const response = await request(`http://${this.plan.platform}/standin`);
    return (await response.body.json()) as { appends: number; reads: number; calls: number };
  }

  async sendEndpointFault(worker: string, fault: EndpointFault): Promise<void> {
    const box = this.plan.boxes.find((known) => known.worker === worker);
    const body = JSON.stringify(fault);
    const response = await request(`http://${box?.address}/standin/fault`, { method: 'POST', body });
    await response.body.dump();
  }

  /** Marks a worker in the platform's list. */
  async sendBoxState(worker: string, state: BoxListing['state']): Promise<void> {
    this.boxes = this.boxes.map((box) => (box.worker === worker ? { ...box, state } : box));
    await this.sendBoxes(this.boxes);
  }

  async sendTrim(stream: string, first: number): Promise<void> {
    await this.sendSteering('trim', { stream, first });
  }

  /** Calls an operators' path of a box. */
  async sendOperator<Answer>(box: string, path: string, body?: unknown): Promise<Answer> {
    const response = await request(`http://${this.readEntry(box).operators}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(20_000),
    });
    return (await response.body.json()) as Answer;
  }

  /** Waits until a check holds; rejects after `limitMs`. */
  async startWait(check: () => Promise<boolean>, limitMs = 30_000): Promise<number> {
    const startedAt = performance.now();
    while (!(await check())) {
      if (performance.now() - startedAt > limitMs) {
        throw new Error(`not reached within ${limitMs} ms; logs in ${this.plan.folder}`);
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    return performance.now() - startedAt;
  }

  /** Ends all processes of the fleet. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.values()].map((managed) => managed.stop()));
    await this.agent.destroy();
  }

  private readEntry(box: string): FleetPlan['settings']['entries'][number] {
    const entry = this.plan.settings.entries.find((known) => known.box === box);
    if (entry === undefined) {
      throw new Error(`no entry box ${box}`);
    }
    return entry;
  }

  private async startProcess(name: string, args: readonly string[], ready: string): Promise<void> {
    const logFile = join(this.plan.folder, 'logs', `${name}.log`);
    const managed = new ManagedProcess({ name, args, logFile });
    this.processes.set(name, managed);
    await managed.startWait(ready);
  }

  private async sendBoxes(boxes: readonly StandinBox[]): Promise<void> {
    await this.sendSteering('boxes', boxes);
  }

  private async sendSteering(path: string, value: unknown): Promise<void> {
    const response = await request(`http://${this.plan.platform}/standin/${path}`, {
      method: 'POST',
      body: JSON.stringify(value),
    });
    await response.body.dump();
  }
}
