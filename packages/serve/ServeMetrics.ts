import { build, type Histogram } from 'hdr-histogram-js';
import { refusalCauses } from '../gateway/refusalCauses';
import type { RefusalCause } from '../gateway/RefusalCause';
import { lossCauses } from '../dispatch/stops/lossCauses';
import type { LossCounterName } from '../dispatch/stops/LossCounterName';

const COUNTER_NAMES = [
  'accepted',
  'notTaken',
  'doorUnknown',
  'doorRoom',
  'doorBearable',
  'doorHopeless',
  'doorDoubtful',
  'impossible',
  'keysRefused',
  'unknown',
  'cancels',
  'reads',
  'starts',
  'ends',
  'stops',
  'questions',
  'digests',
  'digestsRefused',
  'unanswered',
  'elections',
  'lifeEnds',
  'livesBegun',
  'recordsRefused',
  'relaysLost',
  'runsLost',
  'runsLapsed',
  'crashesCharged',
  'tasksGivenUp',
  ...lossCauses.map((cause): LossCounterName => `runsLostBy.${cause}`),
  ...lossCauses.map((cause): LossCounterName => `coreMsLostBy.${cause}`),
  ...refusalCauses.map((cause): `limitRefusals.${RefusalCause}` => `limitRefusals.${cause}`),
  'questionsFirst',
  'questionsMore',
  'questionsAgain',
  'questionsEarly',
  'turnsUsed',
  'turnsWasted',
  'turnsUnanswered',
  'turnUsedMs',
  'turnWastedMs',
  'turnUnansweredMs',
] as const;
const PERCENTILES = [50, 90, 99, 99.9] as const;
const MICROS_PER_MS = 1000;
const MICROS_PER_SECOND = 1e6;

type CounterName = (typeof COUNTER_NAMES)[number];
type DurationName =
  | 'acceptMs'
  | 'readMs'
  | 'startMs'
  | 'roundMs'
  | 'waitRoundMs'
  | 'waitTurnMs'
  | 'waitAnswerMs'
  | 'waitRoomMs'
  | 'waitLimitMs'
  | 'waitBoundMs'
  | 'waitPauseMs';

const toMetricName = (name: string): string => name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);

/** Counters and latency histograms of one entry process. */
export class ServeMetrics {
  private readonly counters = new Map<CounterName, number>(COUNTER_NAMES.map((name) => [name, 0]));
  private readonly durations = new Map<DurationName, Histogram>();

  recordCount(name: CounterName, amount = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + amount);
  }

  recordDuration(name: DurationName, valueMs: number): void {
    const known = this.durations.get(name);
    const histogram =
      known ?? build({ useWebAssembly: false, bitBucketSize: 32, numberOfSignificantValueDigits: 2 });
    if (known === undefined) {
      this.durations.set(name, histogram);
    }
    histogram.recordValue(Math.max(0, Math.round(valueMs * MICROS_PER_MS)));
  }

  /** Formats all metrics in the text format of Prometheus. */
  formatText(gauges: Readonly<Record<string, number>>): string {
    const lines: string[] = [];
    for (const [name, value] of this.counters) {
      const [metric = name, cause] = name.split('.');
      const label = cause === undefined ? '' : `{cause="${cause}"}`;
      lines.push(`stairline_${toMetricName(metric)}_total${label} ${value}`);
    }
    for (const [name, histogram] of this.durations) {
      const metric = `stairline_${toMetricName(name).replace('_ms', '_seconds')}`;
      for (const percentile of PERCENTILES) {
        const seconds = histogram.getValueAtPercentile(percentile) / MICROS_PER_SECOND;
        lines.push(`${metric}{quantile="${percentile / 100}"} ${seconds}`);
      }
      lines.push(`${metric}_count ${histogram.totalCount}`);
    }
    for (const [name, value] of Object.entries(gauges)) {
      lines.push(`stairline_${toMetricName(name)} ${value}`);
    }
    const memory = process.memoryUsage();
    const cpu = process.cpuUsage();
    lines.push(`stairline_resident_bytes ${memory.rss}`, `stairline_heap_bytes ${memory.heapUsed}`);
    lines.push(`stairline_cpu_seconds_total ${(cpu.user + cpu.system) / MICROS_PER_SECOND}`);
    return `${lines.join('\n')}\n`;
  }
}
