import type { JobStep } from '../../jobs/JobStep';
import type { RunTimeEstimate } from './RunTimeEstimate';
import { SampleWindow } from './SampleWindow';
import type { RunTimeDistribution } from './RunTimeDistribution';

/** Run times of the tasks of one kind. Values are natural logarithms of ratios. */
interface KindTimes {
  /** Ratio of the baseline time to the caller's estimate. */
  readonly logRatios: SampleWindow;
  /** Ratio of a task's baseline time to that of its step. */
  readonly logDeviations: SampleWindow;
}

/** Minimum number of samples for a window to be used. */
const MIN_SAMPLES = 16;
/** Maximum number of kinds; the least recently updated one is evicted. */
const MAX_KINDS = 200;
/** Spread of the run times around callers' estimates before enough samples are known. */
const DEFAULT_SPREAD = 0.6;
/** Spread of the run times within a step before enough samples are known. */
const DEFAULT_TASK_SPREAD = 0.3;
/** Lower bound on a learned spread, since the samples in a window may agree by chance. */
const MIN_SPREAD = 0.2;
const TAIL_QUANTILE = 0.9;
/** Standard deviations between the median and `TAIL_QUANTILE` of a normal distribution. */
const TAIL_DEVIATIONS = 1.28;

const computeSpread = (window: SampleWindow): number => Math.max(MIN_SPREAD, window.computeSpread());

const getEstimatedMs = (step: JobStep): number => Math.max(1, step.estimatedMs);

/**
 * Learns the distribution of run times relative to callers' estimates, by queue and image. Steps without an estimate are kinds of their
 * own, and so are gangs, which run as long as their longest member.
 */
export class RunTimes {
  private readonly kinds = new Map<string, KindTimes>();

  /** Records the baseline time of a task or a whole gang, as the natural logarithm of milliseconds. */
  recordRun(queue: string, step: JobStep, logMs: number): void {
    for (const key of this.listKindKeys(queue, step)) {
      this.getOrCreateKind(key).logRatios.addValue(logMs - Math.log(getEstimatedMs(step)));
    }
  }

  /** Records the natural logarithm of the ratio of a task's baseline time to that of its step. */
  recordDeviation(queue: string, step: JobStep, deviation: number): void {
    for (const key of this.listKindKeys(queue, step)) {
      this.getOrCreateKind(key).logDeviations.addValue(deviation);
    }
  }

  /** Returns the expected run time of a task of a step, or of the whole gang. */
  getEstimate(queue: string, step: JobStep): RunTimeEstimate {
    const baseMs = getEstimatedMs(step);
    const ratios = this.findLogRatios(queue, step);
    if (ratios === undefined) {
      const p90Ms = baseMs * Math.exp(TAIL_DEVIATIONS * DEFAULT_SPREAD);
      return { medianMs: baseMs, p90Ms, isLearnt: false };
    }
    return {
      medianMs: baseMs * Math.exp(ratios.computeQuantile(0.5)),
      p90Ms: baseMs * Math.exp(ratios.computeQuantile(TAIL_QUANTILE)),
      isLearnt: true,
    };
  }

  /** Returns the distribution of run times for a step, regardless of its own runs. */
  getDistribution(queue: string, step: JobStep): RunTimeDistribution {
    const ratios = this.findLogRatios(queue, step);
    const deviations = this.findWindow(queue, step, (kind) => kind.logDeviations);
    return {
      logMs: Math.log(getEstimatedMs(step)) + (ratios?.computeQuantile(0.5) ?? 0),
      isLearnt: ratios !== undefined,
      spread: ratios === undefined ? DEFAULT_SPREAD : computeSpread(ratios),
      taskSpread: deviations === undefined ? DEFAULT_TASK_SPREAD : computeSpread(deviations),
    };
  }

  countKinds(): number {
    return this.kinds.size;
  }

  private findLogRatios(queue: string, step: JobStep): SampleWindow | undefined {
    return this.findWindow(queue, step, (kind) => kind.logRatios);
  }

  /** Returns the window of the narrowest kind that has enough samples; undefined when none has. */
  private findWindow(
    queue: string,
    step: JobStep,
    getWindow: (kind: KindTimes) => SampleWindow,
  ): SampleWindow | undefined {
    for (const key of this.listKindKeys(queue, step)) {
      const kind = this.kinds.get(key);
      const window = kind === undefined ? undefined : getWindow(kind);
      if (window !== undefined && window.countValues() >= MIN_SAMPLES) {
        return window;
      }
    }
    return undefined;
  }

  /** Returns a kind, marked as the most recently updated one. */
  private getOrCreateKind(key: string): KindTimes {
    const kind = this.kinds.get(key) ?? { logRatios: new SampleWindow(), logDeviations: new SampleWindow() };
    this.kinds.delete(key);
    const [oldest] = this.kinds.keys();
    if (oldest !== undefined && this.kinds.size >= MAX_KINDS) {
      this.kinds.delete(oldest);
    }
    this.kinds.set(key, kind);
    return kind;
  }

  /** Returns the keys of the kinds that a step belongs to, the narrowest first. */
  private listKindKeys(queue: string, step: JobStep): readonly string[] {
    const wide = `${queue} ${step.estimatedMs > 0 ? 'estimated' : 'open'} ${step.isGang ? 'gang' : 'task'}`;
    return step.image === '' ? [wide] : [`${wide} ${step.image}`, wide];
  }
}
