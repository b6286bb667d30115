import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { RunOutcome } from '../../jobs/RunOutcome';
import type { DispatchCounterName } from '../DispatchCounterName';
import type { DispatchEffect } from '../DispatchEffect';
import type { EndpointState } from '../endpoints/EndpointState';
import { computeLostWork } from '../stops/computeLostWork';
import { getLossCause } from '../stops/getLossCause';
import { getGangCheckpoint } from '../stops/getGangCheckpoint';
import type { StopCause } from '../stops/StopCause';
import { formatLateJob } from '../../logging/formatLateJob';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from './PlacedRun';
import type { RunEnd } from './RunEnd';

type JobEnding = 'completed' | 'failed' | 'cancelled';

interface LedgerSinks {
  /** Room has become free. */
  readonly handleFreed: () => void;
  /** The progress of a job has changed and must be recorded. */
  readonly handleChanged: (job: JobId) => void;
  readonly sendEffect: (effect: DispatchEffect) => void;
}

/** A stop without an answer is sent again after so long: beyond the usual time limit of one, and its task waits for it. */
const FIRST_STOP_RETRY_MS = 200;
/** Losses below this are only counted, in core-milliseconds. */
const TOLD_CORE_MS = 1000;
/** A run whose order had no answer is stopped after so long, unless a look has listed it before. */
const UNANSWERED_STOP_MS = 300;
/** Between later ones, beyond the longer time limit that these have: the endpoint may be slow. */
const STOP_RETRY_MS = 600;

/** Ends of runs and of jobs: frees room, carries ends into progress, and stops what should not run. */
export class RunTracker {
  constructor(
    private readonly books: Map<EndpointIncarnation, EndpointState>,
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    private readonly sinks: LedgerSinks,
    /** A gang goes on from the newest checkpoint of any member. */
    private readonly isSavingGangs = false,
  ) {}

  /** Frees the room of a run and carries its end into the job's progress. */
  recordRunEnd(book: EndpointState, run: PlacedRun, end: RunEnd, now: number): void {
    const { outcome, cause, checkpoint } = end;
    book.removeRun(run);
    this.sinks.handleFreed();
    this.recordLoss(book, run, end, now);
    const job = this.jobs.get(run.job);
    const kept = checkpoint === '' ? run.checkpoint : checkpoint;
    const save = this.isSavingGangs && this.isOfGang(run) ? getGangCheckpoint(run, end, now) : undefined;
    if (save !== undefined) {
      job?.recordGangCheckpoint(run.address.time, run.address.step, save);
    }
    if (job?.progress.recordEnd(run.address, run.run, outcome, kept) === true) {
      job.changedAt = now;
      job.trace.recordRun(run, book.getProfile(), end, now);
      this.sinks.handleChanged(run.job);
      this.sendLogLine('Run ended.', {
        job: run.job,
        task: run.task,
        run: run.run,
        endpoint: book.getProfile().incarnation,
        outcome,
        cause,
        how: end.reportedEnd,
        why: run.stopCause,
        stage: run.stage,
        ageMs: Math.round(now - run.placedAt),
        recordMs: Math.round(run.recordedAt - run.placedAt),
        startMs: Math.round(run.confirmedAt - run.recordedAt),
        unheardMs: Math.round(now - run.seenAt),
      });
    }
    this.checkEmptyBook(book);
  }

  private isOfGang(run: PlacedRun): boolean {
    return this.jobs.get(run.job)?.definition.steps[run.address.step]?.isGang === true;
  }

  /** Counts the work that a run lost, and tells of it where it is some. */
  private recordLoss(book: EndpointState, run: PlacedRun, end: RunEnd, now: number): void {
    const lostBy = getLossCause(run, end);
    if (lostBy === undefined) {
      return;
    }
    const lostCoreMs = computeLostWork(run, end, now);
    this.sendCount(`runsLostBy.${lostBy}`);
    this.sendCount(`coreMsLostBy.${lostBy}`, lostCoreMs);
    if (lostCoreMs >= TOLD_CORE_MS) {
      this.sendLogLine('Work is lost.', {
        job: run.job,
        task: run.task,
        run: run.run,
        endpoint: book.getProfile().incarnation,
        by: lostBy,
        coreMs: lostCoreMs,
        percent: run.percent,
        checkpointAgeMs: run.checkpointedAt === undefined ? undefined : Math.round(now - run.checkpointedAt),
      });
    }
  }

  /**
   * Takes a run that was sent to a life which is over into the books of the next one. What was to be stopped is stopped there too; of the rest the
   * next look tells whether it is there.
   */
  recordTransfer(from: EndpointState, to: EndpointState, run: PlacedRun): void {
    from.removeRun(run);
    run.transferredFrom = from.getProfile().incarnation;
    to.addRun(run);
    const { incarnation: life } = to.getProfile();
    this.jobs.get(run.job)?.progress.recordTransfer(run.address, run.run, life);
    this.sinks.handleChanged(run.job);
    this.sendLogLine('Run may have reached the next life.', {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: life,
      before: run.transferredFrom,
      stage: run.stage,
    });
    if (run.stage === 'stopping') {
      run.stopAnsweredAt = undefined;
      this.sendStopOrder(to, run);
    } else {
      run.stage = 'unconfirmed';
    }
  }

  /** Ends the job when this end completes it, or was one failure too many. */
  checkJobEnd(
    job: LiveJob,
    run: PlacedRun,
    outcome: RunOutcome,
    endpoint: EndpointIncarnation,
    wallMs: number,
  ): void {
    const { time, step, index } = run.address;
    const shape = job.definition.steps[step]!;
    if (outcome === 'failed') {
      job.recordFailureOn(time, step, endpoint);
      const failures = job.countFailures(time, step, index);
      if (!shape.isLongRunning && failures >= job.definition.queue.attempts) {
        this.recordJobEnd(job, 'failed', wallMs);
      }
    }
    if (outcome === 'done' && shape.isGang) {
      job.progress.recordGangDone(time, step);
    }
    if (job.progress.isAllDone()) {
      this.recordJobEnd(job, 'completed', wallMs);
    }
  }

  recordJobEnd(job: LiveJob, ending: JobEnding, wallMs: number): void {
    if (job.progress.isEnded()) {
      return;
    }
    job.progress.recordJobEnd(ending, wallMs);
    this.sinks.handleChanged(job.definition.id);
    this.sendLogLine('Job ended.', { job: job.definition.id, queue: job.definition.queue.name, ending });
    this.checkLate(job, ending, wallMs);
    for (const book of this.books.values()) {
      for (const run of [...book.getRuns()]) {
        if (run.job === job.definition.id) {
          this.sendStop(book, run, 'jobEnded');
        }
      }
    }
  }

  sendStop(book: EndpointState, run: PlacedRun, cause: StopCause): void {
    // While the record is on its way no order has left; `handleRecorded` frees the room.
    if (run.stage === 'stopping' || run.stage === 'recording') {
      return;
    }
    run.stage = 'stopping';
    run.stopCause = cause;
    run.stopAnsweredAt = undefined;
    run.stopSentAt = undefined;
    run.isStopRepeated = false;
    this.sendStopOrder(book, run);
  }

  /** Repeats stops that had no answer, and stops what no look has shown since its order had none. */
  sendStopsAgain(book: EndpointState, now: number): void {
    for (const run of book.getRuns()) {
      if (run.stage === 'ordered' && now - (run.unansweredAt ?? now) >= UNANSWERED_STOP_MS) {
        this.sendStop(book, run, 'unanswered');
        continue;
      }
      if (run.stage !== 'stopping' || run.stopAnsweredAt !== undefined) {
        continue;
      }
      run.stopSentAt ??= now;
      const retryMs = run.isStopRepeated ? STOP_RETRY_MS : FIRST_STOP_RETRY_MS;
      if (now - run.stopSentAt >= retryMs) {
        run.stopSentAt = now;
        run.isStopRepeated = true;
        this.sendStopOrder(book, run);
      }
    }
  }

  /** Has the endpoint looked at now: something that it must show is waited for. */
  sendLook(book: EndpointState): void {
    this.sinks.sendEffect({ kind: 'look', endpoint: book.getProfile().incarnation });
  }

  /** The one line that tells why a caller was served late or not at all; it stays in the log whatever the load. */
  private checkLate(job: LiveJob, ending: JobEnding, wallMs: number): void {
    const { definition, trace } = job;
    const lateMs = wallMs - job.getObjectiveAtMs(definition.times - 1);
    if (ending === 'failed' || (ending === 'completed' && lateMs > 0)) {
      const account = trace.createAccount(definition, ending, wallMs);
      this.sendLogLine('Job ended late.', formatLateJob(account, lateMs));
    }
  }

  private sendStopOrder(book: EndpointState, run: PlacedRun): void {
    const { task, run: number, isStopRepeated: isRepeated } = run;
    this.sinks.sendEffect({
      kind: 'stop',
      endpoint: book.getProfile().incarnation,
      task,
      run: number,
      isRepeated,
    });
  }

  checkEmptyBook(book: EndpointState): void {
    if (book.getProfile().address === '' && book.countRuns() === 0) {
      this.books.delete(book.getProfile().incarnation);
    }
  }

  sendCount(name: DispatchCounterName, amount = 1): void {
    this.sinks.sendEffect({ kind: 'count', name, amount });
  }

  sendLogLine(sentence: string, fields: Readonly<Record<string, unknown>>): void {
    this.sinks.sendEffect({ kind: 'tell', message: sentence, fields });
  }
}
