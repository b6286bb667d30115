import type { RequestId } from '../common/RequestId';
import { RetryBudget } from '../common/RetryBudget';
import { toId } from '../common/toId';
import type { Call } from '../gateway/Call';
import type { CallResponse } from '../gateway/CallResponse';
import type { NotRunReason } from '../gateway/NotRunReason';
import { chooseRetryAfter } from '../scheduler/chooseRetryAfter';
import type { Scheduler } from '../scheduler/Scheduler';
import type { Row } from '../table/Row';
import type { TableState } from '../table/TableState';
import { AnswerMemory } from './AnswerMemory';
import type { ClaimController } from './ClaimController';
import type { EntryContext } from './EntryContext';
import type { JobController } from './JobController';
import type { JobEnd } from './JobEnd';
import type { Metrics } from './Metrics';
import type { PeerController } from './PeerController';

interface CallControllerOptions {
  readonly context: EntryContext;
  readonly jobs: JobController;
  readonly claims: ClaimController;
  readonly peers: PeerController;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly readTable: () => TableState;
}

/** A call between its arrival and its answer. */
interface OpenCall {
  readonly call: Call;
  readonly row: Row;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  attempts: number;
  /** How often it was sent on after it had waited here. */
  moves: number;
  /** True once bytes of it have left for an endpoint and the end was not seen. */
  mayHaveRun: boolean;
  jobId: RequestId;
  isAnswered: boolean;
  /** Why the last attempt's end was not seen. */
  unknownReason: string;
  readonly handleAnswer: (answer: CallResponse) => void;
}

const RETRY_BURST = 20;
/** Waiting calls sent on in one look at most. */
const MOVES_PER_TICK = 32;
/** One call is sent on so often at most after it has waited. */
const MOVES_PER_CALL = 3;
const STOPPING_RETRY_MS = 1000;

const createNotRun = (reason: NotRunReason, detail: string, retryAfterMs?: number): CallResponse => ({
  outcome: 'not-run',
  reason,
  detail,
  retryAfterMs,
});

/** Gives every call exactly one final answer: claims its key, sends it on or queues it, retries what may be retried. */
export class CallController {
  private readonly open = new Map<RequestId, OpenCall>();
  private readonly budget: RetryBudget;
  private readonly memory: AnswerMemory;
  /** What to undo when a call is answered. */
  private readonly watchers = new Map<OpenCall, () => void>();
  private isStopping = false;
  private underWay = 0;

  constructor(private readonly options: CallControllerOptions) {
    const { limits } = options.context.settings;
    this.budget = new RetryBudget(limits.retryRatio, RETRY_BURST);
    this.memory = new AnswerMemory(limits.rememberedAnswers);
  }

  /** Calls that have no answer yet. */
  readUnderWay(): number {
    return this.underWay;
  }

  /** Handles a call to its final answer. Never rejects. */
  async handleCall(call: Call, left: AbortSignal): Promise<CallResponse> {
    this.underWay += 1;
    try {
      const answer = await this.createAnswer(call, left);
      this.recordOutcome(call, answer);
      return answer;
    } finally {
      this.underWay -= 1;
    }
  }

  /** Sends on calls that wait here while another box has room. Call it now and then. */
  applyTime(): void {
    let moved = 0;
    for (const job of this.options.jobs.readWaiting()) {
      if (moved >= MOVES_PER_TICK) {
        return;
      }
      const open = this.open.get(job.id);
      if (open !== undefined && this.isMovable(open) && this.options.jobs.revokeJob(job.id)) {
        moved += 1;
        open.moves += 1;
        this.open.delete(job.id);
        void this.sendOn(open);
      }
    }
  }

  /** Takes no more calls; those that wait are sent on to other boxes, or told to come back. */
  stopTaking(): void {
    this.isStopping = true;
    for (const job of this.options.jobs.readWaiting()) {
      const open = this.open.get(job.id);
      if (open !== undefined && this.options.jobs.revokeJob(job.id)) {
        void this.sendOn(open);
      }
    }
  }

  private isMovable(open: OpenCall): boolean {
    const isFresh = !open.call.isForwarded && !open.mayHaveRun && open.moves < MOVES_PER_CALL;
    return isFresh && this.options.peers.hasRoom(open.call.row);
  }

  private async createAnswer(call: Call, left: AbortSignal): Promise<CallResponse> {
    const { settings } = this.options.context;
    this.recordCallEvent(call, 'arrived', { row: call.row, isForwarded: call.isForwarded });
    if (call.isLookup) {
      return this.readRemembered(call);
    }
    if (this.isStopping) {
      return createNotRun('stopping', 'Send it again: another entry box will take it.', STOPPING_RETRY_MS);
    }
    if (this.underWay > settings.limits.calls) {
      const retryAfterMs = chooseRetryAfter(0, this.options.context.random);
      return createNotRun('overloaded', `More than ${settings.limits.calls} calls are open.`, retryAfterMs);
    }
    const row = this.options.readTable().rows.get(call.row);
    if (row === undefined) {
      return createNotRun('unknownRow', `The table has no row ${call.row}.`);
    }
    if (row.class === 'standing') {
      return createNotRun('badRequest', `Row ${call.row} is standing: its replicas run by themselves.`);
    }
    const isClaimNeeded = !row.repeatable && call.idempotencyKey !== undefined && !call.isForwarded;
    return isClaimNeeded ? this.handleKeyed(call, row, left) : this.startCall(call, row, left);
  }

  /** A keyed call of an unrepeatable row: the first claim in the log runs it, every other one is told what became of it. */
  private async handleKeyed(call: Call, row: Row, left: AbortSignal): Promise<CallResponse> {
    const key = `${call.row}:${call.idempotencyKey}`;
    const remembered = this.memory.readAnswer(key);
    if (remembered !== undefined) {
      return remembered;
    }
    const answer = this.claimAndStart(key, call, row, left);
    this.memory.recordAnswer(key, answer);
    const final = await answer;
    if (final.outcome === 'not-run') {
      this.memory.revokeAnswer(key);
    }
    return final;
  }

  private async claimAndStart(key: string, call: Call, row: Row, left: AbortSignal): Promise<CallResponse> {
    const claim = await this.options.claims.claimKey(key);
    if (claim.kind === 'unavailable') {
      this.options.metrics.recordCount('refusedClaims');
      const retryAfterMs = chooseRetryAfter(0, this.options.context.random);
      return createNotRun('claimUnavailable', `Not run: ${claim.reason}.`, retryAfterMs);
    }
    if (claim.kind === 'taken') {
      return this.readElsewhere(call, claim.process);
    }
    const answer = await this.startCall(call, row, left);
    if (answer.outcome === 'not-run') {
      this.options.claims.revokeClaim(claim.claimId);
    }
    return answer;
  }

  /** Another process holds the key: it is asked for the answer. */
  private async readElsewhere(call: Call, process: string): Promise<CallResponse> {
    const answer = await this.options.peers.readAnswer(call, process);
    const detail = `The key is claimed by ${process}, which cannot tell the end: it may have run.`;
    return answer ?? { outcome: 'unknown', detail, isLate: false };
  }

  private async readRemembered(call: Call): Promise<CallResponse> {
    const remembered = this.memory.readAnswer(`${call.row}:${call.idempotencyKey}`);
    return (
      remembered ?? {
        outcome: 'unknown',
        detail: 'The answer is not kept any more: it may have run.',
        isLate: false,
      }
    );
  }

  private startCall(call: Call, row: Row, left: AbortSignal): Promise<CallResponse> {
    return new Promise((resolve) => {
      const arrivedAt = this.options.context.clock.getNow();
      const deadlineMs = call.deadlineMs ?? row.deadlineMs;
      const open: OpenCall = {
        call,
        row,
        arrivedAt,
        deadlineAt: arrivedAt + deadlineMs,
        attempts: 0,
        moves: 0,
        mayHaveRun: false,
        jobId: call.id,
        isAnswered: false,
        unknownReason: '',
        handleAnswer: resolve,
      };
      const timer = setTimeout(() => this.handleDeadline(open), deadlineMs);
      const handleLeft = () => this.handleLeft(open);
      left.addEventListener('abort', handleLeft);
      this.startBest(open);
      this.stopWatching(open, () => {
        clearTimeout(timer);
        left.removeEventListener('abort', handleLeft);
      });
    });
  }

  /** Runs `stop` once the call is answered. */
  private stopWatching(open: OpenCall, stop: () => void): void {
    this.watchers.set(open, stop);
    if (open.isAnswered) {
      this.watchers.delete(open);
      stop();
    }
  }

  /** Own workers first; with no room there, one hop to the box with the most room; else it waits here. */
  private startBest(open: OpenCall): void {
    const hasRoomHere = this.options.scheduler.readRoom(open.call.row) > 0;
    if (hasRoomHere || open.call.isForwarded || !this.options.peers.hasRoom(open.call.row)) {
      this.startAttempt(open);
      return;
    }
    void this.sendOn(open);
  }

  private startAttempt(open: OpenCall): void {
    open.attempts += 1;
    this.budget.recordFirstAttempt();
    open.jobId = open.attempts === 1 ? open.call.id : toId<RequestId>(`${open.call.id}~${open.attempts}`);
    this.open.set(open.jobId, open);
    this.options.jobs.queueJob({
      id: open.jobId,
      row: open.call.row,
      team: open.call.team ?? open.row.team,
      arrivedAt: open.arrivedAt,
      deadlineAt: open.deadlineAt,
      callerRequest: open.call.id,
      body: open.call.body,
      headers: open.call.forwardedHeaders,
      handleEnd: (end) => this.handleEnd(open, end),
    });
  }

  private async sendOn(open: OpenCall): Promise<void> {
    const remainingMs = open.deadlineAt - this.options.context.clock.getNow();
    const result = open.call.isForwarded
      ? undefined
      : await this.options.peers.sendOn(open.call, remainingMs);
    if (result?.kind === 'answered') {
      const isRefusal = result.answer.outcome === 'not-run' && !this.isStopping && !open.isAnswered;
      if (isRefusal) {
        this.startAttempt(open);
        return;
      }
      this.applyAnswer(open, result.answer);
    } else if (result?.kind === 'unknown') {
      const detail = `The entry box that it was sent on to did not answer: ${result.reason}.`;
      this.applyAnswer(open, { outcome: 'unknown', detail, isLate: false });
    } else if (this.isStopping) {
      const detail = 'This entry box stops and no other could take it.';
      this.applyAnswer(open, createNotRun('stopping', detail, STOPPING_RETRY_MS));
    } else if (!open.isAnswered) {
      this.startAttempt(open);
    }
  }

  private handleEnd(open: OpenCall, end: JobEnd): void {
    switch (end.kind) {
      case 'answered':
        this.open.delete(open.jobId);
        this.applyAnswer(open, { outcome: 'ran', ...end });
        break;
      case 'refused':
        this.open.delete(open.jobId);
        this.handleRefused(open, end.reason, end.retryAfterMs);
        break;
      case 'unknown':
        this.handleUnknown(open, end.reason);
        break;
      case 'drained':
        this.open.delete(open.jobId);
        this.handleDrained(open);
        break;
    }
  }

  private handleRefused(open: OpenCall, reason: NotRunReason, retryAfterMs: number): void {
    if (open.mayHaveRun) {
      this.applyAnswer(open, { outcome: 'unknown', detail: open.unknownReason, isLate: true });
      return;
    }
    this.applyAnswer(
      open,
      createNotRun(reason, `Row ${open.call.row}: given up before it ran.`, retryAfterMs),
    );
  }

  /** Only a repeatable call may wait for a second try, and only once the first is known to run no more. */
  private handleUnknown(open: OpenCall, reason: string): void {
    open.mayHaveRun = true;
    open.unknownReason = `The end was not seen: ${reason}.`;
    if (!open.row.repeatable) {
      this.applyAnswer(open, { outcome: 'unknown', detail: open.unknownReason, isLate: false });
    }
  }

  private handleDrained(open: OpenCall): void {
    const now = this.options.context.clock.getNow();
    const isWorthwhile = !open.isAnswered && now + open.row.expectedMs <= open.deadlineAt;
    if (isWorthwhile && this.budget.claimRetry()) {
      this.options.metrics.recordCount('retries');
      this.startAttempt(open);
      return;
    }
    this.applyAnswer(open, { outcome: 'unknown', detail: open.unknownReason, isLate: false });
  }

  private handleDeadline(open: OpenCall): void {
    if (this.options.jobs.revokeJob(open.jobId)) {
      this.open.delete(open.jobId);
      this.handleRefused(open, 'deadlinePassed', STOPPING_RETRY_MS);
      return;
    }
    this.applyAnswer(open, { outcome: 'unknown', detail: 'The deadline passed while it ran.', isLate: true });
  }

  private handleLeft(open: OpenCall): void {
    if (this.options.jobs.revokeJob(open.jobId)) {
      this.open.delete(open.jobId);
      this.handleRefused(open, 'callerLeft', 0);
    }
  }

  private applyAnswer(open: OpenCall, answer: CallResponse): void {
    if (open.isAnswered) {
      return;
    }
    open.isAnswered = true;
    this.watchers.get(open)?.();
    this.watchers.delete(open);
    open.handleAnswer(answer);
  }

  private recordOutcome(call: Call, answer: CallResponse): void {
    const names = { ran: 'ran', 'not-run': 'notRun', unknown: 'unknown' } as const;
    this.options.metrics.recordCount(names[answer.outcome]);
    const why =
      answer.outcome === 'not-run' ? answer.reason : answer.outcome === 'unknown' ? answer.detail : '';
    this.recordCallEvent(call, 'answered', { outcome: answer.outcome, why });
  }

  private recordCallEvent(call: Call, kind: string, detail: Record<string, string | number | boolean>): void {
    this.options.context.timeline.recordEvent({ part: 'calls', kind, request: call.id, detail });
  }
}
