import type { LineFields } from './LineFields';

/** A line about what was left out comes so often at most. */
const TELL_MS = 1000;

/** Counts the lines that were left out, by their sentence, until they are told. */
export class LeftOutLines {
  private counts = new Map<string, number>();
  private greatestDepth = 0;

  constructor(private toldAt: number) {}

  /** A line was left out while jobs of at least some depth were told whole. */
  recordLine(sentence: string, depth: number): void {
    this.counts.set(sentence, (this.counts.get(sentence) ?? 0) + 1);
    this.greatestDepth = Math.max(this.greatestDepth, depth);
  }

  /** True when there is something to tell, and the last time is long enough ago. */
  isDue(now: number): boolean {
    return this.counts.size > 0 && now - this.toldAt >= TELL_MS;
  }

  /** True when there is something to tell. */
  hasLines(): boolean {
    return this.counts.size > 0;
  }

  /** Gives, once, the fields of the line about them, the most frequent sentence first, and counts anew. */
  readFields(now: number): LineFields {
    const rows = [...this.counts].sort(([, left], [, right]) => right - left);
    const total = rows.reduce((sum, [, count]) => sum + count, 0);
    const fields = {
      total,
      sinceMs: Math.round(now - this.toldAt),
      share: `1/${2 ** this.greatestDepth}`,
      counts: Object.fromEntries(rows),
    };
    this.counts = new Map();
    this.greatestDepth = 0;
    this.toldAt = now;
    return fields;
  }
}
