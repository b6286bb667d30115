import type { LineFields } from './LineFields';

/** Minimum interval between reports of suppressed lines. */
const REPORT_INTERVAL_MS = 1000;

/** Counts of suppressed lines by message since the last report. */
export class SuppressedLines {
  private lineCounts = new Map<string, number>();
  private maxSamplingLevel = 0;

  constructor(private reportedAt: number) {}

  /** Counts a line that was suppressed while jobs of at least a sampling level were logged completely. */
  recordLine(message: string, level: number): void {
    this.lineCounts.set(message, (this.lineCounts.get(message) ?? 0) + 1);
    this.maxSamplingLevel = Math.max(this.maxSamplingLevel, level);
  }

  /** Returns true when lines have been suppressed and the last report is long enough ago. */
  isReportDue(now: number): boolean {
    return this.lineCounts.size > 0 && now - this.reportedAt >= REPORT_INTERVAL_MS;
  }

  /** Returns true when lines have been suppressed since the last report. */
  hasSuppressedLines(): boolean {
    return this.lineCounts.size > 0;
  }

  /** Returns the log fields of a report, with the most frequent message first, and resets the counts. */
  takeReportFields(now: number): LineFields {
    const rows = [...this.lineCounts].sort(([, left], [, right]) => right - left);
    const total = rows.reduce((sum, [, count]) => sum + count, 0);
    const fields = {
      total,
      sinceMs: Math.round(now - this.reportedAt),
      share: `1/${2 ** this.maxSamplingLevel}`,
      counts: Object.fromEntries(rows),
    };
    this.lineCounts = new Map();
    this.maxSamplingLevel = 0;
    this.reportedAt = now;
    return fields;
  }
}
