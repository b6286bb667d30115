import type { BoxClient } from '../boxes/BoxClient';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { LogWrite } from '../store/LogWrite';
import type { RecordWriter } from '../store/RecordWriter';
import type { WriteOutcome } from '../store/WriteOutcome';
import type { LeaderContact } from './LeaderContact';

interface ForwardingWriterOptions {
  /** This box's own way to the log. */
  readonly own: RecordWriter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getLeader: () => LeaderContact;
  /** True while the leader has shown a sign within a time, and after a moment. Both are monotonic milliseconds. */
  readonly hasActivitySince: (after: number, withinMs: number) => boolean;
  /** False while the log does not answer this box, so that it can see no signs of the leader. */
  readonly isReadingActivity: () => boolean;
}

/**
 * A leader that has not answered for so long is passed by. It gathers what comes during one append into the next, so that it answers
 * within two appends; the slowest log seen took 240 ms for one.
 */
const MIN_TIMEOUT_MS = 600;
/** The limit follows the answers that came: a log that is slower still must not make every box write by itself. */
const TIMEOUT_FACTOR = 3;
/**
 * A leader is asked only while its newest sign is younger than this. It shows one every 400 ms, and boxes read them every 850 ms at the
 * latest.
 */
const MAX_ACTIVITY_AGE_MS = 1250;
/** A leader without an answer is not asked for so long at least: a box that the log turns away sees no signs. */
const BACKOFF_MS = 1000;
/** Beside a log that has not taken this box's own writes for so long, a write would only keep its caller waiting. */
const MAX_OWN_OUTAGE_MS = 400;

/** Whether the leader's box is asked to append a record, or why it is not. */
type ForwardingTarget =
  | { readonly leader: BoxClient }
  | {
      readonly leader: undefined;
      readonly reason: Exclude<LeaderContact['kind'], 'known'> | 'silent' | 'avoided';
    };

/**
 * Has the leader's box append records along with its own, and writes by itself where that gives no answer or a refusal.
 *
 * A partition of the log takes one append after the other. With 29 boxes that each append by themselves, a log that takes 112 ms for
 * one has more asked of it than it can do: no job was accepted for 6 s, and 1,272 calls were refused. Gathered by one box the same jobs
 * need a few appends a second. The leader also hears of each job without reading it from the log.
 */
export class ForwardingWriter implements RecordWriter {
  /** Monotonic time at which the leader last failed to answer: it is asked again once it has shown a sign since. */
  private failedAt = -Infinity;
  private timeoutMs = MIN_TIMEOUT_MS;

  constructor(private readonly options: ForwardingWriterOptions) {}

  async writeRecord(write: LogWrite, deadline: number): Promise<WriteOutcome> {
    const target = this.chooseTarget();
    if (target.leader === undefined) {
      const own = await this.options.own.writeRecord(write, deadline);
      this.logFailure(write, own, target.reason);
      return own;
    }
    const outcome = await this.requestLeaderWrite(target.leader, write, deadline);
    if (outcome === 'written') {
      return 'written';
    }
    const own = await this.writeDirectly(write, deadline);
    this.logFailure(write, own, outcome);
    // What the leader may have written cannot be called refused.
    return own === 'refused' && outcome === 'unknown' ? 'unknown' : own;
  }

  /** While a leader can be asked it takes writes that this box cannot make. */
  getOutageMs(): number {
    return this.chooseTarget().leader === undefined ? this.options.own.getOutageMs() : 0;
  }

  private chooseTarget(): ForwardingTarget {
    const { clock, hasActivitySince, isReadingActivity, getLeader } = this.options;
    const contact = getLeader();
    if (contact.kind !== 'known') {
      return { leader: undefined, reason: contact.kind };
    }
    if (clock.readNow() - this.failedAt < BACKOFF_MS) {
      return { leader: undefined, reason: 'avoided' };
    }
    const isActive = !isReadingActivity() || hasActivitySince(this.failedAt, MAX_ACTIVITY_AGE_MS);
    return isActive ? { leader: contact.client } : { leader: undefined, reason: 'silent' };
  }

  /** Tells by which ways a write was tried that nobody took. */
  private logFailure(write: LogWrite, own: WriteOutcome, leader: string): void {
    if (own !== 'written') {
      this.options.logger.info('A record was not written by any way.', {
        record: write.key,
        own,
        ownFailingMs: Math.round(this.options.own.getOutageMs()),
        leader,
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
    // A box in a hall that is cut off reaches neither the log nor the leader. A question that can do no harm finds out, so that its
    // caller is told truthfully that nothing was taken, and after 0.2 s.
    if (!isReadingActivity()) {
      const requestedAt = clock.readNow();
      const logStatus = await leader.requestLogStatus();
      if (logStatus !== 'usable') {
        this.failedAt = clock.readNow();
        const tookMs = Math.round(clock.readNow() - requestedAt);
        logger.info('The leader is not asked to write.', { record: write.key, log: logStatus, tookMs });
        return 'refused';
      }
    }
    const sentAt = clock.readNow();
    const timeoutMs = Math.max(1, Math.min(this.timeoutMs, deadline - sentAt));
    const outcome = await leader.requestWrite(write, timeoutMs);
    const tookMs = clock.readNow() - sentAt;
    if (outcome === undefined) {
      this.failedAt = clock.readNow();
      logger.info('The leader gives no answer about a write.', {
        record: write.key,
        box: leader.address,
        tookMs: Math.round(tookMs),
      });
      return 'unknown';
    }
    if (outcome === 'written') {
      this.timeoutMs = Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * tookMs);
    }
    return outcome;
  }

  private writeDirectly(write: LogWrite, deadline: number): Promise<WriteOutcome> {
    const { own } = this.options;
    return own.getOutageMs() > MAX_OWN_OUTAGE_MS
      ? Promise.resolve('refused')
      : own.writeRecord(write, deadline);
  }
}
