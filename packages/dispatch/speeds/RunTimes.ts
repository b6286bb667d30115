import type { JobStep } from '../../jobs/JobStep';
import type { RunTimeEstimate } from './RunTimeEstimate';
import { SampleWindow } from './SampleWindow';
import type { UsualTime } from './UsualTime';

/** What was seen of the tasks of one kind. Values are natural logarithms. */
interface KnownTimes {
  /** Time on a usual endpoint by the caller's estimate. */
  readonly ratios: SampleWindow;
  /** Time of a task by the usual time of its step. */
  readonly deviations: SampleWindow;
}

/** Fewer runs than this tell less than the caller's estimate. */
const MIN_SAMPLES = 16;
/** Kinds of tasks kept; the one of which nothing was seen for longest goes. */
const MAX_KINDS = 200;
/** Of callers' estimates, while nothing is known of how far they are off. */
const ESTIMATE_SPREAD = 0.6;
/** Of the tasks of one step, while nothing is known of them. */
const TASK_SPREAD = 0.3;
/** Windows whose values happen to agree do not make a single run prove anything: another kind of work may come any time. */
const MIN_SPREAD = 0.2;
const TAIL_SHARE = 0.9;
/** Standard deviations between the median and the tail of normal values. */
const TAIL_DEVIATIONS = 1.28;

const readSpread = (window: SampleWindow): number => Math.max(MIN_SPREAD, window.readSpread());

const toBaseMs = (shape: JobStep): number => Math.max(1, shape.estimatedMs);

/**
 * Learns how long tasks run, by queue and image, against what callers estimate. Steps without an estimate and gangs are kinds of
 * their own: a gang runs as long as its longest member.
 */
export class RunTimes {
  private readonly kinds = new Map<string, KnownTimes>();

  /** Takes in the natural logarithm of the milliseconds that a task, or a whole gang, takes on a usual endpoint. */
  recordRun(queue: string, shape: JobStep, logMs: number): void {
    for (const key of this.toKeys(queue, shape)) {
      this.readOrCreate(key).ratios.recordValue(logMs - Math.log(toBaseMs(shape)));
    }
  }

  /** Takes in the natural logarithm of a task's time by the usual time of its step. */
  recordDeviation(queue: string, shape: JobStep, deviation: number): void {
    for (const key of this.toKeys(queue, shape)) {
      this.readOrCreate(key).deviations.recordValue(deviation);
    }
  }

  /** The expected time of one task of a step, or of the whole gang. */
  getEstimate(queue: string, shape: JobStep): RunTimeEstimate {
    const baseMs = toBaseMs(shape);
    const ratios = this.readLearnt(queue, shape);
    if (ratios === undefined) {
      const tailMs = baseMs * Math.exp(TAIL_DEVIATIONS * ESTIMATE_SPREAD);
      return { medianMs: baseMs, p90Ms: tailMs, isLearnt: false };
    }
    return {
      medianMs: baseMs * Math.exp(ratios.readQuantile(0.5)),
      p90Ms: baseMs * Math.exp(ratios.readQuantile(TAIL_SHARE)),
      isLearnt: true,
    };
  }

  /** What is known of the time of one task of a step, before any of the step has run. */
  readUsual(queue: string, shape: JobStep): UsualTime {
    const ratios = this.readLearnt(queue, shape);
    const deviations = this.readKnown(queue, shape, (known) => known.deviations);
    return {
      logMs: Math.log(toBaseMs(shape)) + (ratios?.readQuantile(0.5) ?? 0),
      isLearnt: ratios !== undefined,
      spread: ratios === undefined ? ESTIMATE_SPREAD : readSpread(ratios),
      taskSpread: deviations === undefined ? TASK_SPREAD : readSpread(deviations),
    };
  }

  readKindCount(): number {
    return this.kinds.size;
  }

  private readLearnt(queue: string, shape: JobStep): SampleWindow | undefined {
    return this.readKnown(queue, shape, (known) => known.ratios);
  }

  /** The window of the narrowest kind that has enough samples. */
  private readKnown(
    queue: string,
    shape: JobStep,
    readWindow: (known: KnownTimes) => SampleWindow,
  ): SampleWindow | undefined {
    for (const key of this.toKeys(queue, shape)) {
      const known = this.kinds.get(key);
      const window = known === undefined ? undefined : readWindow(known);
      if (window !== undefined && window.readCount() >= MIN_SAMPLES) {
        return window;
      }
    }
    return undefined;
  }

  /** Gives a kind, and puts it last among those that may go. */
  private readOrCreate(key: string): KnownTimes {
    const known = this.kinds.get(key) ?? { ratios: new SampleWindow(), deviations: new SampleWindow() };
    this.kinds.delete(key);
    const [first] = this.kinds.keys();
    if (first !== undefined && this.kinds.size >= MAX_KINDS) {
      this.kinds.delete(first);
    }
    this.kinds.set(key, known);
    return known;
  }

  /** Kinds that a step belongs to, the narrowest first. */
  private toKeys(queue: string, shape: JobStep): readonly string[] {
    const wide = `${queue} ${shape.estimatedMs > 0 ? 'estimated' : 'open'} ${shape.isGang ? 'gang' : 'task'}`;
    return shape.image === '' ? [wide] : [`${wide} ${shape.image}`, wide];
  }
}
