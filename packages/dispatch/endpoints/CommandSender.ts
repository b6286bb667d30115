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

interface OrderSenderOptions {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly endpoints: EndpointSessions;
  readonly lines: LineBatcher;
  /** True once this leader gives no more orders. */
  readonly isStopped: () => boolean;
  /** True while this leader may give leases. */
  readonly isRenewing: () => boolean;
  readonly recordCount: (name: 'starts' | 'stops') => void;
  readonly recordTime: (name: LeaderDurationName, valueMs: number) => void;
  /** A start of a job is sent. */
  readonly handleStarted: (job: JobId) => void;
  /** An order, or its answer, has changed what may be placed. */
  readonly handleChanged: () => void;
  readonly handleDeposed: (detail: string) => void;
}

const WAIT_CAUSES = Object.keys(waitMetricNames) as WaitCause[];
/** Time for the answer to a stop that had none before: the endpoint may be slow, and only an answer frees the task. */
const REPEATED_STOP_TIMEOUT_MS = 500;

/** Sends the leader's orders to endpoints and hands their answers to the dispatcher. */
export class CommandSender {
  private readonly timeout = new ResponseTimeout();

  constructor(private readonly options: OrderSenderOptions) {}

  /** Sends a start whose record is durable, if it is still wanted. */
  async sendStart(effect: StartEffect): Promise<void> {
    const { clock, dispatcher, endpoints, isStopped, isRenewing, handleChanged } = this.options;
    const session = endpoints.getSession(effect.endpoint);
    const isWanted = !isStopped() && dispatcher.handleStartRecorded(effect, clock.readNow());
    // A start grants a lease too.
    if (session === undefined || !isWanted || !isRenewing()) {
      if (isWanted) {
        dispatcher.handleStartUnsent(effect, clock.readNow());
      }
      handleChanged();
      return;
    }
    this.recordStart(effect);
    const sentAt = clock.readNow();
    session.recordLease(sentAt);
    const timeoutMs = this.timeout.computeTimeoutMs();
    const answer = await session.readClient().sendStart(effect.command, leaderTimings.leaseMs, timeoutMs);
    if (endpoints.getSession(effect.endpoint) !== session) {
      // The life is over, and what became of its orders is for the next one to show; that turns them down without another leader.
      return;
    }
    this.handleStartAnswer(effect, answer, sentAt);
  }

  async sendStop(effect: StopEffect): Promise<void> {
    const { clock, dispatcher, endpoints, recordCount, handleChanged } = this.options;
    const { endpoint, task, run, isRepeated } = effect;
    const timeoutMs = isRepeated ? REPEATED_STOP_TIMEOUT_MS : this.timeout.computeTimeoutMs();
    recordCount('stops');
    const session = endpoints.getSession(endpoint);
    const answer = await session?.readClient().sendStop(task, run, timeoutMs);
    if (answer === undefined || endpoints.getSession(endpoint) !== session || this.isOver(answer)) {
      return;
    }
    dispatcher.handleStopResult(endpoint, task, run, answer, clock.readNow());
    if (answer.kind === 'done' || answer.kind === 'rejected') {
      // Only a look that is sent after the stop was answered can prove that the run is not there.
      void session?.sendExtraPoll();
    }
    handleChanged();
  }

  private recordStart({ job, waits }: StartEffect): void {
    const { recordCount, recordTime, handleStarted } = this.options;
    recordCount('starts');
    handleStarted(job);
    WAIT_CAUSES.forEach((cause) => recordTime(waitMetricNames[cause], waits[cause]));
  }

  private handleStartAnswer(effect: StartEffect, answer: CommandResult, sentAt: number): void {
    const { clock, dispatcher, lines, recordTime, handleChanged } = this.options;
    const { job, endpoint, command: order } = effect;
    const { task, run } = order;
    const now = clock.readNow();
    this.recordTimeout(answer, now - sentAt);
    recordTime('startMs', now - sentAt);
    if (answer.kind !== 'done') {
      lines.recordLine('Start not confirmed.', { job, task, run, endpoint, ...answer }, now);
    }
    if (this.isOver(answer)) {
      return;
    }
    dispatcher.handleStartResult(endpoint, task, run, answer, now);
    handleChanged();
  }

  private recordTimeout(answer: CommandResult, tookMs: number): void {
    if (answer.kind === 'unanswered') {
      this.timeout.recordTimeout(tookMs);
    } else {
      this.timeout.recordAnswer(tookMs);
    }
  }

  /** True when this leader gives no more orders; an endpoint that obeys a newer one shows that. */
  private isOver(answer: CommandResult): boolean {
    const isFenced = answer.kind === 'rejected' && answer.reason === 'fence';
    if (isFenced) {
      this.options.handleDeposed('an endpoint obeys a newer leader');
    }
    return isFenced || this.options.isStopped();
  }
}
