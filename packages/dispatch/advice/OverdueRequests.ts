import type { WaitingStep } from '../waiting/WaitingStep';

/** Time without a slot after which a step is overdue. */
const MAX_SLOT_WAIT_MS = 1000;
/** Time without a slot after which a step is starved, and time since its latest request after which a queue is. */
const STARVATION_MS = 2000;
/** Share of the time of all slots that requests ahead of the placement order may take. */
const MAX_TIME_SHARE = 0.5;
/** Time between two rounds whose share is not saved: a leader that isn't busy sends one request a round. */
const UNSAVED_MS = 20;
/** Time between two rounds whose share is saved at most, so that a leader that was suspended doesn't send many requests at once. */
const MAX_SAVED_MS = 250;

/**
 * Bounds how long a step waits for a slot while steps ahead of it in the placement order keep sending requests. An overdue step
 * goes ahead of that order if it is long-running, since its service is down until it starts, or if it or its queue is starved. Such requests
 * take a limited share of the time of all slots, so that long ones don't crowd out the steps of the most urgent queue.
 */
export class OverdueRequests {
  /**
   * Slot time that such requests may take, in milliseconds: at most 0, or what a long time since the last round has added, and negative until the
   * time of earlier ones is made up for.
   */
  private balanceMs = 0;
  private lastRoundAt: number | undefined;
  /** Monotonic time of each queue's latest request. */
  private readonly lastRequestedAt = new Map<string, number>();

  /** Begins a round. `slotCount` is the number of slots, free or not. */
  startRound(slotCount: number, now: number): void {
    const elapsedMs = Math.max(0, now - (this.lastRoundAt ?? now));
    const slotShare = slotCount * MAX_TIME_SHARE;
    const limitMs = Math.max(0, Math.min(elapsedMs, MAX_SAVED_MS) - UNSAVED_MS) * slotShare;
    this.balanceMs = Math.min(limitMs, this.balanceMs + elapsedMs * slotShare);
    this.lastRoundAt = now;
  }

  /** Returns whether a request may be sent ahead of the placement order now. */
  canSendRequest(): boolean {
    return this.balanceMs >= 0;
  }

  /**
   * Returns the overdue steps that may send a request ahead of the placement order: long-running ones first, then those of the queue whose
   * latest request is longest ago, then those that have waited longest.
   */
  listFirstSteps(waiting: readonly WaitingStep[], now: number): readonly WaitingStep[] {
    return waiting
      .flatMap((step) => {
        const advice = step.job.getStepAdvice(step.repetition, step.step);
        const since = advice.getSlotWaitSince() ?? Infinity;
        const queueRequestedAt = this.lastRequestedAt.get(step.job.getQueue().name) ?? -Infinity;
        const isOverdue = now - since >= MAX_SLOT_WAIT_MS && advice.canRequest(now);
        const isStarved = Math.max(now - since, now - queueRequestedAt) >= STARVATION_MS;
        const isFirst = step.shape.isLongRunning || isStarved;
        return isOverdue && isFirst ? [{ step, since, queueRequestedAt }] : [];
      })
      .sort(
        (left, right) =>
          Number(right.step.shape.isLongRunning) - Number(left.step.shape.isLongRunning) ||
          Number(left.queueRequestedAt > right.queueRequestedAt) -
            Number(left.queueRequestedAt < right.queueRequestedAt) ||
          left.since - right.since,
      )
      .map(({ step }) => step);
  }

  /** Records that a step of the queue has sent a request. */
  recordRequest(queue: string, now: number): void {
    this.lastRequestedAt.set(queue, now);
  }

  /** Records slot time that a request ahead of the placement order takes, in milliseconds. */
  recordSlotTime(ms: number): void {
    this.balanceMs -= ms;
  }
}
