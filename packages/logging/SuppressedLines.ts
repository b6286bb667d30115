import type { LineFields } from './LineFields';

/** Minimum interval between reports. */
const REPORT_INTERVAL_MS = 1000;

/** Counts of suppressed lines by message since the last report. */
export class SuppressedLines {
  private counts = new Map<string, number>();
  private maxLevel = 0;

  constructor(private reportedAt: number) {}

  /** Counts a line that was suppressed while jobs from a sampling level on were logged completely. */
  recordLine(message: string, level: number): void {
    this.counts.set(message, (this.counts.get(message) ?? 0) + 1);
    this.maxLevel = Math.max(this.maxLevel, level);
  }

  /** Returns true when lines have been suppressed and the last report is long enough ago. */
  isReportDue(now: number): boolean {
    return this.counts.size > 0 && now - this.reportedAt >= REPORT_INTERVAL_MS;
  }

  /** Returns true when lines have been suppressed. */
  hasSuppressed(): boolean {
    return this.counts.size > 0;
  }

  /** Returns the log fields of a report, with the most frequent message first, and resets the counts. */
  takeFields(now: number): LineFields {
    const rows = [...this.counts].sort(([, left], [, right]) => right - left);
    const total = rows.reduce((sum, [, count]) => sum + count, 0);
    const fields = {
      total,
      sinceMs: Math.round(now - this.reportedAt),
      share: `1/${2 ** this.maxLevel}`,
      counts: Object.fromEntries(rows),
    };
    this.counts = new Map();
    this.maxLevel = 0;
    this.reportedAt = now;
    return fields;
  }
}
