import { build, type Histogram } from 'hdr-histogram-js';
import type { RowName } from '../common/RowName';

/** What is counted. */
type CountName =
  | 'ran'
  | 'notRun'
  | 'unknown'
  | 'forwarded'
  | 'retries'
  | 'preemptions'
  | 'unknownEnds'
  | 'refusedClaims'
  | 'fencedOrders';

const COUNTS: readonly CountName[] = [
  'ran',
  'notRun',
  'unknown',
  'forwarded',
  'retries',
  'preemptions',
  'unknownEnds',
  'refusedClaims',
  'fencedOrders',
];
const QUANTILES = [50, 90, 99, 99.9] as const;
/** Waits are recorded in whole microseconds. */
const MICROS_PER_MS = 1000;
const MICROS_PER_SECOND = 1e6;

/** Counters and waiting times of one entry process. */
export class Metrics {
  private readonly counts = new Map<CountName, number>(COUNTS.map((name) => [name, 0]));
  private readonly waits = new Map<RowName, Histogram>();

  recordCount(name: CountName): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  readCount(name: CountName): number {
    return this.counts.get(name) ?? 0;
  }

  /** All counts by name. */
  readCounts(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }

  /** Records how long a request waited before it was placed, in milliseconds. */
  recordWait(row: RowName, waitedMs: number): void {
    const known = this.waits.get(row);
    const histogram =
      known ?? build({ useWebAssembly: false, bitBucketSize: 32, numberOfSignificantValueDigits: 2 });
    if (known === undefined) {
      this.waits.set(row, histogram);
    }
    histogram.recordValue(Math.round(waitedMs * MICROS_PER_MS));
  }

  /** Waiting time of a row at a percentile, in milliseconds. */
  readWait(row: RowName, percentile: number): number {
    return (this.waits.get(row)?.getValueAtPercentile(percentile) ?? 0) / MICROS_PER_MS;
  }

  /** Formats everything in the text form that collectors read. `controlBytes`: to and from peers and platform. */
  formatText(controlBytes: number): string {
    const lines = [`stairline_control_bytes_total ${controlBytes}`];
    for (const [name, value] of this.counts) {
      lines.push(
        `stairline_${name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)}_total ${value}`,
      );
    }
    for (const [row, histogram] of this.waits) {
      for (const quantile of QUANTILES) {
        const seconds = histogram.getValueAtPercentile(quantile) / MICROS_PER_SECOND;
        lines.push(`stairline_wait_seconds{row="${row}",quantile="${quantile / 100}"} ${seconds}`);
      }
      lines.push(`stairline_wait_seconds_count{row="${row}"} ${histogram.totalCount}`);
    }
    const memory = process.memoryUsage();
    lines.push(`stairline_resident_bytes ${memory.rss}`, `stairline_heap_bytes ${memory.heapUsed}`);
    const cpu = process.cpuUsage();
    lines.push(`stairline_cpu_seconds_total ${(cpu.user + cpu.system) / MICROS_PER_SECOND}`);
    return `${lines.join('\n')}\n`;
  }
}
