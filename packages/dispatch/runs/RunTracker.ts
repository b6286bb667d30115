import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { RunOutcome } from '../../jobs/RunOutcome';
import type { DispatchCounterName } from '../DispatchCounterName';
import type { DispatchEffect } from '../DispatchEffect';
import type { EndpointState } from '../endpoints/EndpointState';
import { computeLostCoreMs } from '../stops/computeLostCoreMs';
import { getLossCause } from '../stops/getLossCause';
import { getGangCheckpoint } from '../stops/getGangCheckpoint';
import type { StopCause } from '../stops/StopCause';
import { formatLateJob } from '../../logging/formatLateJob';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from './PlacedRun';
import type { RunEnd } from './RunEnd';

type JobEndKind = 'completed' | 'failed' | 'cancelled';

interface RunTrackerCallbacks {
  /** Called when the capacity of an ended run was released. */
  readonly handleCapacityReleased: () => void;
  /** Called when the progress of a job has changed and has to be recorded. */
  readonly handleProgressChanged: (job: JobId) => void;
  /** Adds an effect to those that the dispatcher requests. */
  readonly sendEffect: (effect: DispatchEffect) => void;
}

/** Delay of the first retry of a stop command; longer than the usual timeout of the command. */
const FIRST_STOP_RETRY_DELAY_MS = 200;
/** Lost work of a run, in core-milliseconds, below which the loss is counted but not logged. */
const MIN_LOGGED_LOST_CORE_MS = 1000;
/** Time from the timeout of a start command until the run is stopped, unless a poll lists the run before. */
const TIMED_OUT_START_GRACE_MS = 300;
/** Delay between later retries of a stop command, whose timeout is longer. */
const LATER_STOP_RETRY_DELAY_MS = 600;

/**
 * Records the ends and transfers of runs and the ends of jobs in the endpoints' states and the jobs' progress, and sends stop
 * commands.
 */
export class RunTracker {
  constructor(
    private readonly endpoints: Map<EndpointIncarnation, EndpointState>,
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    private readonly callbacks: RunTrackerCallbacks,
    /** True if a checkpoint that an ended gang member leaves is recorded for the whole gang. */
    private readonly isSharingGangCheckpoints = false,
  ) {}

  /**
   * Records the end of a run: removes it from its endpoint, counts the work that it lost, and records the end in the job's progress,
   * unless that already has it. Also removes the state of an endpoint that is no longer needed.
   */
  recordRunEnd(endpoint: EndpointState, run: PlacedRun, end: RunEnd, now: number): void {
    const { outcome, evidence, checkpoint } = end;
    endpoint.removeRun(run);
    this.callbacks.handleCapacityReleased();
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
      job.trace.recordRunEnd(run, endpoint.getProfile(), end, now);
      this.callbacks.handleProgressChanged(run.job);
      this.sendLogLine('Run ended.', {
        job: run.job,
        task: run.task,
        run: run.run,
        endpoint: endpoint.getProfile().incarnation,
        outcome,
        cause: evidence,
        how: end.reportedEnd,
        why: run.stopCause,
        stage: run.stage,
        ageMs: Math.round(now - run.placedAt),
        recordMs: Math.round(run.recordedAt - run.placedAt),
        startMs: Math.round(run.startConfirmedAt - run.recordedAt),
        unheardMs: Math.round(now - run.lastListedAt),
      });
    }
    this.removeUnusedEndpoint(endpoint);
  }

  private isGangMember(run: PlacedRun): boolean {
    return this.jobs.get(run.job)?.definition.steps[run.address.step]?.isGang === true;
  }

  /** Counts the work that a run lost, if it lost any, and logs losses of at least `MIN_LOGGED_LOST_CORE_MS`. */
  private recordLostWork(endpoint: EndpointState, run: PlacedRun, end: RunEnd, now: number): void {
    const lossCause = getLossCause(run, end);
    if (lossCause === undefined) {
      return;
    }
    const lostCoreMs = computeLostCoreMs(run, end, now);
    this.sendCount(`runsLostBy.${lossCause}`);
    this.sendCount(`coreMsLostBy.${lossCause}`, lostCoreMs);
    if (lostCoreMs >= MIN_LOGGED_LOST_CORE_MS) {
      this.sendLogLine('Work lost.', {
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
   * Transfers a run from an ended incarnation to the next one, which may have received the run's start command, and records that in
   * the job's progress. If the run was being stopped, sends the stop command to the next incarnation too; else the run becomes
   * unconfirmed, until a poll shows whether it runs.
   */
  recordRunTransfer(from: EndpointState, to: EndpointState, run: PlacedRun): void {
    from.removeRun(run);
    run.transferredFrom = from.getProfile().incarnation;
    to.addRun(run);
    const { incarnation } = to.getProfile();
    this.jobs.get(run.job)?.progress.recordRunTransfer(run.address, run.run, incarnation);
    this.callbacks.handleProgressChanged(run.job);
    this.sendLogLine('Run may have reached the next incarnation.', {
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

  /**
   * Applies an ended run's outcome to its job. A failure marks the endpoint as failed for the step, and fails the job if that was the
   * task's last attempt, unless the task is long-running. A done member completes its gang. Ends the job when all tasks are done.
   */
  applyRunOutcome(
    job: LiveJob,
    run: PlacedRun,
    outcome: RunOutcome,
    incarnation: EndpointIncarnation,
    wallMs: number,
  ): void {
    const { repetition, step, index } = run.address;
    const shape = job.definition.steps[step]!;
    if (outcome === 'failed') {
      job.recordStepFailureOn(repetition, step, incarnation);
      const failures = job.countFailures(repetition, step, index);
      if (!shape.isLongRunning && failures >= job.getQueue().attempts) {
        this.recordJobEnd(job, 'failed', wallMs);
      }
    }
    if (outcome === 'done' && shape.isGang) {
      job.progress.recordGangDone(repetition, step);
    }
    if (job.progress.isAllDone()) {
      this.recordJobEnd(job, 'completed', wallMs);
    }
  }

  /** Records the end of a job, logs it and stops the job's runs. Does nothing if the job has ended. */
  recordJobEnd(job: LiveJob, ending: JobEndKind, wallMs: number): void {
    if (job.progress.isEnded()) {
      return;
    }
    job.progress.recordJobEnd(ending, wallMs);
    this.callbacks.handleProgressChanged(job.definition.id);
    this.sendLogLine('Job ended.', { job: job.definition.id, queue: job.getQueue().name, ending });
    this.logFailedOrLateJob(job, ending, wallMs);
    for (const endpoint of this.endpoints.values()) {
      for (const run of endpoint.listRunsOfJob(job.definition.id)) {
        this.sendStop(endpoint, run, 'jobEnded');
      }
    }
  }

  /** Sends a stop command and marks the run as stopping. Does nothing if the run is stopping or its start was not sent yet. */
  sendStop(endpoint: EndpointState, run: PlacedRun, cause: StopCause): void {
    // A run whose record is still being written is ended by `handleStartRecorded` if its job has ended.
    if (run.stage === 'stopping' || run.stage === 'recording') {
      return;
    }
    run.stage = 'stopping';
    run.stopCause = cause;
    run.stopRespondedAt = undefined;
    run.stopRetryTimedFrom = undefined;
    run.isStopRepeated = false;
    this.sendStopCommand(endpoint, run);
  }

  /**
   * Sends the stop commands that are due on an endpoint: repeats those that had no response within the retry delay, and stops runs
   * whose start command timed out and that no poll has listed since.
   */
  sendDueStops(endpoint: EndpointState, now: number): void {
    for (const run of endpoint.getRuns()) {
      if (run.stage === 'ordered' && now - (run.startTimedOutAt ?? now) >= TIMED_OUT_START_GRACE_MS) {
        this.sendStop(endpoint, run, 'unanswered');
        continue;
      }
      if (run.stage !== 'stopping' || run.stopRespondedAt !== undefined) {
        continue;
      }
      run.stopRetryTimedFrom ??= now;
      const retryMs = run.isStopRepeated ? LATER_STOP_RETRY_DELAY_MS : FIRST_STOP_RETRY_DELAY_MS;
      if (now - run.stopRetryTimedFrom >= retryMs) {
        run.stopRetryTimedFrom = now;
        run.isStopRepeated = true;
        this.sendStopCommand(endpoint, run);
      }
    }
  }

  /** Records that a run has begun on its endpoint, and emits an effect that writes the job's state if it is the job's first. */
  recordRunBegin(run: PlacedRun): void {
    if (this.jobs.get(run.job)?.progress.recordBegin() === true) {
      this.callbacks.sendEffect({ kind: 'begin', job: run.job });
    }
  }

  /** Requests an extra poll of the endpoint at once. */
  sendPoll(endpoint: EndpointState): void {
    this.callbacks.sendEffect({ kind: 'look', endpoint: endpoint.getProfile().incarnation });
  }

  /** Logs an account of the job's time if the job failed, or completed after its objective. */
  private logFailedOrLateJob(job: LiveJob, ending: JobEndKind, wallMs: number): void {
    const { definition, trace } = job;
    const lateMs = wallMs - job.getObjectiveAtMs(definition.times - 1);
    if (ending === 'failed' || (ending === 'completed' && lateMs > 0)) {
      const account = trace.createHistory(definition, ending, wallMs);
      this.sendLogLine('Job ended late.', formatLateJob(account, lateMs));
    }
  }

  private sendStopCommand(endpoint: EndpointState, run: PlacedRun): void {
    const { task, run: number, isStopRepeated } = run;
    this.callbacks.sendEffect({
      kind: 'stop',
      endpoint: endpoint.getProfile().incarnation,
      task,
      run: number,
      isRepeated: isStopRepeated,
    });
  }

  /** Removes the state of an endpoint that has no runs and, since no record of the endpoint is known, no address. */
  removeUnusedEndpoint(endpoint: EndpointState): void {
    if (endpoint.getProfile().address === '' && endpoint.countRuns() === 0) {
      this.endpoints.delete(endpoint.getProfile().incarnation);
    }
  }

  /** Emits an effect that increases a counter of the metrics. */
  sendCount(name: DispatchCounterName, amount = 1): void {
    this.callbacks.sendEffect({ kind: 'count', name, amount });
  }

  /** Emits an effect that writes a log line. */
  sendLogLine(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.callbacks.sendEffect({ kind: 'tell', message, fields });
  }
}
