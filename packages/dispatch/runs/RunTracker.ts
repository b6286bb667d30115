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

interface RunTrackerCallbacks {
  /** Called when capacity has been released. */
  readonly handleFreed: () => void;
  /** Called when the progress of a job has changed and must be recorded. */
  readonly handleChanged: (job: JobId) => void;
  readonly sendEffect: (effect: DispatchEffect) => void;
}

/** Delay of the first retry of a stop; longer than its usual timeout. */
const FIRST_STOP_RETRY_MS = 200;
/** Smaller losses of work, in core-milliseconds, are counted but not logged. */
const MIN_LOGGED_CORE_MS = 1000;
/** A run whose start command timed out is stopped after this time, unless a poll lists it before. */
const UNANSWERED_STOP_MS = 300;
/** Delay of later retries, whose timeout is longer. */
const STOP_RETRY_MS = 600;

/** Records the ends of runs and jobs in the endpoints' state and the jobs' progress, and sends stops. */
export class RunTracker {
  constructor(
    private readonly endpoints: Map<EndpointIncarnation, EndpointState>,
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    private readonly callbacks: RunTrackerCallbacks,
    /** Gangs resume from the newest checkpoint of any member. */
    private readonly isSharingGangCheckpoints = false,
  ) {}

  /** Releases the capacity of a run and records its end in the job's progress. */
  recordRunEnd(endpoint: EndpointState, run: PlacedRun, end: RunEnd, now: number): void {
    const { outcome, cause, checkpoint } = end;
    endpoint.removeRun(run);
    this.callbacks.handleFreed();
    this.recordLostWork(endpoint, run, end, now);
    const job = this.jobs.get(run.job);
    const newestCheckpoint = checkpoint === '' ? run.checkpoint : checkpoint;
    const gangCheckpoint =
      this.isSharingGangCheckpoints && this.isGangMember(run) ? getGangCheckpoint(run, end, now) : undefined;
    if (gangCheckpoint !== undefined) {
      job?.recordGangCheckpoint(run.address.repetition, run.address.step, gangCheckpoint);
    }
    if (job?.progress.recordRunEnd(run.address, run.run, outcome, newestCheckpoint) === true) {
      job.changedAt = now;
      job.trace.recordRun(run, endpoint.getProfile(), end, now);
      this.callbacks.handleChanged(run.job);
      this.sendLogLine('Run ended.', {
        job: run.job,
        task: run.task,
        run: run.run,
        endpoint: endpoint.getProfile().incarnation,
        outcome,
        cause,
        how: end.reportedEnd,
        why: run.stopCause,
        stage: run.stage,
        ageMs: Math.round(now - run.placedAt),
        recordMs: Math.round(run.recordedAt - run.placedAt),
        startMs: Math.round(run.confirmedAt - run.recordedAt),
        unheardMs: Math.round(now - run.lastListedAt),
      });
    }
    this.removeUnusedEndpoint(endpoint);
  }

  private isGangMember(run: PlacedRun): boolean {
    return this.jobs.get(run.job)?.definition.steps[run.address.step]?.isGang === true;
  }

  /** Counts the work that a run lost, and logs a larger loss. */
  private recordLostWork(endpoint: EndpointState, run: PlacedRun, end: RunEnd, now: number): void {
    const lossCause = getLossCause(run, end);
    if (lossCause === undefined) {
      return;
    }
    const lostCoreMs = computeLostWork(run, end, now);
    this.sendCount(`runsLostBy.${lossCause}`);
    this.sendCount(`coreMsLostBy.${lossCause}`, lostCoreMs);
    if (lostCoreMs >= MIN_LOGGED_CORE_MS) {
      this.sendLogLine('Work is lost.', {
        job: run.job,
        task: run.task,
        run: run.run,
        endpoint: endpoint.getProfile().incarnation,
        by: lossCause,
        coreMs: lostCoreMs,
        percent: run.percent,
        checkpointAgeMs: run.checkpointedAt === undefined ? undefined : Math.round(now - run.checkpointedAt),
      });
    }
  }

  /**
   * Transfers a run from an ended incarnation to the next one, which may have received its start. A run that was being stopped is
   * stopped there too; for any other the next poll shows whether it runs.
   */
  recordTransfer(from: EndpointState, to: EndpointState, run: PlacedRun): void {
    from.removeRun(run);
    run.transferredFrom = from.getProfile().incarnation;
    to.addRun(run);
    const { incarnation } = to.getProfile();
    this.jobs.get(run.job)?.progress.recordRunTransfer(run.address, run.run, incarnation);
    this.callbacks.handleChanged(run.job);
    this.sendLogLine('Run may have reached the next life.', {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: incarnation,
      before: run.transferredFrom,
      stage: run.stage,
    });
    if (run.stage === 'stopping') {
      run.stopRespondedAt = undefined;
      this.sendStopCommand(to, run);
    } else {
      run.stage = 'unconfirmed';
    }
  }

  /** Ends the job when the end of this run completes it or uses up its attempts. */
  checkJobEnd(
    job: LiveJob,
    run: PlacedRun,
    outcome: RunOutcome,
    incarnation: EndpointIncarnation,
    wallMs: number,
  ): void {
    const { repetition: time, step, index } = run.address;
    const shape = job.definition.steps[step]!;
    if (outcome === 'failed') {
      job.recordFailureOn(time, step, incarnation);
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

  /** Ends a job and stops its runs. Does nothing if it has ended. */
  recordJobEnd(job: LiveJob, ending: JobEnding, wallMs: number): void {
    if (job.progress.isEnded()) {
      return;
    }
    job.progress.recordJobEnd(ending, wallMs);
    this.callbacks.handleChanged(job.definition.id);
    this.sendLogLine('Job ended.', { job: job.definition.id, queue: job.definition.queue.name, ending });
    this.logLateJob(job, ending, wallMs);
    for (const endpoint of this.endpoints.values()) {
      for (const run of [...endpoint.getRuns()]) {
        if (run.job === job.definition.id) {
          this.sendStop(endpoint, run, 'jobEnded');
        }
      }
    }
  }

  /** Sends a stop, unless the run is being stopped or its start was not sent yet. */
  sendStop(endpoint: EndpointState, run: PlacedRun, cause: StopCause): void {
    // While the record is being written no start command has been sent; `handleStartRecorded` drops it if its job has ended.
    if (run.stage === 'stopping' || run.stage === 'recording') {
      return;
    }
    run.stage = 'stopping';
    run.stopCause = cause;
    run.stopRespondedAt = undefined;
    run.stopSentAt = undefined;
    run.isStopRepeated = false;
    this.sendStopCommand(endpoint, run);
  }

  /** Retries stops without a response, and stops runs whose start timed out and that no poll has listed since. */
  retryStops(endpoint: EndpointState, now: number): void {
    for (const run of endpoint.getRuns()) {
      if (run.stage === 'ordered' && now - (run.startTimedOutAt ?? now) >= UNANSWERED_STOP_MS) {
        this.sendStop(endpoint, run, 'unanswered');
        continue;
      }
      if (run.stage !== 'stopping' || run.stopRespondedAt !== undefined) {
        continue;
      }
      run.stopSentAt ??= now;
      const retryMs = run.isStopRepeated ? STOP_RETRY_MS : FIRST_STOP_RETRY_MS;
      if (now - run.stopSentAt >= retryMs) {
        run.stopSentAt = now;
        run.isStopRepeated = true;
        this.sendStopCommand(endpoint, run);
      }
    }
  }

  /** Requests a poll at once. */
  sendPoll(endpoint: EndpointState): void {
    this.callbacks.sendEffect({ kind: 'look', endpoint: endpoint.getProfile().incarnation });
  }

  /** Logs why a job failed or missed its objective. */
  private logLateJob(job: LiveJob, ending: JobEnding, wallMs: number): void {
    const { definition, trace } = job;
    const lateMs = wallMs - job.getObjectiveAtMs(definition.times - 1);
    if (ending === 'failed' || (ending === 'completed' && lateMs > 0)) {
      const account = trace.createHistory(definition, ending, wallMs);
      this.sendLogLine('Job ended late.', formatLateJob(account, lateMs));
    }
  }

  private sendStopCommand(endpoint: EndpointState, run: PlacedRun): void {
    const { task, run: number, isStopRepeated: isRepeated } = run;
    this.callbacks.sendEffect({
      kind: 'stop',
      endpoint: endpoint.getProfile().incarnation,
      task,
      run: number,
      isRepeated,
    });
  }

  /** Removes the state of an endpoint without an address once it has no runs. */
  removeUnusedEndpoint(endpoint: EndpointState): void {
    if (endpoint.getProfile().address === '' && endpoint.countRuns() === 0) {
      this.endpoints.delete(endpoint.getProfile().incarnation);
    }
  }

  sendCount(name: DispatchCounterName, amount = 1): void {
    this.callbacks.sendEffect({ kind: 'count', name, amount });
  }

  sendLogLine(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.callbacks.sendEffect({ kind: 'tell', message, fields });
  }
}
