/** Time over which the use of turns is averaged: bursts of urgent work last some seconds. */
const AVERAGE_MS = 2000;
/** Deviations of the number of questions at once that are kept ready: in one moment of forty more come than there are turns. */
const SPARE_DEVIATIONS = 2;
/** Short questions have at most this share of the boxes to themselves. */
const MOST_SHARE = 0.5;
/** A new leader finds a backlog, whose long questions would take all boxes for seconds: so much is kept until short ones are known. */
const FIRST_SHARE = 0.25;

/** How many boxes are kept free of long questions: by how many short questions have lately been under way at once. */
export class ShortTurns {
  /** Mean number of short questions under way, as of `readAt`. */
  private load = 0;
  private readAt = 0;
  /** Until this monotonic time the load says little; undefined before the first question. */
  private unknownUntil: number | undefined;

  /** Records a short question that was answered, or given up. */
  recordQuestion(tookMs: number, now: number): void {
    this.load = this.readLoad(now) + tookMs / AVERAGE_MS;
    this.readAt = now;
  }

  /** Of some boxes, how many take no long question; none where there is only one. */
  readKept(boxes: number, now: number): number {
    const load = this.readLoad(now);
    this.unknownUntil ??= now + AVERAGE_MS;
    const least = now < this.unknownUntil ? Math.ceil(boxes * FIRST_SHARE) : 1;
    const wanted = Math.max(least, Math.ceil(load + SPARE_DEVIATIONS * Math.sqrt(load)));
    return boxes < 2 ? 0 : Math.min(wanted, Math.max(1, Math.floor(boxes * MOST_SHARE)));
  }

  private readLoad(now: number): number {
    return this.load * Math.exp(-Math.max(0, now - this.readAt) / AVERAGE_MS);
  }
}
