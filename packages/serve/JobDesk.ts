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
import type { RecordWriter } from '../store/RecordWriter';
import type { LoadDoor } from './LoadDoor';
import type { ServeMetrics } from './ServeMetrics';

interface JobDeskOptions {
  readonly replica: JobReplica;
  readonly writer: RecordWriter;
  readonly jobsFollower: LogFollower;
  readonly statesFollower: LogFollower;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServeMetrics;
  readonly door: LoadDoor;
  /** True while all topics can be read. */
  readonly isReading: () => boolean;
  /** True while this process leads, so that its own memory is the newest. */
  readonly isLeading: () => boolean;
  /** Asks the leading box for a job's state; undefined when it gives none in time. */
  readonly startAskingLeader: (
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ) => Promise<JobState | 'absent' | undefined>;
  /** A job or a cancel of this box is durable. */
  readonly handleAccepted: (definition: JobDefinition) => void;
  readonly handleCancelled: (id: JobId) => void;
}

const RETRY_AFTER_MS = 1000;
/** Appends that have failed for so long, while reads fail too, make further ones fail at once. */
const OUTAGE_MS = 400;
/** The same while reads are answered: some answers may merely be lost. */
const LONG_OUTAGE_MS = 1000;
/** Longest time for one append to be answered: what takes longer is better tried again through another box. */
const WRITE_LIMIT_MS = 1300;
/** Share of the caller's time that an append may take, so that another box can still be tried. */
const WRITE_SHARE = 0.4;
/** Longest read on a caller's behalf, of the log or from the leader. */
const REFRESH_LIMIT_MS = 400;
/** An answer between boxes takes a few milliseconds; beyond this the log is read. */
const LEADER_ANSWER_MS = 80;
/** A leader that gave no answer is not asked again for so long: about the time until another is known. */
const LEADER_AVOID_MS = 1000;
const ACCEPTED = { kind: 'answered', answer: { kind: 'accepted' } } as const;
const TAKEN = { kind: 'answered', answer: { kind: 'taken' } } as const;
const ABSENT = { kind: 'answered', answer: 'absent' } as const;

const ENDED: ReadonlySet<JobState | undefined> = new Set(['completed', 'failed', 'cancelled']);

const isEnded = (state: JobState | undefined): boolean => ENDED.has(state);

/** Callers' jobs: accepted once they are durable in the log, read from this box's replica of it. */
export class JobDesk implements JobService {
  /** Monotonic time from which the leader may be asked again. */
  private askLeaderFrom = -Infinity;

  constructor(private readonly options: JobDeskOptions) {}

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
      return this.toKnownAnswer(known, queue, customer);
    }
    const problem = customer && customerLimits.checkSteps(submission.steps, customer.limit);
    if (problem !== undefined) {
      metrics.recordCount('impossible');
      this.recordDecision('Job not taken: it could never run.', id, queue.name, {
        customer: customer?.name,
        limit: customer?.limit,
        problem,
      });
      return { kind: 'answered', answer: { kind: 'impossible', reason: problem } };
    }
    if (this.isLogOut()) {
      return this.createUnavailable(id, queue.name);
    }
    const startedAt = clock.getNow();
    const definition: JobDefinition = {
      id,
      queue,
      ...(customer === undefined ? {} : { customer: this.toJobCustomer(customer) }),
      ...submission,
      acceptedAtMs: Math.round(clock.getWallTime()),
    };
    const check = await this.options.door.startCheck(definition, this.readRefreshDeadline(deadline));
    if (check.kind === 'known') {
      return this.toKnownAnswer(replica.getDefinition(id)!, queue, customer);
    }
    if (check.kind === 'refused') {
      metrics.recordCount('notTaken');
      return { kind: 'overloaded', retryAfterMs: check.retryAfterMs };
    }
    const write = { key: jobKeys.toDefinitionKey(id), value: formatDefinition(definition) };
    const outcome = await writer.writeRecord(write, this.readWriteLimit(startedAt, deadline));
    const tookMs = Math.round(clock.getNow() - startedAt);
    if (outcome === 'refused') {
      return this.createUnavailable(id, queue.name);
    }
    if (outcome === 'unknown') {
      metrics.recordCount('unknown');
      this.options.door.recordDoubt(id);
      this.recordDecision('The log did not answer: the job may be accepted.', id, queue.name, { tookMs });
      return { kind: 'unknown' };
    }
    metrics.recordCount('accepted');
    metrics.recordTime('acceptMs', clock.getNow() - startedAt);
    this.recordDecision('Job accepted.', id, queue.name, {
      tookMs,
      priority: queue.priority,
      ...(customer === undefined ? {} : { customer: customer.name }),
      ...check.load,
    });
    this.options.handleAccepted(definition);
    return ACCEPTED;
  }

  private toJobCustomer({ name, weight, limit }: CustomerPolicy): JobCustomer {
    return { name, weight, limit };
  }

  /** The answer for an id that a job has: its own caller is told that it was accepted, nobody else. */
  private toKnownAnswer(
    known: JobDefinition,
    queue: JobQueue,
    customer: CustomerPolicy | undefined,
  ): JobServiceResult<SubmitResult> {
    const isSame = known.queue.name === queue.name && known.customer?.name === customer?.name;
    if (isSame) {
      this.recordDecision('Job was accepted before.', known.id, queue.name, {});
      return ACCEPTED;
    }
    this.recordDecision('Job not taken: its id belongs to another.', known.id, queue.name, {
      customer: customer?.name,
    });
    return TAKEN;
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
      const isFresh = await this.startRefresh(this.options.jobsFollower, deadline);
      if (!isFresh && replica.getState(id) === undefined) {
        return this.readFromLeader(id, caller, deadline);
      }
    }
    if (!this.isOpenTo(id, caller)) {
      return ABSENT;
    }
    const isOver = isEnded(replica.getState(id));
    const newest = isOver ? undefined : await this.readNewestState(id, caller, deadline);
    metrics.recordTime('readMs', clock.getNow() - startedAt);
    const held = replica.getState(id);
    const answer = isEnded(held) ? held : (newest ?? held);
    return { kind: 'answered', answer: answer ?? 'absent' };
  }

  /**
   * The state of an open job from the leader, whose memory is the newest and costs the log no call; without an answer the log's
   * states are read into the replica instead.
   */
  private async readNewestState(
    id: JobId,
    caller: JobCaller,
    deadline: number,
  ): Promise<JobState | undefined> {
    const { clock, isLeading, startAskingLeader, statesFollower } = this.options;
    if (isLeading()) {
      return undefined;
    }
    if (clock.getNow() >= this.askLeaderFrom) {
      const timeoutMs = Math.min(LEADER_ANSWER_MS, this.readRefreshLimit(deadline));
      const answer = await startAskingLeader(id, caller, timeoutMs);
      if (answer !== undefined && answer !== 'absent') {
        return answer;
      }
      this.askLeaderFrom = clock.getNow() + LEADER_AVOID_MS;
    }
    await this.startRefresh(statesFollower, deadline);
    return undefined;
  }

  async cancelJob(
    id: JobId,
    caller: JobCaller,
    deadline: number,
  ): Promise<JobServiceResult<'cancelled' | 'absent'>> {
    const { replica, writer, clock, metrics } = this.options;
    const startedAt = clock.getNow();
    if (replica.getDefinition(id) === undefined) {
      const isFresh = await this.startRefresh(this.options.jobsFollower, deadline);
      if (replica.getDefinition(id) === undefined) {
        const found = isFresh ? ABSENT : await this.readFromLeader(id, caller, deadline);
        if (found.kind !== 'answered' || found.answer === 'absent') {
          return found.kind === 'answered' ? ABSENT : found;
        }
      }
    }
    if (!this.isOpenTo(id, caller)) {
      return ABSENT;
    }
    const write = { key: jobKeys.toCancelKey(id), value: '1' };
    const outcome = await writer.writeRecord(write, this.readWriteLimit(startedAt, deadline));
    const tookMs = Math.round(clock.getNow() - startedAt);
    this.recordDecision('Cancel.', id, '', { outcome, tookMs });
    if (outcome === 'written') {
      metrics.recordCount('cancels');
      this.options.handleCancelled(id);
      return { kind: 'answered', answer: 'cancelled' };
    }
    return outcome === 'unknown'
      ? { kind: 'unknown' }
      : { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
  }

  countPendingJobs(queueName: string): JobServiceResult<number> {
    const { replica, jobsFollower } = this.options;
    return jobsFollower.getOffset() === undefined
      ? { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS }
      : { kind: 'answered', answer: replica.countPending(queueName) };
  }

  /** What the leader knows of a job that this box cannot read about in the log. */
  private async readFromLeader(
    id: JobId,
    caller: JobCaller,
    deadline: number,
  ): Promise<JobServiceResult<JobState | 'absent'>> {
    const answer = await this.options.startAskingLeader(id, caller, this.readRefreshLimit(deadline));
    return answer === undefined
      ? { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS }
      : { kind: 'answered', answer };
  }

  /** False when the job is known here and belongs to another customer. */
  private isOpenTo(id: JobId, caller: JobCaller): boolean {
    const definition = this.options.replica.getDefinition(id);
    return definition === undefined || hasAccess(caller, definition);
  }

  /** True when trying an append would only keep the caller waiting. */
  private isLogOut(): boolean {
    const { writer, isReading } = this.options;
    return writer.getOutageMs() > (isReading() ? LONG_OUTAGE_MS : OUTAGE_MS);
  }

  private readWriteLimit(startedAt: number, deadline: number): number {
    return startedAt + Math.min(WRITE_LIMIT_MS, (deadline - startedAt) * WRITE_SHARE);
  }

  private createUnavailable(id: JobId, queue: string): JobServiceResult<never> {
    const failingMs = Math.round(this.options.writer.getOutageMs());
    this.options.metrics.recordCount('notTaken');
    this.recordDecision('Job not taken: the log is out.', id, queue, { failingMs });
    return { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
  }

  private startRefresh(follower: LogFollower, deadline: number): Promise<boolean> {
    return follower.waitForRefresh(this.readRefreshLimit(deadline));
  }

  private readRefreshDeadline(deadline: number): number {
    return this.options.clock.getNow() + this.readRefreshLimit(deadline);
  }

  private readRefreshLimit(deadline: number): number {
    const leftMs = deadline - this.options.clock.getNow();
    return Math.max(1, Math.min(REFRESH_LIMIT_MS, leftMs));
  }

  private recordDecision(sentence: string, job: JobId, queue: string, fields: Record<string, unknown>): void {
    this.options.logger.info(sentence, { job, ...(queue === '' ? {} : { queue }), ...fields });
  }
}
