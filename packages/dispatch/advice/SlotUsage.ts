import type { LineFields } from '../../logging/LineFields';
import type { AdviceSlots } from './AdviceSlots';

/** A request without a response yet. */
interface PendingRequest {
  readonly queue: string;
  readonly isLong: boolean;
  /** Whether it was sent ahead of the placement order. */
  readonly isOverdue: boolean;
  readonly expectedResponseMs: number;
  readonly requestedAt: number;
}

/** Time without a slot from which a wait is long. */
const MIN_LONG_WAIT_MS = 1000;
/** Minimum interval between two log lines. */
const LOG_INTERVAL_MS = 2000;
/** Maximum number of queues in one field. */
const MAX_LOGGED_QUEUES = 8;

/** Keeps which queues use the slots and which wait for one, and describes a shortage of slots for the log. */
export class SlotUsage {
  private freeSlots: AdviceSlots = { all: 0, long: 0, quarantined: 0 };
  /** Pending requests, by the name of their step. */
  private readonly pendingRequests = new Map<string, PendingRequest>();
  /** Steps that found no slot in this round, by queue. */
  private readonly slotWaits = new Map<string, { steps: number; longestMs: number }>();
  /** Whether a step has waited long for a slot in the round before this one. */
  private hadLongWait = false;
  private lastLoggedAt = -Infinity;

  /** Begins a round with the given free slots. */
  startRound(freeSlots: AdviceSlots): void {
    this.freeSlots = freeSlots;
    this.hadLongWait = [...this.slotWaits.values()].some(({ longestMs }) => longestMs >= MIN_LONG_WAIT_MS);
    this.slotWaits.clear();
  }

  /** Returns whether a step that had waited long for a slot found none in the round before this one. */
  hasLongWait(): boolean {
    return this.hadLongWait;
  }

  /** Returns the number of slots in use or free. */
  countSlots(): number {
    return this.freeSlots.all + this.pendingRequests.size;
  }

  /** Records that a step of the queue found no slot, for `waitedMs` by now. */
  recordSlotWait(queue: string, waitedMs: number): void {
    const before = this.slotWaits.get(queue) ?? { steps: 0, longestMs: 0 };
    this.slotWaits.set(queue, {
      steps: before.steps + 1,
      longestMs: Math.round(Math.max(before.longestMs, waitedMs)),
    });
  }

  recordRequest(step: string, request: PendingRequest): void {
    this.pendingRequests.set(step, request);
  }

  /** Ends the pending request of a step and returns it; undefined when there is none. */
  takeRequest(step: string): PendingRequest | undefined {
    const request = this.pendingRequests.get(step);
    this.pendingRequests.delete(step);
    return request;
  }

  /**
   * Returns the fields of a log line when a step has waited long for a slot: the slots, and by queue the pending requests and the waits.
   * Returns undefined otherwise, or within `LOG_INTERVAL_MS` of the last line.
   */
  createShortageFields(now: number): LineFields | undefined {
    const waits = [...this.slotWaits].sort(([, left], [, right]) => right.longestMs - left.longestMs);
    if ((waits[0]?.[1].longestMs ?? 0) < MIN_LONG_WAIT_MS || now - this.lastLoggedAt < LOG_INTERVAL_MS) {
      return undefined;
    }
    this.lastLoggedAt = now;
    const { all, long, quarantined } = this.freeSlots;
    return {
      free: all,
      freeLong: long,
      quarantined,
      pending: this.pendingRequests.size,
      pendingByQueue: Object.fromEntries(this.listPendingByQueue(now).slice(0, MAX_LOGGED_QUEUES)),
      waitingByQueue: Object.fromEntries(waits.slice(0, MAX_LOGGED_QUEUES)),
    };
  }

  /** Returns, by queue, how many requests are pending, how many of them are long or ahead of the order, and the age of the oldest. */
  private listPendingByQueue(now: number): readonly (readonly [string, LineFields])[] {
    const queues = [...new Set([...this.pendingRequests.values()].map(({ queue }) => queue))];
    return queues.map((queue) => {
      const requests = [...this.pendingRequests.values()].filter((request) => request.queue === queue);
      const oldestAt = Math.min(...requests.map(({ requestedAt }) => requestedAt));
      const fields = {
        count: requests.length,
        long: requests.filter(({ isLong }) => isLong).length,
        overdue: requests.filter(({ isOverdue }) => isOverdue).length,
        oldestMs: Math.round(now - oldestAt),
      };
      return [queue, fields];
    });
  }
}
