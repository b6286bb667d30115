import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { AdviceStandin } from '../../packages/standins/platform/AdviceStandin';
import { ExecutorStandin } from '../../packages/standins/platform/ExecutorStandin';
import { LogStandin } from '../../packages/standins/platform/LogStandin';
import { RunChecker } from '../../packages/standins/platform/RunChecker';
import { topics } from '../../packages/serve/topics';
import { addExitCleanup } from '../fleet/addExitCleanup';
import { chooseFreePorts } from '../fleet/chooseFreePorts';
import { ManagedProcess } from '../fleet/ManagedProcess';

interface CellOptions {
  readonly boxes: number;
  /** Boxes that are not started with the others; see `startLaterBoxes`. */
  readonly laterBoxes?: number;
  readonly executors: number;
  /** Tasks of one core that an executor has room for. */
  readonly roomPerExecutor: number;
  /** Executors tell when they started, and start again under their ids; else each life has an id of its own. */
  readonly keepsIds?: boolean;
  /** So many of the first boxes have four cores; the others have `coresPerBox`. */
  readonly strongBoxes?: number;
  /** Cores that a box declares; 1 if not given. With few, a leader has other boxes relay its calls to endpoints. */
  readonly coresPerBox?: number;
  /** Further arguments of each entry process. */
  readonly args?: readonly string[];
  /** Arguments of Node for each entry process. */
  readonly nodeArgs?: readonly string[];
  /** Memory that a box declares, in megabytes, and its descriptors; not declared if not given. */
  readonly memoryMbPerBox?: number;
  readonly descriptorsPerBox?: number;
}

/** A customer in the cell's configuration. */
interface CellCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Thousandths of a core that its tasks may take in all; 0 for no limit. */
  readonly cpuMillis: number;
}

interface CellBox {
  readonly name: string;
  readonly front: string;
  readonly ready: string;
  readonly internal: string;
  readonly settingsFile: string;
  readonly logFile: string;
  process: ManagedProcess;
}

interface CellExecutor {
  readonly id: string;
  readonly address: string;
  /** Start of its life in Unix milliseconds; undefined where it does not tell it. */
  readonly bornAtMs: number | undefined;
  readonly service: string;
  readonly standin: ExecutorStandin;
}

/** How an executor comes back. */
interface CellReturn {
  readonly downMs: number;
  /** Its record follows so much later. */
  readonly recordAfterMs?: number;
  /** It ends as by a loss of power: nobody is told, and calls get no answer until it is back. */
  readonly isSilent?: boolean;
  /** Connections that are still open from before a silent end are closed as soon as it is back, and not only when they are used again. */
  readonly isResetOnReturn?: boolean;
}

interface CellAnswer {
  readonly status: number;
  readonly body: { readonly state?: string; readonly pending?: number; readonly error?: string };
  readonly retryAfter: number | undefined;
  readonly tookMs: number;
}

const HOST = '127.0.0.1';
/** Callers, readiness, other boxes, and the box's own way to the log. */
const BOX_PORTS = 4;
const PROGRAM = 'dist/stairline.cjs';
const SERVICE = 'service-a';
const OPEN_QUEUE = 'open';
const QUEUE_HOST = 'jobs.example';
const CALL_TIMEOUT_MS = 8000;
const POLL_MS = 40;
const STRONG_CORES = 4;
const CORE_MILLIS = 1000;
const MEMORY_PER_TASK_MB = 100;
/** How long an executor is away after a crash. */
const RETURN_MS = 1000;
const OPERATOR_TOPIC = 'keyed.op';
const ENDPOINTS_TOPIC = 'keyed.servers';
/** Maximum size of the kept output of one box; the last part is kept. */
const MAX_KEPT_LOG_BYTES = 8_000_000;

/** One cell on this machine: real entry processes, and stand-ins for log, endpoints and advice. */
export class Cell {
  readonly runChecker: RunChecker;
  readonly boxes: CellBox[] = [];
  readonly executors: CellExecutor[] = [];
  /** Executors that tasks have ended. */
  crashCount = 0;
  private newestBirthMs = 0;
  private laterAddresses: (readonly string[])[] = [];
  private isStopped = false;
  private readonly folder = mkdtempSync(join(tmpdir(), 'stairline-cell-'));
  private readonly removeFolderCleanup = addExitCleanup(() => this.removeFolder());

  private constructor(
    private readonly options: CellOptions,
    readonly log: LogStandin,
    readonly advice: AdviceStandin,
    private readonly adviceAddress: string,
  ) {
    this.runChecker = new RunChecker(options.roomPerExecutor);
  }

  /** Creates a cell, starts everything, and waits until a box takes callers. */
  static async create(options: CellOptions): Promise<Cell> {
    const { boxes, laterBoxes = 0, executors } = options;
    const ports = await chooseFreePorts(1 + (boxes + laterBoxes) * BOX_PORTS + executors);
    const [adviceAddress = '', ...others] = ports.map((port) => `${HOST}:${port}`);
    const cell = new Cell(options, new LogStandin(), new AdviceStandin(adviceAddress), adviceAddress);
    await cell.advice.start();
    cell.writeConfiguration(1);
    for (let index = 0; index < executors; index += 1) {
      await cell.startExecutor(`i-${index}`, others.pop()!);
    }
    const boxAddresses = Array.from({ length: boxes + laterBoxes }, () => others.splice(0, BOX_PORTS));
    cell.laterAddresses = boxAddresses.splice(boxes);
    for (const addresses of boxAddresses) {
      await cell.startNewBox(addresses);
    }
    try {
      await Promise.all(cell.boxes.map((box) => cell.startReady(box)));
    } catch (error) {
      await cell.stop();
      throw error;
    }
    return cell;
  }

  /** Stops everything. With `keptLogs`, the output of the boxes is first copied to that directory. */
  async stop(keptLogs?: string): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.boxes.map(({ process }) => process.stop()));
    if (keptLogs !== undefined) {
      this.writeKeptLogs(keptLogs);
    }
    await Promise.all(this.executors.map(({ standin }) => standin.stop()));
    await this.advice.stop();
    await this.log.stop();
    this.removeFolder();
    this.removeFolderCleanup();
  }

  /**
   * Writes a version of the configuration: queue `jobs`, and `advised` and `advised-slowly`, which need advice; all on one service. With customers all queues need one
   * of their keys, but `open`.
   */
  writeConfiguration(
    version: number,
    extra: readonly string[] = [],
    customers?: readonly CellCustomer[],
    service = SERVICE,
  ): void {
    const route = (name: string): object => ({
      name,
      host: QUEUE_HOST,
      'path-prefix': `/${name}/`,
      'route-type': 'non_idempotent',
      'timeout-ms': 3000,
      'target-latency-ms': 250,
      priority: name === 'urgent' ? 0 : 1,
      service,
      attempts: 2,
      stretch: 1.5,
      'auth-exempt': name === OPEN_QUEUE,
    });
    const advice = { 'decision-ms': 5, 'period-ms': 1, 'validity-ms': 2500 };
    const longAdvice = { ...advice, 'decision-ms': 528 };
    const routes = [
      ...['jobs', 'urgent', ...extra].map(route),
      { ...route('advised'), advice },
      { ...route('advised-slowly'), advice: longAdvice },
    ];
    const tenants = customers?.map(({ name, keys, cpuMillis }) => ({
      name,
      'api-keys': keys,
      weight: 1,
      'upper-limit': { cpu: cpuMillis, 'mem-mb': 0, gpu: 0 },
    }));
    const known = tenants === undefined ? {} : { tenants };
    const configuration = { version, routes, services: [{ name: service }], limits: {}, ...known };
    this.log.writeRecord(OPERATOR_TOPIC, 'config', configuration);
  }

  async startExecutor(id: string, address: string, recordAfterMs = 0, service = SERVICE): Promise<void> {
    const handleCrash = (): void => void this.handleCrash(id);
    const bornAtMs = this.options.keepsIds === true ? this.createBirth() : undefined;
    const born = bornAtMs === undefined ? {} : { bornAtMs };
    const standin = new ExecutorStandin({ id, address, runChecker: this.runChecker, handleCrash, ...born });
    await standin.start();
    this.executors.push({ id, address, bornAtMs, service, standin });
    await waitForDelay(recordAfterMs);
    this.writeExecutor(id, address, 'ready');
  }

  /** Ends an executor; another life of it is there after a while. */
  async startExecutorAgain(
    id: string,
    { downMs, recordAfterMs = 0, isSilent, isResetOnReturn }: CellReturn,
  ): Promise<void> {
    const index = this.executors.findIndex((executor) => executor.id === id);
    const ended = this.executors[index];
    if (ended === undefined) {
      return;
    }
    this.executors.splice(index, 1);
    if (isSilent === true) {
      await ended.standin.stopSilently(downMs);
    } else {
      await ended.standin.stop();
      await waitForDelay(downMs);
    }
    if (!this.isStopped) {
      const nextId = this.options.keepsIds === true ? id : `${id}-again`;
      await this.startExecutor(nextId, ended.address, recordAfterMs, ended.service);
    }
    if (isResetOnReturn === true) {
      await ended.standin.stop();
    }
  }

  /**
   * Ends an executor without a word, as a loss of power does. Its record is deleted and another executor appears under a new id after a while.
   */
  async startExecutorReplacement(id: string, downMs: number): Promise<void> {
    const index = this.executors.findIndex((executor) => executor.id === id);
    const ended = this.executors[index];
    if (ended === undefined) {
      return;
    }
    this.executors.splice(index, 1);
    await ended.standin.stop();
    await waitForDelay(downMs);
    if (!this.isStopped) {
      this.log.writeRecord(ENDPOINTS_TOPIC, id, '');
      await this.startExecutor(`${id}-next`, ended.address, 0, ended.service);
    }
  }

  /** Drops the history of all topics; the newest record of each key stays. */
  runCompaction(): void {
    [OPERATOR_TOPIC, ENDPOINTS_TOPIC, ...Object.values(topics)].forEach((topic) =>
      this.log.getTopic(topic).runCompaction(),
    );
  }

  /** Counts the further tasks of one core that the executors have room for. */
  countFreeRoom(): number {
    const { roomPerExecutor } = this.options;
    return this.executors.reduce(
      (sum, { standin }) => sum + Math.max(0, roomPerExecutor - standin.countRuns()),
      0,
    );
  }

  private async handleCrash(id: string): Promise<void> {
    this.crashCount += 1;
    await this.startExecutorAgain(id, { downMs: RETURN_MS });
  }

  /** No two lives begin in the same millisecond. */
  private createBirth(): number {
    this.newestBirthMs = Math.max(this.newestBirthMs + 1, Date.now());
    return this.newestBirthMs;
  }

  /** `remainingMs` is how long a draining one stays at least. */
  writeExecutor(id: string, address: string, state: 'ready' | 'draining', remainingMs?: number): void {
    const { roomPerExecutor } = this.options;
    const { bornAtMs, service = SERVICE } = this.executors.find((executor) => executor.id === id) ?? {};
    this.log.writeRecord(ENDPOINTS_TOPIC, id, {
      service,
      address,
      zone: 'hall-a',
      version: 'v1',
      slots: 8,
      state,
      'cold-remaining-ms': 0,
      capacity: {
        cpu: roomPerExecutor * CORE_MILLIS,
        'mem-mb': roomPerExecutor * MEMORY_PER_TASK_MB,
        gpu: 0,
      },
      labels: ['a', 'r1-1'],
      'call-seq': 1,
      ...(bornAtMs === undefined ? {} : { born: bornAtMs }),
      ...(remainingMs === undefined ? {} : { 'remaining-ms': remainingMs }),
    });
  }

  /** Starts the boxes that were left for later, and waits until they take callers. */
  async startLaterBoxes(): Promise<void> {
    const first = this.boxes.length;
    for (const addresses of this.laterAddresses.splice(0)) {
      await this.startNewBox(addresses);
    }
    await Promise.all(this.boxes.slice(first).map((box) => this.startReady(box)));
  }

  /** Starts a box again under its name. */
  startBox(box: CellBox): void {
    box.process = this.createProcess(box.name, box.settingsFile, box.logFile);
  }

  /** Waits until the box takes callers. */
  async startReady(box: CellBox): Promise<void> {
    await this.startUntil(() => this.isTakingCallers(box));
  }

  /** What the box answers to the balancer. */
  async isTakingCallers(box: CellBox): Promise<boolean> {
    const answer = await request(`http://${box.ready}/ready`).catch(() => undefined);
    await answer?.body.dump();
    return answer?.statusCode === 200;
  }

  /** The box's own figures, in the text form that collectors read. */
  async readMetrics(box: CellBox): Promise<string> {
    const answer = await request(`http://${box.internal}/metrics`);
    return answer.body.text();
  }

  /** The box that leads, by its own log. */
  async startLeader(): Promise<CellBox> {
    let leader: CellBox | undefined;
    await this.startUntil(() => {
      leader = this.readLeaders()[0];
      return Promise.resolve(leader !== undefined);
    });
    return leader!;
  }

  /** Boxes that take themselves for the leader, by their own logs. */
  readLeaders(): readonly CellBox[] {
    return this.boxes.filter((box) => box.process.isAlive() && this.isLeading(box));
  }

  async sendJob(box: CellBox, id: string, body: unknown, queue = 'jobs', key?: string): Promise<CellAnswer> {
    return this.sendCall(
      box,
      'POST',
      `/${queue}/${id}`,
      typeof body === 'string' ? body : JSON.stringify(body),
      key === undefined ? undefined : `Token ${key}`,
    );
  }

  async readState(box: CellBox, id: string, queue = 'jobs'): Promise<CellAnswer> {
    return this.sendCall(box, 'GET', `/${queue}/${id}`);
  }

  async cancelJob(box: CellBox, id: string, queue = 'jobs'): Promise<CellAnswer> {
    return this.sendCall(box, 'DELETE', `/${queue}/${id}`);
  }

  async sendCall(
    box: CellBox,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: string,
    authorization?: string,
  ): Promise<CellAnswer> {
    const startedAt = performance.now();
    const answer = await request(`http://${box.front}${path}`, {
      method,
      headers: {
        host: QUEUE_HOST,
        'content-type': 'application/json',
        'x-stairline-deadline-ms': '3000',
        ...(authorization === undefined ? {} : { authorization }),
      },
      body: body ?? null,
      headersTimeout: CALL_TIMEOUT_MS,
    });
    const text = await answer.body.text();
    const retryAfter = answer.headers['retry-after'];
    return {
      status: answer.statusCode,
      body: (text === '' ? {} : JSON.parse(text)) as CellAnswer['body'],
      retryAfter: retryAfter === undefined ? undefined : Number(retryAfter),
      tookMs: performance.now() - startedAt,
    };
  }

  /** Waits until a job has a state, as a box shows it. */
  async startState(
    box: CellBox,
    id: string,
    state: string,
    timeoutMs = 15_000,
    queue = 'jobs',
  ): Promise<void> {
    await this.startUntil(
      async () => (await this.readState(box, id, queue).catch(() => undefined))?.body.state === state,
      timeoutMs,
    );
  }

  /** Waits until something holds. */
  async startUntil(isTrue: () => Promise<boolean>, timeoutMs = 15_000): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (!(await isTrue())) {
      if (performance.now() > until) {
        throw new Error(`It did not come to hold in ${timeoutMs} ms.`);
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  private isLeading(box: CellBox): boolean {
    const output = box.process.readOutput();
    return output.lastIndexOf('"Leading."') > output.lastIndexOf('"Stopped leading."');
  }

  private async startNewBox(addresses: readonly string[]): Promise<void> {
    const name = `box-${this.boxes.length}`;
    const [front, ready, internal, log] = addresses as [string, string, string, string];
    await this.log.startListener(name, log);
    const port = Number(internal.split(':')[1]);
    const settingsFile = join(this.folder, `${name}.json`);
    const { memoryMbPerBox, descriptorsPerBox } = this.options;
    const isStrong = this.boxes.length < (this.options.strongBoxes ?? 0);
    const settings = {
      'node-name': name,
      limits: {
        'cpu-share': isStrong ? STRONG_CORES : (this.options.coresPerBox ?? 1),
        ...(memoryMbPerBox === undefined ? {} : { 'memory-mb': memoryMbPerBox }),
        ...(descriptorsPerBox === undefined ? {} : { 'max-fds': descriptorsPerBox }),
      },
      zone: 'hall-a',
      ip: HOST,
      listen: { front, ready },
      'internal-ports': [port, port],
      advice: this.adviceAddress,
      platform: { address: log, call_bytes: 2_097_152 },
      'a-field-of-later': true,
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    const logFile = join(this.folder, `${name}.log`);
    const process = this.createProcess(name, settingsFile, logFile);
    this.boxes.push({ name, front, ready, internal, settingsFile, logFile, process });
  }

  private removeFolder(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }

  private writeKeptLogs(directory: string): void {
    mkdirSync(directory, { recursive: true });
    for (const { name, logFile } of this.boxes) {
      writeFileSync(join(directory, `${name}.log`), readFileSync(logFile).subarray(-MAX_KEPT_LOG_BYTES));
    }
  }

  private createProcess(name: string, settingsFile: string, logFile: string): ManagedProcess {
    return new ManagedProcess({
      name,
      args: [
        ...(this.options.nodeArgs ?? []),
        PROGRAM,
        'serve',
        '--settings',
        settingsFile,
        ...(this.options.args ?? []),
      ],
      logFile,
    });
  }
}
