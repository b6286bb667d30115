import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { TaskName } from '../../jobs/TaskName';
import type { DispatchEffect } from '../DispatchEffect';
import type { EndpointState } from '../endpoints/EndpointState';
import type { LiveJob } from '../waiting/LiveJob';
import type { CommandResult } from '../endpoints/CommandResult';
import type { PlacedRun } from './PlacedRun';
import type { RunEnd } from './RunEnd';
import type { RunTracker } from './RunTracker';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

interface RunOrdersOptions {
  readonly books: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly ledger: RunTracker;
  /** The endpoint's life is over. */
  readonly handleGone: (id: EndpointIncarnation, now: number) => void;
}

const NOT_SENT: RunEnd = { outcome: 'interrupted', cause: 'notSent', checkpoint: '' };
const NOT_DELIVERED: RunEnd = { outcome: 'interrupted', cause: 'notDelivered', checkpoint: '' };
const TURNED_DOWN: RunEnd = { outcome: 'interrupted', cause: 'turnedDown', checkpoint: '' };
const UNHEALTHY: RunEnd = { outcome: 'interrupted', cause: 'unhealthy', checkpoint: '' };

/** Orders on their way to endpoints: which starts may leave once they are recorded, and what the answers mean. */
export class RunCommands {
  constructor(private readonly options: RunOrdersOptions) {}

  /**
   * Tells whether a start whose record is durable should still be sent; if not, its room is free again. Judged anew by what is known
   * now, since the decision is some milliseconds old. A ticket that ran out
   * while the record waited for the log is not sent: the endpoint would turn the start down.
   */
  handleRecorded(effect: StartEffect, now: number): boolean {
    const { jobs, ledger } = this.options;
    const placed = this.readPlaced(effect.endpoint, effect.command.task, effect.command.run);
    if (placed === undefined || placed.run.stage !== 'recording') {
      return false;
    }
    const { book, run } = placed;
    const job = jobs.get(run.job);
    // The room may have shrunk since the run was chosen: 4 starts left for a room of 2 when only the choice looked at it.
    const isWanted =
      job !== undefined && !job.progress.isEnded() && book.isSchedulable() && !book.isOvercommitted();
    if (!isWanted || !this.hasTicket(job, run, effect, now)) {
      ledger.recordRunEnd(book, run, NOT_SENT, now);
      return false;
    }
    run.stage = 'ordered';
    run.recordedAt = now;
    run.confirmedAt = now;
    return true;
  }

  private hasTicket(
    job: LiveJob,
    run: PlacedRun,
    { endpoint, command: order }: StartEffect,
    now: number,
  ): boolean {
    const { time, step } = run.address;
    return order.ticket === '' || job.getAdvice(time, step).hasSendableTicket(endpoint, now);
  }

  /** Gives back the room of all starts whose records are not durable yet; they are chosen anew. */
  revokeUnrecorded(now: number): void {
    for (const book of this.options.books.values()) {
      for (const run of [...book.getRuns()]) {
        if (run.stage === 'recording') {
          this.options.ledger.recordRunEnd(book, run, NOT_SENT, now);
        }
      }
    }
  }

  /** A start could not be sent at all. */
  handleUnsent(effect: StartEffect, now: number): void {
    const placed = this.readPlaced(effect.endpoint, effect.command.task, effect.command.run);
    if (placed !== undefined) {
      this.options.ledger.recordRunEnd(placed.book, placed.run, NOT_SENT, now);
    }
  }

  handleStartAnswer(
    id: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    answer: CommandResult,
    now: number,
  ): void {
    const placed = this.readPlaced(id, task, runNumber);
    // A look or a stop may have overtaken the answer: then it tells nothing new.
    if (placed !== undefined && placed.run.stage === 'ordered') {
      this.applyStartAnswer(placed.book, placed.run, answer, now);
    }
  }

  handleStopAnswer(
    id: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    answer: CommandResult,
    now: number,
  ): void {
    const run = this.readPlaced(id, task, runNumber)?.run;
    if (answer.kind === 'gone') {
      this.options.handleGone(id, now);
    } else if (run !== undefined && (answer.kind === 'done' || answer.kind === 'rejected')) {
      run.stopAnsweredAt ??= now;
    }
  }

  private readPlaced(
    id: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
  ): { readonly book: EndpointState; readonly run: PlacedRun } | undefined {
    const book = this.options.books.get(id);
    const run = book?.getRun(task, runNumber);
    return book === undefined || run === undefined ? undefined : { book, run };
  }

  private applyStartAnswer(book: EndpointState, run: PlacedRun, answer: CommandResult, now: number): void {
    const { jobs, ledger, handleGone } = this.options;
    const { incarnation: id } = book.getProfile();
    switch (answer.kind) {
      case 'done':
        jobs.get(run.job)?.recordStartAccepted(run.address);
        run.stage = 'running';
        run.confirmedAt = now;
        return;
      case 'undelivered':
        book.recordOutcome(true, now);
        book.recordUnreachable(now);
        // It never was there: its task need not wait for the endpoint, and is not charged with what becomes of it.
        ledger.recordRunEnd(book, run, NOT_DELIVERED, now);
        return;
      case 'unanswered':
        book.recordOutcome(true, now);
        // Nothing more goes there until a look is answered: on an endpoint that is cut off each start would wait for its lease.
        book.recordUnreachable(now);
        // It may work there, and only its answer be late: a look tells, where a stop would throw its work away.
        run.unansweredAt = now;
        ledger.sendLook(book);
        return;
      case 'gone':
        handleGone(id, now);
        return;
      case 'rejected':
        if (answer.reason === 'ticket') {
          jobs.get(run.job)?.getAdvice(run.address.time, run.address.step).removeTicket(id);
        }
        jobs.get(run.job)?.recordStartRejected(run.address, now);
        ledger.recordRunEnd(book, run, TURNED_DOWN, now);
        return;
      case 'unhealthy':
        book.recordOutcome(true, now);
        jobs.get(run.job)?.recordStartRejected(run.address, now);
        ledger.recordRunEnd(book, run, UNHEALTHY, now);
        return;
    }
  }
}
