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

interface RunCommandsOptions {
  readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly runTracker: RunTracker;
  /** Called when a result shows that the incarnation has ended. */
  readonly handleIncarnationEnd: (incarnation: EndpointIncarnation, now: number) => void;
}

const NOT_SENT_END: RunEnd = { outcome: 'interrupted', evidence: 'notSent', checkpoint: '' };
const NOT_DELIVERED_END: RunEnd = { outcome: 'interrupted', evidence: 'notDelivered', checkpoint: '' };
const REJECTED_END: RunEnd = { outcome: 'interrupted', evidence: 'turnedDown', checkpoint: '' };
const UNHEALTHY_END: RunEnd = { outcome: 'interrupted', evidence: 'unhealthy', checkpoint: '' };

/** Decides whether recorded starts are sent, cancels starts, and applies the results of start and stop commands to runs. */
export class RunCommands {
  constructor(private readonly options: RunCommandsOptions) {}

  /**
   * Called once a start's record is durable. Returns true, and marks the run as ordered, if the start command is to be sent. The
   * job, the endpoint and the ticket are checked again, since they may have changed while the record was written: if one does not
   * permit the start any more, ends the run as not sent and returns false. Returns false too for a run that has ended already.
   */
  handleStartRecorded(effect: StartEffect, now: number): boolean {
    const { jobs, runTracker } = this.options;
    const found = this.findRun(effect.endpoint, effect.command.task, effect.command.run);
    if (found === undefined || found.run.stage !== 'recording') {
      return false;
    }
    const { endpoint, run } = found;
    const job = jobs.get(run.job);
    // The capacity of the endpoint may have shrunk since the placement, so that its runs exceed it.
    const isRunnable =
      job !== undefined && !job.progress.isEnded() && endpoint.isSchedulable() && !endpoint.isOvercommitted();
    if (!isRunnable || !this.isTicketValid(job, run, effect, now)) {
      runTracker.recordRunEnd(endpoint, run, NOT_SENT_END, now);
      return false;
    }
    run.stage = 'ordered';
    run.recordedAt = now;
    run.startConfirmedAt = now;
    return true;
  }

  /** Returns true if the start needs no ticket, or if the job's ticket for the endpoint can still be sent. */
  private isTicketValid(
    job: LiveJob,
    run: PlacedRun,
    { endpoint, command }: StartEffect,
    now: number,
  ): boolean {
    const { repetition, step } = run.address;
    return command.ticket === '' || job.getStepAdvice(repetition, step).hasSendableTicket(endpoint, now);
  }

  /** Ends the runs whose start records are not durable yet as not sent, so that their tasks wait again. */
  cancelUnrecordedStarts(now: number): void {
    for (const endpoint of this.options.endpoints.values()) {
      for (const run of [...endpoint.getRuns()]) {
        if (run.stage === 'recording') {
          this.options.runTracker.recordRunEnd(endpoint, run, NOT_SENT_END, now);
        }
      }
    }
  }

  /** Ends the run of a recorded start that was not sent, so that its capacity is free and its task waits again. */
  handleStartUnsent(effect: StartEffect, now: number): void {
    const found = this.findRun(effect.endpoint, effect.command.task, effect.command.run);
    if (found !== undefined) {
      this.options.runTracker.recordRunEnd(found.endpoint, found.run, NOT_SENT_END, now);
    }
  }

  /** Applies the result of a start command, unless a status or a stop has changed the run's stage since. */
  handleStartResult(
    incarnation: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    result: CommandResult,
    now: number,
  ): void {
    const found = this.findRun(incarnation, task, runNumber);
    // The result is outdated if a status or a stop was applied before it.
    if (found !== undefined && found.run.stage === 'ordered') {
      this.applyStartResult(found.endpoint, found.run, result, now);
    }
  }

  /** Records the time of the first response to a stop command, done or rejected; ends the incarnation if the result is `gone`. */
  handleStopResult(
    incarnation: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    result: CommandResult,
    now: number,
  ): void {
    const run = this.findRun(incarnation, task, runNumber)?.run;
    if (result.kind === 'gone') {
      this.options.handleIncarnationEnd(incarnation, now);
    } else if (run !== undefined && (result.kind === 'done' || result.kind === 'rejected')) {
      run.stopRespondedAt ??= now;
    }
  }

  private findRun(
    incarnation: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
  ): { readonly endpoint: EndpointState; readonly run: PlacedRun } | undefined {
    const endpoint = this.options.endpoints.get(incarnation);
    const run = endpoint?.getRun(task, runNumber);
    return endpoint === undefined || run === undefined ? undefined : { endpoint, run };
  }

  private applyStartResult(
    endpoint: EndpointState,
    run: PlacedRun,
    result: CommandResult,
    now: number,
  ): void {
    const { jobs, runTracker, handleIncarnationEnd } = this.options;
    const { incarnation } = endpoint.getProfile();
    switch (result.kind) {
      case 'done':
        jobs.get(run.job)?.recordStartAccepted(run.address);
        runTracker.recordRunBegin(run);
        run.stage = 'running';
        run.startConfirmedAt = now;
        return;
      case 'undelivered':
        endpoint.recordRunOutcome(true, now);
        endpoint.recordUnreachable(now);
        // Nothing was sent, so the task can be placed again at once, and is not blamed for a crash of the endpoint.
        runTracker.recordRunEnd(endpoint, run, NOT_DELIVERED_END, now);
        return;
      case 'unanswered':
        endpoint.recordRunOutcome(true, now);
        // No more starts until a poll succeeds: on a partitioned endpoint each one would wait for its lease to expire.
        endpoint.recordUnreachable(now);
        this.handleStartInDoubt(endpoint, run, now);
        return;
      case 'interrupted':
        // Says nothing about the endpoint, where other starts may go on.
        this.handleStartInDoubt(endpoint, run, now);
        return;
      case 'gone':
        handleIncarnationEnd(incarnation, now);
        return;
      case 'rejected':
        if (result.reason === 'ticket') {
          jobs
            .get(run.job)
            ?.getStepAdvice(run.address.repetition, run.address.step)
            .removeTicket(incarnation);
        }
        jobs.get(run.job)?.recordStartRejected(run.address, now);
        runTracker.recordRunEnd(endpoint, run, REJECTED_END, now);
        return;
      case 'unhealthy':
        endpoint.recordRunOutcome(true, now);
        jobs.get(run.job)?.recordStartRejected(run.address, now);
        runTracker.recordRunEnd(endpoint, run, UNHEALTHY_END, now);
        return;
    }
  }

  /** Polls the endpoint, since the run may have started with only the response missing. A stop would lose the run's work. */
  private handleStartInDoubt(endpoint: EndpointState, run: PlacedRun, now: number): void {
    run.startTimedOutAt = now;
    this.options.runTracker.sendPoll(endpoint);
  }
}
