import type { Clock } from '../../common/Clock';
import type { JobId } from '../../jobs/JobId';
import { leaderTimings } from '../../leadership/leaderTimings';
import type { LineBatcher } from '../../logging/LineBatcher';
import type { DispatchEffect } from '../DispatchEffect';
import type { Dispatcher } from '../Dispatcher';
import type { LeaderDurationName } from '../LeaderDurationName';
import type { WaitCause } from '../waiting/WaitCause';
import { waitMetricNames } from '../waiting/waitMetricNames';
import { ResponseTimeout } from './ResponseTimeout';
import type { EndpointSessions } from './EndpointSessions';
import type { CommandResult } from './CommandResult';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;
type StopEffect = Extract<DispatchEffect, { kind: 'stop' }>;

interface CommandSenderOptions {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly endpoints: EndpointSessions;
  readonly lineBatcher: LineBatcher;
  /** Returns true once this leader has stopped, and sends no more commands. */
  readonly isStopped: () => boolean;
  /** Returns true while this leader may grant leases. */
  readonly canGrantLeases: () => boolean;
  readonly recordCount: (name: 'starts' | 'stops') => void;
  readonly recordTime: (name: LeaderDurationName, valueMs: number) => void;
  /** Called right before a start command for a task of the job is sent. */
  readonly handleJobStart: (job: JobId) => void;
  /** Called after a result, or a start command that was not sent, has changed which tasks can be placed. */
  readonly handleSchedulingChange: () => void;
  /** Called when an endpoint rejects a command because it has seen the token of a newer leader. */
  readonly handleLeadershipLost: (detail: string) => void;
}

const WAIT_CAUSES = Object.keys(waitMetricNames) as WaitCause[];
/** Time limit for the response to a repeated stop command. The first one has the adaptive limit, which may be too short for a slow endpoint. */
const REPEATED_STOP_TIMEOUT_MS = 500;

/** Sends the leader's commands to endpoints and hands the results to the dispatcher. */
export class CommandSender {
  private readonly responseTimeout = new ResponseTimeout();

  constructor(private readonly options: CommandSenderOptions) {}

  /**
   * Sends a start command, once the record of the run is durable, and applies its result. Sends nothing when the run isn't wanted any more or this
   * leader has stopped. Ends the run as not sent when the endpoint has no session or no lease may be granted.
   */
  async sendStart(effect: StartEffect): Promise<void> {
    const { clock, dispatcher, endpoints, isStopped, canGrantLeases, handleSchedulingChange } = this.options;
    const session = endpoints.getSession(effect.endpoint);
    const isWanted = !isStopped() && dispatcher.handleStartRecorded(effect, clock.getNow());
    // Needs the right to grant leases, since a start command grants one.
    if (session === undefined || !isWanted || !canGrantLeases()) {
      if (isWanted) {
        dispatcher.handleStartUnsent(effect, clock.getNow());
      }
      handleSchedulingChange();
      return;
    }
    this.recordStartMetrics(effect);
    const sentAt = clock.getNow();
    session.recordLease(sentAt);
    const timeoutMs = this.responseTimeout.computeTimeoutMs();
    const result = await session.getClient().sendStart(effect.command, leaderTimings.leaseMs, timeoutMs);
    if (endpoints.getSession(effect.endpoint) !== session) {
      // The incarnation has ended: polls of the next one show whether it got the command. A rejection from there is no proof of a newer leader.
      this.logStartNotConfirmed(effect, { ...result, hasIncarnationEnded: true });
      return;
    }
    this.handleStartResult(effect, result, sentAt);
  }

  /**
   * Sends a stop command and applies its result; a repeated one has a longer time limit. After a response, polls the endpoint at once. The result is
   * ignored when the incarnation has ended meanwhile, or the leadership is lost.
   */
  async sendStop(effect: StopEffect): Promise<void> {
    const { clock, dispatcher, endpoints, recordCount, handleSchedulingChange } = this.options;
    const { endpoint, task, run, isRepeated } = effect;
    const timeoutMs = isRepeated ? REPEATED_STOP_TIMEOUT_MS : this.responseTimeout.computeTimeoutMs();
    recordCount('stops');
    const session = endpoints.getSession(endpoint);
    const result = await session?.getClient().sendStop(task, run, timeoutMs);
    if (
      result === undefined ||
      endpoints.getSession(endpoint) !== session ||
      this.checkLeadershipOver(result)
    ) {
      return;
    }
    dispatcher.handleStopResult(endpoint, task, run, result, clock.getNow());
    if (result.kind === 'done' || result.kind === 'rejected') {
      // Only a poll that is sent after this response can prove that the run has ended.
      void session?.sendExtraPoll();
    }
    handleSchedulingChange();
  }

  /** Counts a start, and records how long its task has waited for each cause. */
  private recordStartMetrics({ job, waits }: StartEffect): void {
    const { recordCount, recordTime, handleJobStart } = this.options;
    recordCount('starts');
    handleJobStart(job);
    WAIT_CAUSES.forEach((cause) => recordTime(waitMetricNames[cause], waits[cause]));
  }

  /** Records the response time, logs a start that failed, and hands the result to the dispatcher unless the leadership is lost. */
  private handleStartResult(effect: StartEffect, result: CommandResult, sentAt: number): void {
    const { clock, dispatcher, recordTime, handleSchedulingChange } = this.options;
    const { endpoint, command } = effect;
    const { task, run } = command;
    const now = clock.getNow();
    this.recordResponseTime(result, now - sentAt);
    recordTime('startMs', now - sentAt);
    if (result.kind !== 'done') {
      this.logStartNotConfirmed(effect, result);
    }
    if (this.checkLeadershipOver(result)) {
      return;
    }
    dispatcher.handleStartResult(endpoint, task, run, result, now);
    handleSchedulingChange();
  }

  private logStartNotConfirmed({ job, endpoint, command }: StartEffect, result: object): void {
    const { clock, lineBatcher } = this.options;
    const { task, run } = command;
    lineBatcher.recordLine('Start not confirmed.', { job, task, run, endpoint, ...result }, clock.getNow());
  }

  private recordResponseTime(result: CommandResult, tookMs: number): void {
    if (result.kind === 'unanswered') {
      this.responseTimeout.recordUnansweredTime(tookMs);
    } else if (result.kind !== 'interrupted') {
      this.responseTimeout.recordResponseTime(tookMs);
    }
  }

  /**
   * Returns true when this leader sends no more commands: it has stopped, or the endpoint has seen the token of a newer leader. Calls
   * `handleLeadershipLost` in the latter case.
   */
  private checkLeadershipOver(result: CommandResult): boolean {
    const isFenced = result.kind === 'rejected' && result.reason === 'fence';
    if (isFenced) {
      this.options.handleLeadershipLost('an endpoint has accepted a newer leader');
    }
    return isFenced || this.options.isStopped();
  }
}
