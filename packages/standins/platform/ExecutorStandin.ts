import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { waitForDelay } from '../../common/waitForDelay';
import { readJsonBody } from '../readJsonBody';
import { sendJsonText } from '../sendJsonText';
import { startListening } from '../startListening';
import type { ExecutorFault } from './ExecutorFault';
import type { ExecutorRun } from './ExecutorRun';
import type { RunChecker } from './RunChecker';
import { BlackholedConnections } from './BlackholedConnections';
import { ticketTexts } from './ticketTexts';
import { Waiters } from './Waiters';

interface ExecutorStandinOptions {
  readonly id: string;
  /** Start of the incarnation in Unix milliseconds, included in responses to polls. Undefined: the responses name no incarnation. */
  readonly bornAtMs?: number;
  readonly address: string;
  readonly runChecker: RunChecker;
  /** Called when a task crashes the endpoint. */
  readonly handleCrash?: () => void;
}

/** Body of a command or a poll. */
interface CommandBody {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly 'expires-ms'?: number;
  readonly 'fencing-token'?: number;
  readonly 'last-seen'?: number;
  readonly 'wait-ms'?: number;
  readonly ticket?: string;
}

type RunEndRow = [number: number, task: string, run: number, how: string, saved: string];
type CommandHandler = (body: CommandBody, response: ServerResponse) => Promise<void> | void;

/** Delay of starts with the fault `lateStarts`. */
const START_DELAY_MS = 1500;
/** Delay of responses with the fault `lateAnswers`; longer than the maximum timeout of a command. */
const RESPONSE_DELAY_MS = 700;
const SLOW_RUN_FACTOR = 4;
const ENDLESS_SPEC = 'lasts';
const CRASHING_SPEC = 'crashes';
const CRASH_DELAY_MS = 10;
const FULL_PERCENT = 100;
/** Limit of the time from now to a call's time to expire, by the endpoint's clock: one and a half times the lease that leaders grant. */
const MAX_LEASE_AHEAD_MS = 6000;

/**
 * Stands in for one incarnation of an endpoint, with the commands that the platform documents. It doesn't check its capacity, rejects
 * commands with an outdated fencing token, ends all runs when its lease expires, and lists each end until it is acknowledged. Its clock and
 * its numbers of ends start from zero. The spec of a task is its duration in milliseconds; `lasts` runs until it is stopped, and `crashes`
 * crashes the endpoint.
 */
export class ExecutorStandin {
  private readonly runs = new Map<string, ExecutorRun>();
  /** Highest run number of each task that has ended or was stopped; start commands up to it are rejected. */
  private readonly endedRunNumbers = new Map<string, number>();
  private unacknowledgedEnds: RunEndRow[] = [];
  private endCount = 0;
  /** Number of the last end recorded before the lease last expired; acknowledgements up to it don't reach the run checker. */
  private lastEndBeforeExpiry = 0;
  /** Highest fencing token seen; requests with a lower one are rejected. */
  private highestToken = 0;
  /** Time at which the lease expires, by the clock of this incarnation; Infinity before the first lease. */
  private leaseExpiresAt = Infinity;
  private leaseTimer: NodeJS.Timeout | undefined;
  private fault: ExecutorFault = 'none';
  /** True after `stop`; requests that connections still deliver after it are dropped. */
  private isStopped = false;
  /** True while the endpoint is down without a sign: its address takes connections and requests, and nothing answers. */
  private isPoweredOff = false;
  /** Monotonic time in milliseconds until which the endpoint is cut off. */
  private cutOffUntil = 0;
  private expiredTicketCount = 0;
  private server: Server | undefined;
  private readonly pollWaiters = new Waiters();
  private readonly startedAt = performance.now();
  /** Id of this incarnation in the records of the run checker. */
  private readonly incarnation: string;
  /** Number of the last end that a response has listed. */
  private lastListedEndNumber = 0;
  /** JSON text of an additional field of all responses, after a comma; empty without one. */
  private extraField = '';
  private readonly connections = new BlackholedConnections();

  private readonly handlers: Readonly<Record<string, CommandHandler>> = {
    '/run-start': (body, response) => this.handleStart(body, response),
    '/run-stop': (body, response) => this.handleStop(body, response),
    '/hold': (body, response) => this.handlePoll(body, response),
    '/pace': (_body, response) => this.sendResponse(response, 200, {}),
  };

  constructor(private readonly options: ExecutorStandinOptions) {
    const { id, bornAtMs } = options;
    this.incarnation = bornAtMs === undefined ? id : `${id}@${bornAtMs}`;
  }

  async start(): Promise<void> {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.connections.addServer(this.server);
    await startListening(this.server, this.options.address);
  }

  /** Ends the incarnation: records its runs as lost with it, and closes its server and connections. */
  async stop(): Promise<void> {
    this.recordLoss();
    this.server?.closeAllConnections();
    await new Promise((resolve) => this.server?.close(resolve));
  }

  /**
   * Ends the incarnation as a loss of power does: records its runs as lost with it, and answers nothing for a time in milliseconds, after which
   * its address is free. Calls under way get no answer then either; a connection that is used again is closed.
   */
  async stopSilently(downMs: number): Promise<void> {
    this.isPoweredOff = true;
    this.recordLoss();
    await waitForDelay(downMs);
    this.isPoweredOff = false;
    this.server?.close();
  }

  /** Sets the fault to inject from now on. */
  setFault(fault: ExecutorFault): void {
    this.fault = fault;
  }

  /** Adds a field with a value, which is JSON text, to all responses from now on, or replaces it. */
  setExtraField(name: string, value: string): void {
    this.extraField = `,${JSON.stringify(name)}:${value}`;
  }

  /** Blackholes all connections that are open now. New connections work. */
  applyBlackhole(): void {
    this.connections.applyBlackhole();
  }

  /** Cuts the endpoint off from now on for a time in milliseconds: it takes no calls and sends no responses, and its runs go on. */
  applyCut(cutMs: number): void {
    this.cutOffUntil = Math.max(this.cutOffUntil, performance.now() + cutMs);
  }

  /** Returns the number of start commands rejected because their ticket had expired. */
  countExpiredTickets(): number {
    return this.expiredTicketCount;
  }

  /** Returns the number of runs in progress. */
  countRuns(): number {
    return this.runs.size;
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJsonBody(request)) as CommandBody;
    if (this.isPoweredOff || this.isCutOff()) {
      return;
    }
    if (this.isStopped) {
      request.socket.destroy();
      return;
    }
    if (this.fault === 'silent' || this.connections.isBlackholed(request)) {
      return;
    }
    if (request.headers['x-stairline-expect-instance'] !== this.options.id) {
      this.sendResponse(response, 421, {});
      return;
    }
    this.checkLease(request.url ?? '', body['expires-ms']);
    const token = body['fencing-token'] ?? 0;
    if (token < this.highestToken) {
      this.sendResponse(response, 409, { reason: 'fence' });
      return;
    }
    this.highestToken = token;
    const handler = this.handlers[request.url ?? ''];
    if (handler === undefined) {
      this.sendResponse(response, 404, {});
      return;
    }
    await handler(body, response);
  }

  private isCutOff(): boolean {
    return performance.now() < this.cutOffUntil;
  }

  /** Reports a call whose time to expire is farther ahead than leaders grant: it is by the clock of another incarnation. */
  private checkLease(path: string, expiresMs = 0): void {
    const aheadMs = expiresMs - this.getClockMs();
    if (aheadMs > MAX_LEASE_AHEAD_MS) {
      this.options.runChecker.recordForeignLease(this.incarnation, path, aheadMs);
    }
  }

  /** Records the end of the incarnation, and its runs as lost with it. */
  private recordLoss(): void {
    this.isStopped = true;
    clearTimeout(this.leaseTimer);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.options.runChecker.recordEnd(this.incarnation, run.task, run.runNumber, 'gone');
    }
    this.runs.clear();
  }

  private handleStart(body: CommandBody, response: ServerResponse): void {
    if (this.fault === 'lateStarts') {
      setTimeout(() => this.startRun(body), START_DELAY_MS);
      return;
    }
    const reason = this.startRun(body);
    const sendResult = (): void =>
      this.sendResponse(response, reason === undefined ? 200 : 409, reason === undefined ? {} : { reason });
    if (this.fault === 'lateAnswers') {
      setTimeout(sendResult, RESPONSE_DELAY_MS);
    } else {
      sendResult();
    }
  }

  /** Starts a run and renews the lease. Returns the reason for a rejection, undefined when the run was started or the task already runs. */
  private startRun(body: CommandBody): string | undefined {
    const { task, run, spec } = body;
    if (this.isStopped) {
      // A delayed start command is lost with its incarnation.
      return 'late';
    }
    if ((body['fencing-token'] ?? 0) < this.highestToken) {
      return 'fence';
    }
    if ((this.endedRunNumbers.get(task) ?? 0) >= run) {
      return 'old';
    }
    if ((body['expires-ms'] ?? Infinity) <= this.getClockMs()) {
      return 'late';
    }
    if (this.runs.has(task)) {
      return undefined;
    }
    if (this.fault === 'rejecting') {
      return 'room';
    }
    if (body.ticket !== undefined && ticketTexts.hasExpired(body.ticket)) {
      this.expiredTicketCount += 1;
      return 'ticket';
    }
    this.renewLease(body['expires-ms']);
    if (spec === CRASHING_SPEC) {
      setTimeout(() => this.handleCrash(), CRASH_DELAY_MS);
    }
    const isEndless = spec === ENDLESS_SPEC || spec === CRASHING_SPEC || this.fault === 'hanging';
    const runMs = isEndless ? Infinity : Number(spec) * (this.fault === 'slow' ? SLOW_RUN_FACTOR : 1);
    const how = this.fault === 'failing' ? 'failed' : 'done';
    const timer = runMs === Infinity ? undefined : setTimeout(() => this.recordEnd(task, how), runMs);
    this.runs.set(task, { task, runNumber: run, spec, startedAt: this.getClockMs(), runMs, timer });
    this.options.runChecker.recordStart(this.incarnation, task, run);
    return undefined;
  }

  private handleCrash(): void {
    if (!this.isStopped) {
      this.options.handleCrash?.();
    }
  }

  private handleStop(body: CommandBody, response: ServerResponse): void {
    this.endedRunNumbers.set(body.task, Math.max(this.endedRunNumbers.get(body.task) ?? 0, body.run));
    if (this.runs.get(body.task)?.runNumber === body.run) {
      this.recordEnd(body.task, 'stopped');
    }
    this.sendResponse(response, 200, {});
  }

  /** Handles a poll: acknowledges ends, renews the lease, and responds with the runs and ends, if need be after waiting for an end. */
  private async handlePoll(body: CommandBody, response: ServerResponse): Promise<void> {
    const lastSeen = body['last-seen'] ?? 0;
    this.handleAcknowledgement(lastSeen);
    this.renewLease(body['expires-ms']);
    const waitMs = body['wait-ms'] ?? 0;
    if (waitMs > 0 && this.unacknowledgedEnds.length === 0) {
      await this.pollWaiters.waitForRelease(waitMs);
    }
    const running = [...this.runs.values()].map((run) => [
      run.task,
      run.runNumber,
      '',
      this.computeProgressPercent(run),
      0,
    ]);
    const { bornAtMs } = this.options;
    const born = bornAtMs === undefined ? {} : { born: bornAtMs };
    this.lastListedEndNumber =
      this.unacknowledgedEnds[this.unacknowledgedEnds.length - 1]?.[0] ?? this.lastListedEndNumber;
    this.sendResponse(response, 200, { ...born, running, 'end-time': this.unacknowledgedEnds });
  }

  /** Handles the leader's acknowledgement of all ends up to a number: reports them to the run checker and removes them. */
  private handleAcknowledgement(lastSeen: number): void {
    for (const [number, task, run, how] of this.unacknowledgedEnds) {
      if (number <= lastSeen && number > this.lastListedEndNumber) {
        this.options.runChecker.recordEarlyAcknowledgement(this.incarnation, task, run);
      }
      if (number <= lastSeen && number > this.lastEndBeforeExpiry && how === 'done') {
        this.options.runChecker.recordAcknowledgedEnd(task, run);
      }
    }
    this.unacknowledgedEnds = this.unacknowledgedEnds.filter((end) => end[0] > lastSeen);
  }

  /** Computes the progress of a run from 0 to 100, by its duration; 100 for an endless run. */
  private computeProgressPercent(run: ExecutorRun): number {
    return run.runMs === Infinity
      ? FULL_PERCENT
      : Math.min(FULL_PERCENT, Math.floor(((this.getClockMs() - run.startedAt) * FULL_PERCENT) / run.runMs));
  }

  /** Extends the lease to a later time; an earlier one is ignored. When it expires, all runs end as `lapsed`. */
  private renewLease(expiresMs: number | undefined): void {
    if (expiresMs === undefined || (this.leaseExpiresAt !== Infinity && expiresMs <= this.leaseExpiresAt)) {
      return;
    }
    this.leaseExpiresAt = expiresMs;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => {
        this.lastEndBeforeExpiry = this.endCount;
        for (const task of [...this.runs.keys()]) {
          this.recordEnd(task, 'lapsed');
        }
      },
      Math.max(0, expiresMs - this.getClockMs()),
    );
  }

  /**
   * Ends the run of a task, lists the end in responses until it is acknowledged, and releases waiting polls. Ignores a task without a run.
   */
  private recordEnd(task: string, how: string): void {
    const run = this.runs.get(task);
    if (run === undefined) {
      return;
    }
    clearTimeout(run.timer);
    this.runs.delete(task);
    this.endedRunNumbers.set(task, Math.max(this.endedRunNumbers.get(task) ?? 0, run.runNumber));
    this.endCount += 1;
    this.unacknowledgedEnds.push([this.endCount, task, run.runNumber, how, '']);
    this.options.runChecker.recordEnd(this.incarnation, task, run.runNumber, how);
    this.pollWaiters.releaseAll();
  }

  /** Returns the milliseconds since the incarnation started. */
  private getClockMs(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  /** Sends a response with the time of the endpoint's clock, unless the incarnation has ended or is cut off. */
  private sendResponse(response: ServerResponse, status: number, fields: object): void {
    if (this.isStopped || this.isCutOff()) {
      return;
    }
    const text = JSON.stringify({ 'clock-ms': this.getClockMs(), ...fields });
    sendJsonText(response, status, `${text.slice(0, -1)}${this.extraField}}`);
  }
}
