import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { readJsonBody } from '../readJsonBody';
import { sendJson } from '../sendJson';
import { startListening } from '../startListening';
import type { ExecutorFault } from './ExecutorFault';
import type { ExecutorRun } from './ExecutorRun';
import type { RunWitness } from './RunWitness';
import { SilentSockets } from './SilentSockets';
import { ticketTexts } from './ticketTexts';
import { Waiters } from './Waiters';

interface ExecutorStandinOptions {
  readonly id: string;
  /** Start of this life in Unix milliseconds, told in lists of runs; without it the id stands for one life. */
  readonly bornAtMs?: number;
  readonly address: string;
  readonly witness: RunWitness;
  /** A task has ended the endpoint; nothing is answered from then on. */
  readonly handleCrash?: () => void;
}

interface OrderWire {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly 'expires-ms'?: number;
  readonly 'fencing-token'?: number;
  readonly 'last-seen'?: number;
  readonly 'wait-ms'?: number;
  readonly ticket?: string;
}

type EndRow = [number: number, task: string, run: number, how: string, saved: string];
type Handler = (body: OrderWire, response: ServerResponse) => Promise<void> | void;

const LATE_START_MS = 1500;
/** Beyond the longest time limit of an order. */
const LATE_ANSWER_MS = 700;
const SLOW_FACTOR = 4;
const LASTING = 'lasts';
const CRASHING = 'crashes';
const CRASH_AFTER_MS = 10;
const HUNDRED = 100;

/**
 * Stands in for one endpoint that takes orders in the form of the platform's pages: it guards no capacity, obeys the highest
 * fencing token, kills everything when its lease ends, and lists each end until it is acknowledged. It is one life: its clock
 * and its numbers of ends begin anew, and it knows nothing of those before. How long a task runs
 * stands in its spec, in milliseconds; `lasts` runs until it is stopped, `crashes` ends the endpoint.
 */
export class ExecutorStandin {
  private readonly runs = new Map<string, ExecutorRun>();
  private readonly stopped = new Map<string, number>();
  private ends: EndRow[] = [];
  private endCount = 0;
  /** Ends up to this number happened before a lease that has run out. */
  private lapsedUpTo = 0;
  private token = 0;
  private expiresAt = Infinity;
  private leaseTimer: NodeJS.Timeout | undefined;
  private fault: ExecutorFault = 'none';
  /** The life has ended: what comes on connections that were still being accepted finds nobody. */
  private isOver = false;
  private expiredTicketCount = 0;
  private server: Server | undefined;
  private readonly waiters = new Waiters();
  private readonly startedAt = performance.now();
  /** What the witness calls this life. */
  private readonly life: string;
  /** Ends up to this number were in an answer. */
  private listedUpTo = 0;
  private readonly sockets = new SilentSockets();

  private readonly handlers: Readonly<Record<string, Handler>> = {
    '/run-start': (body, response) => this.handleStart(body, response),
    '/run-stop': (body, response) => this.handleStop(body, response),
    '/hold': (body, response) => this.handleHold(body, response),
    '/pace': (_body, response) => this.sendAnswer(response, 200, {}),
  };

  constructor(private readonly options: ExecutorStandinOptions) {
    const { id, bornAtMs } = options;
    this.life = bornAtMs === undefined ? id : `${id}@${bornAtMs}`;
  }

  async start(): Promise<void> {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.sockets.recordServer(this.server);
    await startListening(this.server, this.options.address);
  }

  async stop(): Promise<void> {
    this.isOver = true;
    clearTimeout(this.leaseTimer);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.options.witness.recordEnd(this.life, run.task, run.run, 'gone');
    }
    this.runs.clear();
    this.server?.closeAllConnections();
    await new Promise((resolve) => this.server?.close(resolve));
  }

  applyFault(fault: ExecutorFault): void {
    this.fault = fault;
  }

  /** Silences all connections that are open now. New ones work. */
  applySilence(): void {
    this.sockets.applySilence();
  }

  /** Starts that came with a ticket that had run out. */
  readExpiredTicketCount(): number {
    return this.expiredTicketCount;
  }

  readRunCount(): number {
    return this.runs.size;
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJsonBody(request)) as OrderWire;
    if (this.isOver) {
      request.socket.destroy();
      return;
    }
    if (this.fault === 'silent' || this.sockets.isSilent(request)) {
      return;
    }
    if (request.headers['x-stairline-expect-instance'] !== this.options.id) {
      this.sendAnswer(response, 421, {});
      return;
    }
    const token = body['fencing-token'] ?? 0;
    if (token < this.token) {
      this.sendAnswer(response, 409, { reason: 'fence' });
      return;
    }
    this.token = token;
    const handler = this.handlers[request.url ?? ''];
    if (handler === undefined) {
      this.sendAnswer(response, 404, {});
      return;
    }
    await handler(body, response);
  }

  private handleStart(body: OrderWire, response: ServerResponse): void {
    if (this.fault === 'lateStarts') {
      setTimeout(() => this.startRun(body), LATE_START_MS);
      return;
    }
    const reason = this.startRun(body);
    const sendAnswer = (): void =>
      this.sendAnswer(response, reason === undefined ? 200 : 409, reason === undefined ? {} : { reason });
    if (this.fault === 'lateAnswers') {
      setTimeout(sendAnswer, LATE_ANSWER_MS);
    } else {
      sendAnswer();
    }
  }

  /** Starts a run; gives the reason when it does not. */
  private startRun(body: OrderWire): string | undefined {
    const { task, run, spec } = body;
    if (this.isOver) {
      // What it took and had not carried out yet ended with it.
      return 'late';
    }
    if ((body['fencing-token'] ?? 0) < this.token) {
      return 'fence';
    }
    if ((this.stopped.get(task) ?? 0) >= run) {
      return 'old';
    }
    if ((body['expires-ms'] ?? Infinity) <= this.readClock()) {
      return 'late';
    }
    if (this.runs.has(task)) {
      return undefined;
    }
    if (body.ticket !== undefined && ticketTexts.hasExpired(body.ticket)) {
      this.expiredTicketCount += 1;
      return 'ticket';
    }
    this.applyLease(body['expires-ms']);
    if (spec === CRASHING) {
      setTimeout(() => this.handleCrash(), CRASH_AFTER_MS);
    }
    const isEndless = spec === LASTING || spec === CRASHING || this.fault === 'hanging';
    const runMs = isEndless ? Infinity : Number(spec) * (this.fault === 'slow' ? SLOW_FACTOR : 1);
    const how = this.fault === 'failing' ? 'failed' : 'done';
    const timer = runMs === Infinity ? undefined : setTimeout(() => this.recordEnd(task, how), runMs);
    this.runs.set(task, { task, run, spec, startedAt: this.readClock(), runMs, timer });
    this.options.witness.recordStart(this.life, task, run);
    return undefined;
  }

  private handleCrash(): void {
    if (!this.isOver) {
      this.options.handleCrash?.();
    }
  }

  private handleStop(body: OrderWire, response: ServerResponse): void {
    this.stopped.set(body.task, Math.max(this.stopped.get(body.task) ?? 0, body.run));
    if (this.runs.get(body.task)?.run === body.run) {
      this.recordEnd(body.task, 'stopped');
    }
    this.sendAnswer(response, 200, {});
  }

  private async handleHold(body: OrderWire, response: ServerResponse): Promise<void> {
    const lastSeen = body['last-seen'] ?? 0;
    this.recordNoted(lastSeen);
    this.applyLease(body['expires-ms']);
    const waitMs = body['wait-ms'] ?? 0;
    if (waitMs > 0 && this.ends.length === 0) {
      await this.waiters.startWait(waitMs);
    }
    const running = [...this.runs.values()].map((run) => [run.task, run.run, '', this.readPercent(run), 0]);
    const { bornAtMs } = this.options;
    const born = bornAtMs === undefined ? {} : { born: bornAtMs };
    this.listedUpTo = this.ends[this.ends.length - 1]?.[0] ?? this.listedUpTo;
    this.sendAnswer(response, 200, { ...born, running, 'end-time': this.ends });
  }

  private recordNoted(lastSeen: number): void {
    for (const [number, task, run, how] of this.ends) {
      if (number <= lastSeen && number > this.listedUpTo) {
        this.options.witness.recordUnlistedNote(this.life, task, run);
      }
      if (number <= lastSeen && number > this.lapsedUpTo && how === 'done') {
        this.options.witness.recordNoted(task, run);
      }
    }
    this.ends = this.ends.filter((end) => end[0] > lastSeen);
  }

  private readPercent(run: ExecutorRun): number {
    return run.runMs === Infinity
      ? HUNDRED
      : Math.min(HUNDRED, Math.floor(((this.readClock() - run.startedAt) * HUNDRED) / run.runMs));
  }

  private applyLease(expiresMs: number | undefined): void {
    if (expiresMs === undefined || (this.expiresAt !== Infinity && expiresMs <= this.expiresAt)) {
      return;
    }
    this.expiresAt = expiresMs;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => {
        this.lapsedUpTo = this.endCount;
        for (const task of [...this.runs.keys()]) {
          this.recordEnd(task, 'lapsed');
        }
      },
      Math.max(0, expiresMs - this.readClock()),
    );
  }

  private recordEnd(task: string, how: string): void {
    const run = this.runs.get(task);
    if (run === undefined) {
      return;
    }
    clearTimeout(run.timer);
    this.runs.delete(task);
    this.stopped.set(task, Math.max(this.stopped.get(task) ?? 0, run.run));
    this.endCount += 1;
    this.ends.push([this.endCount, task, run.run, how, '']);
    this.options.witness.recordEnd(this.life, task, run.run, how);
    this.waiters.stopAll();
  }

  private readClock(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  private sendAnswer(response: ServerResponse, status: number, fields: object): void {
    sendJson(response, status, { 'clock-ms': this.readClock(), ...fields });
  }
}
