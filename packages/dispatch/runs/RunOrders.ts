import type { EndpointLife } from '../../jobs/EndpointLife';
import type { JobId } from '../../jobs/JobId';
import type { TaskName } from '../../jobs/TaskName';
import type { DispatchEffect } from '../DispatchEffect';
import type { EndpointBook } from '../endpoints/EndpointBook';
import type { LiveJob } from '../waiting/LiveJob';
import type { OrderAnswer } from '../endpoints/OrderAnswer';
import type { PlacedRun } from './PlacedRun';
import type { RunEnd } from './RunEnd';
import type { RunLedger } from './RunLedger';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

interface RunOrdersOptions {
  readonly books: ReadonlyMap<EndpointLife, EndpointBook>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly ledger: RunLedger;
  /** The endpoint's life is over. */
  readonly handleGone: (id: EndpointLife, now: number) => void;
}

const NOT_SENT: RunEnd = { outcome: 'interrupted', cause: 'notSent', checkpoint: '' };
const NOT_DELIVERED: RunEnd = { outcome: 'interrupted', cause: 'notDelivered', checkpoint: '' };
const TURNED_DOWN: RunEnd = { outcome: 'interrupted', cause: 'turnedDown', checkpoint: '' };
const UNHEALTHY: RunEnd = { outcome: 'interrupted', cause: 'unhealthy', checkpoint: '' };

/** Orders on their way to endpoints: which starts may leave once they are recorded, and what the answers mean. */
export class RunOrders {
  constructor(private readonly options: RunOrdersOptions) {}

  /**
   * Tells whether a start whose record is durable should still be sent; if not, its room is free again. Judged anew by what is known
   * now, since the decision is some milliseconds old. A ticket that ran out
   * while the record waited for the log is not sent: the endpoint would turn the start down.
   */
  handleRecorded(effect: StartEffect, now: number): boolean {
    const { jobs, ledger } = this.options;
    const placed = this.readPlaced(effect.endpoint, effect.order.task, effect.order.run);
    if (placed === undefined || placed.run.stage !== 'recording') {
      return false;
    }
    const { book, run } = placed;
    const job = jobs.get(run.job);
    // The room may have shrunk since the run was chosen: 4 starts left for a room of 2 when only the choice looked at it.
    const isWanted = job !== undefined && !job.progress.isEnded() && book.isUsable() && !book.isOverfull();
    if (!isWanted || !this.hasTicket(job, run, effect, now)) {
      ledger.recordRunEnd(book, run, NOT_SENT, now);
      return false;
    }
    run.stage = 'ordered';
    run.recordedAt = now;
    run.confirmedAt = now;
    return true;
  }

  private hasTicket(job: LiveJob, run: PlacedRun, { endpoint, order }: StartEffect, now: number): boolean {
    const { time, step } = run.address;
    return order.ticket === '' || job.readAdvice(time, step).isSendable(endpoint, now);
  }

  /** Gives back the room of all starts whose records are not durable yet; they are chosen anew. */
  revokeUnrecorded(now: number): void {
    for (const book of this.options.books.values()) {
      for (const run of [...book.readRuns()]) {
        if (run.stage === 'recording') {
          this.options.ledger.recordRunEnd(book, run, NOT_SENT, now);
        }
      }
    }
  }

  /** A start could not be sent at all. */
  handleUnsent(effect: StartEffect, now: number): void {
    const placed = this.readPlaced(effect.endpoint, effect.order.task, effect.order.run);
    if (placed !== undefined) {
      this.options.ledger.recordRunEnd(placed.book, placed.run, NOT_SENT, now);
    }
  }

  handleStartAnswer(
    id: EndpointLife,
    task: TaskName,
    runNumber: number,
    answer: OrderAnswer,
    now: number,
  ): void {
    const placed = this.readPlaced(id, task, runNumber);
    // A look or a stop may have overtaken the answer: then it tells nothing new.
    if (placed !== undefined && placed.run.stage === 'ordered') {
      this.applyStartAnswer(placed.book, placed.run, answer, now);
    }
  }

  handleStopAnswer(
    id: EndpointLife,
    task: TaskName,
    runNumber: number,
    answer: OrderAnswer,
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
    id: EndpointLife,
    task: TaskName,
    runNumber: number,
  ): { readonly book: EndpointBook; readonly run: PlacedRun } | undefined {
    const book = this.options.books.get(id);
    const run = book?.readRun(task, runNumber);
    return book === undefined || run === undefined ? undefined : { book, run };
  }

  private applyStartAnswer(book: EndpointBook, run: PlacedRun, answer: OrderAnswer, now: number): void {
    const { jobs, ledger, handleGone } = this.options;
    const { life: id } = book.readProfile();
    switch (answer.kind) {
      case 'done':
        jobs.get(run.job)?.recordTaken(run.address);
        run.stage = 'running';
        run.confirmedAt = now;
        return;
      case 'undelivered':
        book.recordOutcome(true, now);
        book.recordSilence(now);
        // It never was there: its task need not wait for the endpoint, and is not charged with what becomes of it.
        ledger.recordRunEnd(book, run, NOT_DELIVERED, now);
        return;
      case 'unanswered':
        book.recordOutcome(true, now);
        // Nothing more goes there until a look is answered: on an endpoint that is cut off each start would wait for its lease.
        book.recordSilence(now);
        // It may work there, and only its answer be late: a look tells, where a stop would throw its work away.
        run.unansweredAt = now;
        ledger.sendLook(book);
        return;
      case 'gone':
        handleGone(id, now);
        return;
      case 'rejected':
        if (answer.reason === 'ticket') {
          jobs.get(run.job)?.readAdvice(run.address.time, run.address.step).revokeTicket(id);
        }
        jobs.get(run.job)?.recordTurnedDown(run.address, now);
        ledger.recordRunEnd(book, run, TURNED_DOWN, now);
        return;
      case 'unhealthy':
        book.recordOutcome(true, now);
        jobs.get(run.job)?.recordTurnedDown(run.address, now);
        ledger.recordRunEnd(book, run, UNHEALTHY, now);
        return;
    }
  }
}
