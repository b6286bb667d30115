import { build, type Histogram } from 'hdr-histogram-js';
import type { CallResult } from '../fleet/CallResult';

/** Counts what the callers of a load saw. */
export class DemoTally {
  private readonly outcomes = new Map<string, Map<string, number>>();
  private readonly times = new Map<string, Histogram>();
  /** Calls without a certain answer, by the box that was called. */
  private readonly uncertain = new Map<string, number>();

  recordResult(row: string, result: CallResult): void {
    const byOutcome = this.outcomes.get(row) ?? new Map<string, number>();
    byOutcome.set(result.outcome, (byOutcome.get(result.outcome) ?? 0) + 1);
    this.outcomes.set(row, byOutcome);
    if (result.outcome !== 'ran' && result.outcome !== 'not-run') {
      this.uncertain.set(result.box, (this.uncertain.get(result.box) ?? 0) + 1);
    }
    const histogram =
      this.times.get(row) ?? build({ useWebAssembly: false, numberOfSignificantValueDigits: 2 });
    histogram.recordValue(Math.round(result.tookMs));
    this.times.set(row, histogram);
  }

  /** Requests of all rows with one outcome. */
  readCount(outcome: string): number {
    return [...this.outcomes.values()].reduce((sum, counts) => sum + (counts.get(outcome) ?? 0), 0);
  }

  /** Calls of other boxes than `box` that got no certain answer. */
  readUncertainBesides(box: string): number {
    return [...this.uncertain].reduce((sum, [called, count]) => sum + (called === box ? 0 : count), 0);
  }

  /** One line of cells a row: name, outcomes, answer times in milliseconds. */
  toLines(): readonly (readonly unknown[])[] {
    return [...this.outcomes].map(([row, counts]) => [
      row,
      counts.get('ran') ?? 0,
      counts.get('not-run') ?? 0,
      counts.get('unknown') ?? 0,
      counts.get('cut') ?? 0,
      this.times.get(row)?.getValueAtPercentile(50),
      this.times.get(row)?.getValueAtPercentile(99),
    ]);
  }
}
