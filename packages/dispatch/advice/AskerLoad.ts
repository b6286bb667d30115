import { SmoothedTime } from '../../common/SmoothedTime';

/** Before an answer was seen, and at most, an answer may take so much longer than the service needs. */
const MOST_DELAY_MS = 1200;
/** A question goes to a second box no sooner, since that takes a second turn. */
const LEAST_DELAY_MS = 80;
/** What is known of a box counts half after so long, so that one that was slow is tried again. */
const HALF_LIFE_MS = 10_000;

/** What one box can bear of questions: how much longer than the service needs its answers take, and whether they come. */
export class AskerLoad {
  /** Undefined while it has no question under way. */
  private question: { readonly isLong: boolean } | undefined;
  private readonly delays = new SmoothedTime();
  private answeredAt = 0;
  /** It failed to answer; until this monotonic time others are asked. */
  private avoidedUntil = -Infinity;

  isBusy(): boolean {
    return this.question !== undefined;
  }

  isBusyWithShort(): boolean {
    return this.question?.isLong === false;
  }

  isAvoided(now: number): boolean {
    return now < this.avoidedUntil;
  }

  /** How much longer than the service needs the next answer is likely to take, in milliseconds. */
  readDelayMs(now: number): number {
    return (this.delays.readMeanMs() ?? 0) * 0.5 ** ((now - this.answeredAt) / HALF_LIFE_MS);
  }

  /** How much longer than the service needs an answer takes at most, unless something is wrong; what is usual before the first. */
  readLateMs(usualMs = MOST_DELAY_MS): number {
    const lateMs = this.delays.readLimitMs();
    return lateMs === undefined ? usualMs : Math.min(MOST_DELAY_MS, Math.max(LEAST_DELAY_MS, lateMs));
  }

  recordQuestion(isLong: boolean): void {
    this.question = { isLong };
  }

  recordAnswer(delayMs: number, now: number): void {
    this.question = undefined;
    this.avoidedUntil = -Infinity;
    this.answeredAt = now;
    this.delays.recordTime(delayMs);
  }

  /** An answer is late; it may still come. */
  recordLate(avoidedUntil: number): void {
    this.avoidedUntil = avoidedUntil;
  }

  /** What it failed to answer was not its fault. */
  recordTrusted(): void {
    this.avoidedUntil = -Infinity;
  }

  /** The question under way is over without an answer. */
  recordUnanswered(avoidedUntil: number): void {
    this.question = undefined;
    this.avoidedUntil = avoidedUntil;
  }
}
