import type { JobDefinition } from '../../jobs/JobDefinition';
import type { JobId } from '../../jobs/JobId';
import { parseTaskName } from '../../jobs/parseTaskName';
import type { RunOutcome } from '../../jobs/RunOutcome';
import { createPlacedRun } from '../runs/createPlacedRun';
import { createOrphanRun } from '../runs/createOrphanRun';
import type { CrashTracker } from '../crashes/CrashTracker';
import { isPastStartup } from '../crashes/isPastStartup';
import type { EndedTaskStatus } from './EndedTaskStatus';
import type { EndpointState } from './EndpointState';
import type { LiveJob } from '../waiting/LiveJob';
import type { EndpointStatus } from './EndpointStatus';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { RunTracker } from '../runs/RunTracker';
import type { RunLearner } from '../speeds/RunLearner';
import type { RunningTaskStatus } from './RunningTaskStatus';

interface StatusReconcilerOptions {
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly tracker: RunTracker;
  readonly learner: RunLearner;
  readonly crashes: CrashTracker;
  /** Returns the definition of any job, also of one that has ended; undefined when it is unknown. */
  readonly getDefinition: (id: JobId) => JobDefinition | undefined;
}

/** Outcome of a run for its job's progress, by the kind of end that the endpoint reported. */
const RUN_OUTCOMES: Readonly<Record<EndedTaskStatus['how'], RunOutcome>> = {
  done: 'done',
  failed: 'failed',
  stopped: 'interrupted',
  lapsed: 'interrupted',
  broken: 'interrupted',
  alone: 'interrupted',
};
const NOT_LISTED: RunEnd = { outcome: 'interrupted', evidence: 'notListed', checkpoint: '' };
const INCARNATION_ENDED: RunEnd = { outcome: 'interrupted', evidence: 'lifeOver', checkpoint: '' };
/** Highest number of ends in one status; a list of this length may be incomplete. */
const MAX_LISTED_ENDS = 500;

/** Updates the runs that the leader knows on an endpoint, and their jobs' progress, from the status of the endpoint. */
export class StatusReconciler {
  constructor(private readonly options: StatusReconcilerOptions) {}

  /**
   * Applies a status, and records that the endpoint is reachable: first come its ended tasks, then the running ones, then the known runs that the
   * status doesn't list, unless its list of ends may be incomplete.
   */
  applyStatus(endpoint: EndpointState, status: EndpointStatus, now: number, wallMs: number): void {
    endpoint.recordResponse(now);
    this.options.crashes.handleReachable(status.endpoint, now);
    for (const row of status.ended) {
      this.applyEndedTask(endpoint, row, now, wallMs);
    }
    const listed = new Set<PlacedRun>();
    for (const row of status.running) {
      listed.add(this.applyRunningTask(endpoint, row, now));
    }
    if (status.ended.length < MAX_LISTED_ENDS) {
      this.checkUnlistedRuns(endpoint, listed, status.pollSentAt, now);
    }
  }

  /** Ends a run as the status says, and with it its job if nothing is left to do. Ignores an unknown run, which has been handled before. */
  private applyEndedTask(endpoint: EndpointState, row: EndedTaskStatus, now: number, wallMs: number): void {
    const run = endpoint.getRun(row.task, row.run);
    if (run === undefined) {
      return;
    }
    this.applyTransferConfirmed(run, now);
    const outcome = RUN_OUTCOMES[row.how];
    endpoint.recordRunOutcome(outcome === 'failed', now);
    this.updateFailureStreak(endpoint, outcome, now);
    if (outcome === 'done') {
      this.options.learner.recordCompletion(endpoint, run, now);
    }
    this.options.tracker.recordRunEnd(
      endpoint,
      run,
      { outcome, evidence: 'listed', checkpoint: row.checkpoint, reportedEnd: row.how },
      now,
    );
    const job = this.options.jobs.get(run.job);
    if (job !== undefined) {
      this.options.tracker.applyRunOutcome(job, run, outcome, endpoint.getProfile().incarnation, wallMs);
    }
  }

  /** Updates the run of a running task from the status, and returns it. A run that this leader doesn't know there is added, and stopped. */
  private applyRunningTask(endpoint: EndpointState, row: RunningTaskStatus, now: number): PlacedRun {
    const run = endpoint.getRun(row.task, row.run) ?? this.stopOrphan(endpoint, row, now);
    if (run.stage === 'ordered' || run.stage === 'unconfirmed') {
      run.stage = 'running';
      // A run whose start had no response may have begun just now, so that its startup is counted from here.
      run.startConfirmedAt = now;
      if (run.startTimedOutAt !== undefined) {
        this.logLateConfirmation(
          'Run has started, though its start command had no response.',
          endpoint,
          run,
          now,
        );
        run.startTimedOutAt = undefined;
      }
    }
    this.applyTransferConfirmed(run, now);
    if (!run.hasBeenListed) {
      this.options.tracker.recordRunBegin(run);
    }
    run.hasBeenListed = true;
    run.lastListedAt = now;
    if (isPastStartup(run)) {
      endpoint.recordStartupPassed(run);
      this.options.crashes.handleRunListed(run);
    }
    if (row.percent > run.percent) {
      run.percent = row.percent;
      run.lastProgressAt = now;
    }
    this.options.learner.recordProgress(endpoint, run, now);
    if (row.checkpoint !== '' && row.checkpoint !== run.checkpoint) {
      run.checkpoint = row.checkpoint;
      run.checkpointedAt = now;
      this.options.jobs.get(run.job)?.progress.recordCheckpoint(run.address, row.checkpoint);
    }
    return run;
  }

  /** Logs that a run whose start command had no response is confirmed, with the time since the start command timed out. */
  private logLateConfirmation(message: string, endpoint: EndpointState, run: PlacedRun, now: number): void {
    this.options.tracker.sendLogLine(message, {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: endpoint.getProfile().incarnation,
      doubtedMs: Math.round(now - (run.startTimedOutAt ?? now)),
    });
  }

  /** Records the end of a run in the endpoint's failure streak, and logs when the streak begins or ceases to count as failing. */
  private updateFailureStreak(endpoint: EndpointState, outcome: RunOutcome, now: number): void {
    const streak = endpoint.getFailureStreak();
    const wasFailing = streak.isFailing();
    streak.recordRunEnd(outcome, now);
    if (streak.isFailing() !== wasFailing) {
      const message = wasFailing ? 'Endpoint has recovered from failures.' : 'Endpoint fails all its runs.';
      this.options.tracker.sendLogLine(message, { endpoint: endpoint.getProfile().incarnation });
    }
  }

  /** Clears the task of a transferred run of the crash of the previous incarnation, since the run began on this one. Does nothing for other runs. */
  private applyTransferConfirmed(run: PlacedRun, now: number): void {
    if (run.transferredFrom !== undefined) {
      this.options.crashes.handleTransferConfirmed(run, run.transferredFrom, now);
      run.transferredFrom = undefined;
    }
  }

  /** Adds a run that this leader doesn't know on the endpoint, sends a stop command for it, and returns it. */
  private stopOrphan(endpoint: EndpointState, row: RunningTaskStatus, now: number): PlacedRun {
    const parsed = parseTaskName(row.task);
    const definition = parsed === undefined ? undefined : this.options.getDefinition(parsed.job);
    const isKnown = parsed !== undefined && definition?.steps[parsed.address.step] !== undefined;
    const run: PlacedRun = isKnown
      ? createPlacedRun(definition!, parsed.address, row.run, now)
      : createOrphanRun(row, now);
    run.stage = 'running';
    endpoint.addRun(run);
    this.options.tracker.sendStop(endpoint, run, 'notWanted');
    this.options.tracker.sendLogLine('Stopping an orphan run.', {
      job: run.job,
      task: row.task,
      run: row.run,
      endpoint: endpoint.getProfile().incarnation,
    });
    return run;
  }

  /** Ends the runs that a status doesn't list and that have certainly ended. Stops those whose start command had no response before the poll. */
  private checkUnlistedRuns(
    endpoint: EndpointState,
    listed: ReadonlySet<PlacedRun>,
    sentAt: number,
    now: number,
  ): void {
    for (const run of [...endpoint.getRuns()]) {
      if (listed.has(run)) {
        continue;
      }
      if (this.isCertainlyMissing(run, sentAt)) {
        this.recordMissingRun(endpoint, run, now);
      } else if (run.stage === 'ordered' && sentAt >= (run.startTimedOutAt ?? Infinity)) {
        // The start command may still arrive, unless a stop precedes it.
        this.options.tracker.sendStop(endpoint, run, 'unanswered');
      }
    }
  }

  /** Ends a run that has certainly ended. A transferred one ended with the incarnation that it was sent to, and counts as lost. */
  private recordMissingRun(endpoint: EndpointState, run: PlacedRun, now: number): void {
    const { tracker } = this.options;
    if (run.transferredFrom !== undefined) {
      tracker.sendCount('runsLost');
    }
    tracker.recordRunEnd(
      endpoint,
      run,
      run.transferredFrom === undefined ? NOT_LISTED : INCARNATION_ENDED,
      now,
    );
  }

  /** Returns true when a run that a status doesn't list has certainly ended, or will never begin. The status is of a poll sent at `sentAt`. */
  private isCertainlyMissing(run: PlacedRun, sentAt: number): boolean {
    switch (run.stage) {
      case 'recording':
      case 'ordered':
        return false;
      case 'unconfirmed':
        return true;
      case 'running':
        return run.startConfirmedAt < sentAt;
      case 'stopping':
        return run.stopRespondedAt !== undefined && run.stopRespondedAt <= sentAt;
    }
  }
}
