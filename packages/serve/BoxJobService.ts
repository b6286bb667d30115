import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { customerLimits } from '../customers/customerLimits';
import type { CustomerPolicy } from '../customers/CustomerPolicy';
import { hasAccess } from '../customers/hasAccess';
import type { JobCaller } from '../customers/JobCaller';
import type { JobCustomer } from '../customers/JobCustomer';
import type { JobServiceResult } from '../gateway/JobServiceResult';
import type { JobService } from '../gateway/JobService';
import type { JobSubmission } from '../gateway/JobSubmission';
import type { SubmitResult } from '../gateway/SubmitResult';
import type { JobDefinition } from '../jobs/JobDefinition';
import { formatDefinition } from '../jobs/formatDefinition';
import type { JobId } from '../jobs/JobId';
import { jobKeys } from '../jobs/jobKeys';
import type { JobQueue } from '../jobs/JobQueue';
import type { JobReplica } from '../jobs/JobReplica';
import type { JobState } from '../jobs/JobState';
import type { LogFollower } from '../store/LogFollower';
import type { LogWrite } from '../store/LogWrite';
import type { RecordWriter } from '../store/RecordWriter';
import type { WriteOutcome } from '../store/WriteOutcome';
import type { LoadAdmission } from './LoadAdmission';
import type { ServeMetrics } from './ServeMetrics';

interface BoxJobServiceOptions {
  readonly replica: JobReplica;
  readonly writer: RecordWriter;
  readonly jobsFollower: LogFollower;
  readonly statesFollower: LogFollower;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServeMetrics;
  readonly admission: LoadAdmission;
  /** Returns whether all topics that this box follows can be read. */
  readonly isLogReadable: () => boolean;
  /** Returns whether this process leads and has taken over, so that its replica is the newest. */
  readonly isLeading: () => boolean;
  /** Returns the version of the configuration that this box has applied; undefined before the first. */
  readonly getConfigurationVersion: () => number | undefined;
  /** Requests a job's state from the leader; undefined when this box leads, or the leader cannot be reached or returns no state in time. */
  readonly requestLeaderState: (
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ) => Promise<JobState | 'absent' | undefined>;
  /** Handles a job accepted by this box, once it is durable. */
  readonly handleJobAccepted: (definition: JobDefinition) => void;
  /** Handles a cancellation accepted by this box, once it is durable. */
  readonly handleJobCancelled: (id: JobId) => void;
  /** Handles a caller's cancellation of a job that this box does not know, once it is durable. */
  readonly handleUnknownJobCancelled: (id: JobId, caller: JobCaller) => void;
}

/** Time after which callers are asked to retry when the log is unavailable. */
const RETRY_AFTER_MS = 1000;
/** Duration of failing appends beyond which jobs are refused without a try, while reads fail too. */
const REFUSAL_OUTAGE_MS = 400;
/** Duration of failing appends beyond which jobs are refused without a try, while reads succeed. */
const REFUSAL_OUTAGE_WHILE_READABLE_MS = 1000;
/** Timeout of an append, unless the deadline of the caller shortens it. A slower one is better retried through another box. */
const MAX_WRITE_MS = 1300;
/** Share of the caller's remaining time that an append may take, which leaves time for a retry through another box. */
const MAX_WRITE_TIME_SHARE = 0.4;
/** Timeout of a read from the log or a state request to the leader, unless the deadline of the caller shortens it. */
const MAX_READ_MS = 400;
/** Timeout of a state request to the leader, after which the log is read instead. */
const LEADER_STATE_TIMEOUT_MS = 80;
/** Time for which no state of a known job is requested from the leader after it returned none. */
const LEADER_BACKOFF_MS = 1000;
const ACCEPTED_RESULT = { kind: 'answered', answer: { kind: 'accepted' } } as const;
const ID_TAKEN_RESULT = { kind: 'answered', answer: { kind: 'taken' } } as const;
const ABSENT_RESULT = { kind: 'answered', answer: 'absent' } as const;
const CANCELLED_RESULT = { kind: 'answered', answer: 'cancelled' } as const;

const ENDED_STATES: ReadonlySet<JobState | undefined> = new Set(['completed', 'failed', 'cancelled']);

const isEnded = (state: JobState | undefined): boolean => ENDED_STATES.has(state);

/** Job service of a box. Accepts jobs once they are durable in the log, and reads them from the replica and the leader. */
export class BoxJobService implements JobService {
  /** Monotonic time from which states of known jobs may be requested from the leader again. */
  private leaderRetryAt = -Infinity;

  constructor(private readonly options: BoxJobServiceOptions) {}

  async createJob(
    id: JobId,
    queue: JobQueue,
    customer: CustomerPolicy | undefined,
    submission: JobSubmission,
    deadline: number,
  ): Promise<JobServiceResult<SubmitResult>> {
    const { replica, writer, clock, metrics } = this.options;
    const known = replica.getDefinition(id);
    if (known !== undefined) {
      return this.createKnownJobResult(known, queue, customer);
    }
    const problem = customer && customerLimits.checkSteps(submission.steps, customer.limit);
    if (problem !== undefined) {
      metrics.recordCount('impossible');
      this.logDecision('Job refused: it could never run.', id, queue.name, {
        customer: customer?.name,
        limit: customer?.limit,
        problem,
      });
      return { kind: 'answered', answer: { kind: 'impossible', reason: problem } };
    }
    if (this.isLogUnavailable()) {
      return this.createUnavailableResult(id, queue.name);
    }
    const startedAt = clock.getNow();
    const queueVersion = this.options.getConfigurationVersion();
    const definition: JobDefinition = {
      id,
      queue,
      ...(queueVersion === undefined ? {} : { queueVersion }),
      ...(customer === undefined ? {} : { customer: this.toJobCustomer(customer) }),
      ...submission,
      acceptedAtMs: Math.round(clock.getWallTime()),
    };
    const check = await this.options.admission.checkJob(definition, this.computeReadDeadline(deadline));
    if (check.kind === 'known') {
      return this.createKnownJobResult(replica.getDefinition(id)!, queue, customer);
    }
    if (check.kind === 'refused') {
      metrics.recordCount('notTaken');
      return { kind: 'overloaded', retryAfterMs: check.retryAfterMs };
    }
    const write = { key: jobKeys.toDefinitionKey(id), value: formatDefinition(definition) };
    const outcome = await writer.writeRecord(write, this.computeWriteDeadline(startedAt, deadline));
    const tookMs = Math.round(clock.getNow() - startedAt);
    if (outcome === 'refused') {
      return this.createUnavailableResult(id, queue.name);
    }
    if (outcome === 'unknown') {
      metrics.recordCount('unknown');
      this.options.admission.recordUncertainJob(id);
      this.logDecision('The log did not respond: the job may be accepted.', id, queue.name, { tookMs });
      return { kind: 'unknown' };
    }
    metrics.recordCount('accepted');
    metrics.recordDuration('acceptMs', clock.getNow() - startedAt);
    this.logDecision('Job accepted.', id, queue.name, {
      tookMs,
      priority: queue.priority,
      ...(customer === undefined ? {} : { customer: customer.name }),
      ...check.load,
    });
    this.options.handleJobAccepted(definition);
    return ACCEPTED_RESULT;
  }

  private toJobCustomer({ name, weight, limit }: CustomerPolicy): JobCustomer {
    return { name, weight, limit };
  }

  /** Creates and logs the result for an existing id: accepted for the queue and customer of its job, taken for all others. */
  private createKnownJobResult(
    known: JobDefinition,
    queue: JobQueue,
    customer: CustomerPolicy | undefined,
  ): JobServiceResult<SubmitResult> {
    const isSame = known.queue.name === queue.name && known.customer?.name === customer?.name;
    if (isSame) {
      this.logDecision('Job already accepted.', known.id, queue.name, {});
      return ACCEPTED_RESULT;
    }
    this.logDecision('Job refused: its id belongs to another job.', known.id, queue.name, {
      customer: customer?.name,
    });
    return ID_TAKEN_RESULT;
  }

  async getJobState(
    id: JobId,
    caller: JobCaller,
    deadline: number,
  ): Promise<JobServiceResult<JobState | 'absent'>> {
    const { replica, clock, metrics } = this.options;
    const startedAt = clock.getNow();
    metrics.recordCount('reads');
    const known = replica.getState(id);
    if (known === undefined) {
      const isFresh = await this.waitForRefresh(this.options.jobsFollower, deadline);
      if (!isFresh && replica.getState(id) === undefined) {
        return this.requestStateFromLeader(id, caller, deadline);
      }
    }
    if (!this.isJobAccessible(id, caller)) {
      return ABSENT_RESULT;
    }
    const hasEnded = isEnded(replica.getState(id));
    const newest = hasEnded ? undefined : await this.requestNewestState(id, caller, deadline);
    metrics.recordDuration('readMs', clock.getNow() - startedAt);
    const local = replica.getState(id);
    const state = isEnded(local) ? local : (newest ?? local);
    return { kind: 'answered', answer: state ?? 'absent' };
  }

  /**
   * Requests the state of an open job from the leader, which has the newest one. Returns undefined if this process leads, and, after
   * updating the replica from the log, if the leader returns no state or has recently returned none.
   */
  private async requestNewestState(
    id: JobId,
    caller: JobCaller,
    deadline: number,
  ): Promise<JobState | undefined> {
    const { clock, isLeading, requestLeaderState, statesFollower } = this.options;
    if (isLeading()) {
      return undefined;
    }
    if (clock.getNow() >= this.leaderRetryAt) {
      const timeoutMs = Math.min(LEADER_STATE_TIMEOUT_MS, this.computeReadTimeoutMs(deadline));
      const state = await requestLeaderState(id, caller, timeoutMs);
      if (state !== undefined && state !== 'absent') {
        return state;
      }
      this.leaderRetryAt = clock.getNow() + LEADER_BACKOFF_MS;
    }
    await this.waitForRefresh(statesFollower, deadline);
    return undefined;
  }

  async cancelJob(
    id: JobId,
    caller: JobCaller,
    deadline: number,
  ): Promise<JobServiceResult<'cancelled' | 'absent'>> {
    const { replica } = this.options;
    const startedAt = this.options.clock.getNow();
    if (replica.getDefinition(id) === undefined) {
      const isFresh = await this.waitForRefresh(this.options.jobsFollower, deadline);
      if (replica.getDefinition(id) === undefined) {
        const found = isFresh ? ABSENT_RESULT : await this.requestStateFromLeader(id, caller, deadline);
        if (found.kind !== 'answered') {
          return found;
        }
        if (found.answer === 'absent') {
          return this.cancelUnknownJob(id, caller, startedAt, deadline);
        }
      }
    }
    if (!this.isJobAccessible(id, caller)) {
      return ABSENT_RESULT;
    }
    const write = { key: jobKeys.toCancelKey(id), value: '1' };
    const outcome = await this.writeCancel(id, write, startedAt, deadline);
    if (outcome !== 'written') {
      return this.createUnwrittenResult(outcome);
    }
    this.options.handleJobCancelled(id);
    return CANCELLED_RESULT;
  }

  /** Cancels a job that is not in the log: the write of its definition may be under way, and must not run the job when it completes. */
  private async cancelUnknownJob(
    id: JobId,
    caller: JobCaller,
    startedAt: number,
    deadline: number,
  ): Promise<JobServiceResult<'cancelled' | 'absent'>> {
    const write = { key: jobKeys.toEarlyCancelKey(id, caller), value: JSON.stringify(caller) };
    const outcome = await this.writeCancel(id, write, startedAt, deadline);
    if (outcome !== 'written') {
      return this.createUnwrittenResult(outcome);
    }
    this.options.handleUnknownJobCancelled(id, caller);
    return this.options.replica.isCancelled(id) ? CANCELLED_RESULT : ABSENT_RESULT;
  }

  /** Writes the record of a cancellation, counts it, and logs the outcome. */
  private async writeCancel(
    id: JobId,
    write: LogWrite,
    startedAt: number,
    deadline: number,
  ): Promise<WriteOutcome> {
    const { replica, writer, clock, metrics } = this.options;
    const isKnown = replica.getDefinition(id) !== undefined;
    const outcome = await writer.writeRecord(write, this.computeWriteDeadline(startedAt, deadline));
    const tookMs = Math.round(clock.getNow() - startedAt);
    this.logDecision('Cancel.', id, '', { outcome, tookMs, isKnown });
    if (outcome === 'written') {
      metrics.recordCount('cancels');
    }
    return outcome;
  }

  private createUnwrittenResult(outcome: Exclude<WriteOutcome, 'written'>): JobServiceResult<never> {
    return outcome === 'unknown'
      ? { kind: 'unknown' }
      : { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
  }

  countPendingJobs(queueName: string): JobServiceResult<number> {
    const { replica, jobsFollower } = this.options;
    return jobsFollower.hasReadWholeTopic()
      ? { kind: 'answered', answer: replica.countPending(queueName) }
      : { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
  }

  /** Requests the state of a job that this box does not know from the leader; unavailable when the leader returns none. */
  private async requestStateFromLeader(
    id: JobId,
    caller: JobCaller,
    deadline: number,
  ): Promise<JobServiceResult<JobState | 'absent'>> {
    const state = await this.options.requestLeaderState(id, caller, this.computeReadTimeoutMs(deadline));
    return state === undefined
      ? { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS }
      : { kind: 'answered', answer: state };
  }

  /** Returns false when the job is known and the caller has no access to it. */
  private isJobAccessible(id: JobId, caller: JobCaller): boolean {
    const definition = this.options.replica.getDefinition(id);
    return definition === undefined || hasAccess(caller, definition);
  }

  /** Returns whether appends have failed for longer than the limit from which jobs are refused without a try. */
  private isLogUnavailable(): boolean {
    const { writer, isLogReadable } = this.options;
    return writer.getOutageMs() > (isLogReadable() ? REFUSAL_OUTAGE_WHILE_READABLE_MS : REFUSAL_OUTAGE_MS);
  }

  private computeWriteDeadline(startedAt: number, deadline: number): number {
    return startedAt + Math.min(MAX_WRITE_MS, (deadline - startedAt) * MAX_WRITE_TIME_SHARE);
  }

  /** Counts and logs that a job is refused because the log is unavailable, and returns that result. */
  private createUnavailableResult(id: JobId, queue: string): JobServiceResult<never> {
    const failingMs = Math.round(this.options.writer.getOutageMs());
    this.options.metrics.recordCount('notTaken');
    this.logDecision('Job refused: the log is unavailable.', id, queue, { failingMs });
    return { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
  }

  private waitForRefresh(follower: LogFollower, deadline: number): Promise<boolean> {
    return follower.waitForRefresh(this.computeReadTimeoutMs(deadline));
  }

  private computeReadDeadline(deadline: number): number {
    return this.options.clock.getNow() + this.computeReadTimeoutMs(deadline);
  }

  private computeReadTimeoutMs(deadline: number): number {
    const leftMs = deadline - this.options.clock.getNow();
    return Math.max(1, Math.min(MAX_READ_MS, leftMs));
  }

  private logDecision(message: string, job: JobId, queue: string, fields: Record<string, unknown>): void {
    this.options.logger.info(message, { job, ...(queue === '' ? {} : { queue }), ...fields });
  }
}
