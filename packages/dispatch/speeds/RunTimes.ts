import type { JobStep } from '../../jobs/JobStep';
import type { RunTimeEstimate } from './RunTimeEstimate';
import { SampleWindow } from './SampleWindow';
import type { RunTimeDistribution } from './RunTimeDistribution';

/** Latest run time ratios of the tasks of one kind of step, as natural logarithms. */
interface KindRunTimeRatios {
  /** Ratios of run times on a baseline endpoint to the caller's estimate. */
  readonly logRatios: SampleWindow;
  /** Ratios of a task's run time on a baseline endpoint to the estimated one of its step. */
  readonly logDeviations: SampleWindow;
}

/** Minimum number of samples in a window for its kind to be used. */
const MIN_WINDOW_SAMPLES = 16;
/** Maximum number of kinds of steps; the least recently updated one is evicted. */
const MAX_STEP_KINDS = 200;
/** Standard deviation of the logarithm of run times around callers' estimates, before enough samples are known. */
const DEFAULT_SPREAD = 0.6;
/** Standard deviation of the logarithm of run times within a step, before enough samples are known. */
const DEFAULT_TASK_SPREAD = 0.3;
/** Lower bound on a learnt standard deviation, since the samples in a window may agree by chance. */
const MIN_LEARNT_SPREAD = 0.2;
/** Quantile of `RunTimeEstimate.p90Ms`. */
const TAIL_QUANTILE = 0.9;
/** Standard deviations between the median and `TAIL_QUANTILE` of a normal distribution. */
const TAIL_DEVIATIONS = 1.28;

/** Returns the standard deviation of the values in a window, at least `MIN_LEARNT_SPREAD`. */
const computeSpread = (window: SampleWindow): number => Math.max(MIN_LEARNT_SPREAD, window.computeSpread());

/** Returns the caller's estimate for a task of the step, at least 1 ms. */
const getEstimatedMs = (step: JobStep): number => Math.max(1, step.estimatedMs);

/**
 * Learns the distribution of run times on a baseline endpoint relative to callers' estimates, by kind of step: by queue, image, whether it
 * has an estimate, and whether it is a gang, which runs as long as its longest member.
 */
export class RunTimes {
  /** Run time ratios by key of the kind, the least recently updated first. */
  private readonly kinds = new Map<string, KindRunTimeRatios>();

  /** Records the run time of a task or a whole gang on a baseline endpoint, as the natural logarithm of milliseconds. */
  recordRun(queue: string, step: JobStep, logMs: number): void {
    for (const key of this.listKindKeys(queue, step)) {
      this.getOrCreateKind(key).logRatios.addValue(logMs - Math.log(getEstimatedMs(step)));
    }
  }

  /** Records the natural logarithm of the ratio of a task's run time to that estimated for its step, both on a baseline endpoint. */
  recordDeviation(queue: string, step: JobStep, deviation: number): void {
    for (const key of this.listKindKeys(queue, step)) {
      this.getOrCreateKind(key).logDeviations.addValue(deviation);
    }
  }

  /** Returns the expected run time of a step's task or whole gang on a baseline endpoint; by the caller's estimate until it is learnt. */
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

  /** Returns the distribution of run times on a baseline endpoint for a step, by its kind; around the caller's estimate until learnt. */
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

  /** Returns the number of kinds of steps with samples. */
  countKinds(): number {
    return this.kinds.size;
  }

  /** Returns the ratios of the narrowest kind of a step that has enough of them; undefined when none has. */
  private findLogRatios(queue: string, step: JobStep): SampleWindow | undefined {
    return this.findWindow(queue, step, (kind) => kind.logRatios);
  }

  /** Returns the window of the narrowest kind of a step that has enough samples in it; undefined when none has. */
  private findWindow(
    queue: string,
    step: JobStep,
    getWindow: (kind: KindRunTimeRatios) => SampleWindow,
  ): SampleWindow | undefined {
    for (const key of this.listKindKeys(queue, step)) {
      const kind = this.kinds.get(key);
      const window = kind === undefined ? undefined : getWindow(kind);
      if (window !== undefined && window.countValues() >= MIN_WINDOW_SAMPLES) {
        return window;
      }
    }
    return undefined;
  }

  /** Returns the ratios of a kind, created if needed, and marks the kind as the latest updated; may evict another, see `MAX_STEP_KINDS`. */
  private getOrCreateKind(key: string): KindRunTimeRatios {
    const kind = this.kinds.get(key) ?? { logRatios: new SampleWindow(), logDeviations: new SampleWindow() };
    this.kinds.delete(key);
    const [oldest] = this.kinds.keys();
    if (oldest !== undefined && this.kinds.size >= MAX_STEP_KINDS) {
      this.kinds.delete(oldest);
    }
    this.kinds.set(key, kind);
    return kind;
  }

  /** Returns the keys of the kinds that a step belongs to: that with its image, if it has one, then that of any image. */
  private listKindKeys(queue: string, step: JobStep): readonly string[] {
    const wide = `${queue} ${step.estimatedMs > 0 ? 'estimated' : 'open'} ${step.isGang ? 'gang' : 'task'}`;
    return step.image === '' ? [wide] : [`${wide} ${step.image}`, wide];
  }
}
