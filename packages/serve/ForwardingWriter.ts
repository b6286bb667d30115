import type { BoxClient } from '../boxes/BoxClient';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { LogWrite } from '../store/LogWrite';
import type { RecordWriter } from '../store/RecordWriter';
import type { WriteOutcome } from '../store/WriteOutcome';
import type { LeaderContact } from './LeaderContact';

interface ForwardingWriterOptions {
  /** Appends to the log directly. */
  readonly directWriter: RecordWriter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getLeader: () => LeaderContact;
  /** Returns whether the leader was active after a monotonic time and within the last `withinMs` milliseconds. */
  readonly hasActivitySince: (after: number, withinMs: number) => boolean;
  /** Returns whether this box can read the leader's activity from the log. */
  readonly isReadingActivity: () => boolean;
}

/** Initial and smallest timeout of a forwarded write. The leader batches writes, so that one takes up to two appends. */
const MIN_FORWARD_TIMEOUT_MS = 600;
/**
 * Multiple of the duration of the last successful forwarded write that is the timeout of the next, so that a slow log does not cause direct
 * writes by all boxes.
 */
const FORWARD_TIMEOUT_FACTOR = 3;
/**
 * Age of the leader's activity in the log up to which writes are forwarded, while that is readable. Covers its heartbeat interval and a
 * box's read interval.
 */
const MAX_ACTIVITY_AGE_MS = 1250;
/** Time for which no write is forwarded after a forwarding failure. */
const FORWARD_BACKOFF_MS = 1000;
/** Duration of failing direct writes beyond which a write that could not be forwarded is not tried directly. */
const MAX_DIRECT_OUTAGE_MS = 400;

/** Leader to forward a write to, or the reason why it is not forwarded. */
type ForwardingTarget =
  | { readonly leader: BoxClient }
  | {
      readonly leader: undefined;
      readonly reason: Exclude<LeaderContact['kind'], 'known'> | 'silent' | 'avoided';
    };

/**
 * Forwards records to the leader, which appends them with its own, and falls back to direct writes.
 *
 * A partition of the log handles one append at a time, and appends of each box by itself can exceed its throughput; the leader batches
 * them. The leader also learns of each job without reading it from the log.
 */
export class ForwardingWriter implements RecordWriter {
  /**
   * Monotonic time of the last forwarding failure. While this box can read the leader's activity from the log, it forwards again only after
   * activity later than this.
   */
  private forwardingFailedAt = -Infinity;
  /** Timeout of the next forwarded write. */
  private forwardTimeoutMs = MIN_FORWARD_TIMEOUT_MS;

  constructor(private readonly options: ForwardingWriterOptions) {}

  /** Forwards a record to the leader, or writes it directly if that is not possible or fails; unknown when it may have been written. */
  async writeRecord(write: LogWrite, deadline: number): Promise<WriteOutcome> {
    const target = this.chooseForwardingTarget();
    if (target.leader === undefined) {
      const directOutcome = await this.options.directWriter.writeRecord(write, deadline);
      this.logFailure(write, directOutcome, target.reason);
      return directOutcome;
    }
    const outcome = await this.requestLeaderWrite(target.leader, write, deadline);
    if (outcome === 'written') {
      return 'written';
    }
    const directOutcome = await this.writeDirectly(write, deadline);
    this.logFailure(write, directOutcome, outcome);
    // The leader may have written the record.
    return directOutcome === 'refused' && outcome === 'unknown' ? 'unknown' : directOutcome;
  }

  /** Returns zero while writes can be forwarded, else the outage of direct writes in milliseconds. */
  getOutageMs(): number {
    return this.chooseForwardingTarget().leader === undefined ? this.options.directWriter.getOutageMs() : 0;
  }

  private chooseForwardingTarget(): ForwardingTarget {
    const { clock, hasActivitySince, isReadingActivity, getLeader } = this.options;
    const contact = getLeader();
    if (contact.kind !== 'known') {
      return { leader: undefined, reason: contact.kind };
    }
    if (clock.getNow() - this.forwardingFailedAt < FORWARD_BACKOFF_MS) {
      return { leader: undefined, reason: 'avoided' };
    }
    const isActive = !isReadingActivity() || hasActivitySince(this.forwardingFailedAt, MAX_ACTIVITY_AGE_MS);
    return isActive ? { leader: contact.client } : { leader: undefined, reason: 'silent' };
  }

  /** Logs a record whose direct write was refused or not confirmed, with the outcome of the forwarding or the reason why there was none. */
  private logFailure(write: LogWrite, directOutcome: WriteOutcome, forwardingResult: string): void {
    if (directOutcome !== 'written') {
      this.options.logger.info('Record not written, neither directly nor by the leader.', {
        record: write.key,
        own: directOutcome,
        ownFailingMs: Math.round(this.options.directWriter.getOutageMs()),
        leader: forwardingResult,
        isReadingSigns: this.options.isReadingActivity(),
      });
    }
  }

  private async requestLeaderWrite(
    leader: BoxClient,
    write: LogWrite,
    deadline: number,
  ): Promise<WriteOutcome> {
    const { clock, logger, isReadingActivity } = this.options;
    // Without access to the log, the leader may be unreachable too, as in a partitioned hall. A request without side effects checks
    // this, so that the write is reported as refused instead of unknown.
    if (!isReadingActivity()) {
      const requestedAt = clock.getNow();
      const logStatus = await leader.requestLogStatus();
      if (logStatus !== 'usable') {
        this.forwardingFailedAt = clock.getNow();
        const tookMs = Math.round(clock.getNow() - requestedAt);
        logger.info('Write not forwarded to the leader.', { record: write.key, log: logStatus, tookMs });
        return 'refused';
      }
    }
    const sentAt = clock.getNow();
    const timeoutMs = Math.max(1, Math.min(this.forwardTimeoutMs, deadline - sentAt));
    const outcome = await leader.requestWrite(write, timeoutMs);
    const tookMs = clock.getNow() - sentAt;
    if (outcome === undefined) {
      this.forwardingFailedAt = clock.getNow();
      logger.info('Leader did not respond to a forwarded write.', {
        record: write.key,
        box: leader.address,
        tookMs: Math.round(tookMs),
      });
      return 'unknown';
    }
    if (outcome === 'written') {
      this.forwardTimeoutMs = Math.max(MIN_FORWARD_TIMEOUT_MS, FORWARD_TIMEOUT_FACTOR * tookMs);
    }
    return outcome;
  }

  private writeDirectly(write: LogWrite, deadline: number): Promise<WriteOutcome> {
    const { directWriter } = this.options;
    return directWriter.getOutageMs() > MAX_DIRECT_OUTAGE_MS
      ? Promise.resolve('refused')
      : directWriter.writeRecord(write, deadline);
  }
}
