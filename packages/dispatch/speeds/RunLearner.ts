import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { JobStep } from '../../jobs/JobStep';
import type { EndpointState } from '../endpoints/EndpointState';
import type { EndpointProfile } from '../endpoints/EndpointProfile';
import type { KindSpeeds } from '../placing/KindSpeeds';
import type { SpeedPolicyName } from '../placing/SpeedPolicyName';
import type { PlacedRun } from '../runs/PlacedRun';
import type { LiveJob } from '../waiting/LiveJob';
import type { EndpointSpeeds } from './EndpointSpeeds';
import type { RunTimes } from './RunTimes';
import type { StepRunTimes } from './StepRunTimes';
import { toUsualStepTime } from './toUsualStepTime';

interface RunLearnerOptions {
  readonly books: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly kinds: KindSpeeds;
  readonly speeds: EndpointSpeeds;
  readonly times: RunTimes;
  readonly speedChoice: SpeedPolicyName;
  readonly sendTell: (sentence: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** A run with the step that it belongs to. */
interface Measured {
  readonly book: EndpointState;
  readonly run: PlacedRun;
  readonly job: LiveJob;
  readonly shape: JobStep;
}

/** The pace of a run says something from this age on. */
const KNOWN_AFTER_MS = 250;
/** From so many percent on, rounding to whole ones hardly changes a time. */
const KNOWN_PERCENT = 4;
/** Tasks of one step share what its estimate is off by: more of them do not tell more of their queue. */
const TELLING_TASKS = 2;
/** Siblings on fewer endpoints than this do not tell the usual time of a step alone. */
const MIN_SIBLINGS = 2;
/** Members of a gang are confirmed one after the other, and work once all are there. */
const KNOWN_GANG_PERCENT = 20;
const WHOLE = 100;
/** An endpoint on which runs take longer than this is sick, however long it has been so. */
const MAX_USUAL_RATIO = 3;
/** Speeds are worked out anew so often. */
const REFRESH_MS = 500;
/** Lines about endpoints at each refresh; the rest come with the next. */
const MAX_LINES = 5;

/** Learns from the runs that looks show: how long tasks take, and how fast endpoints are. */
export class RunLearner {
  /** Runs that have told what they tell. */
  private readonly measured = new WeakSet<PlacedRun>();
  private refreshedAt = -Infinity;

  constructor(private readonly options: RunLearnerOptions) {}

  /** Takes in what a look showed of a run. */
  recordRun(book: EndpointState, run: PlacedRun, now: number): void {
    const ageMs = now - run.confirmedAt;
    const measured = ageMs >= KNOWN_AFTER_MS ? this.readMeasured(book, run) : undefined;
    if (measured === undefined) {
      return;
    }
    this.recordPace(measured, ageMs / Math.max(1, run.percent), now);
    if (run.stage === 'running' && !this.measured.has(run) && this.isTelling(measured, ageMs)) {
      // A look gives whole percents, rounded down.
      this.recordTime(measured, (ageMs * WHOLE) / (run.percent + 0.5), now);
    }
  }

  /** Takes in that a run was done. */
  recordCompletion(book: EndpointState, run: PlacedRun, now: number): void {
    const measured = this.readMeasured(book, run);
    if (measured === undefined) {
      return;
    }
    const wholeMs = now - run.confirmedAt;
    this.recordPace(measured, wholeMs / WHOLE, now);
    this.recordKind(measured, wholeMs / WHOLE);
    if (!this.measured.has(run)) {
      this.recordTime(measured, wholeMs, now);
    }
  }

  /** Lets time pass: what is known of endpoints fades, and changes are told of. */
  handleTick(now: number): void {
    if (now - this.refreshedAt < REFRESH_MS) {
      return;
    }
    this.refreshedAt = now;
    const { speeds, books } = this.options;
    speeds.applyTime(now, (life) => books.has(life));
    for (const { life, speedClass, estimate, samples, recordedAt } of speeds.claimChanges(MAX_LINES)) {
      const profile = books.get(life)?.getProfile();
      this.options.sendTell("Endpoint's speed has changed.", {
        endpoint: life,
        speed: speedClass,
        ratio: Number(estimate.ratio.toFixed(2)),
        spread: Number(estimate.spread.toFixed(2)),
        samples,
        newestMs: Math.round(now - recordedAt),
        labels: profile?.labels,
        hall: profile?.hall,
      });
    }
  }

  private recordPace({ book, run, job, shape }: Measured, pace: number, now: number): void {
    const paces = job.getSpeeds(run.address.time, run.address.step);
    const profile = book.getProfile();
    // Members of a gang work at one pace, wherever they are.
    const ownRatio = shape.isGang ? 1 : this.readOwnRatio(profile);
    paces.recordPace(run.address.index, pace, pace / ownRatio);
    const median = paces.getNormalizedMedian();
    if (median !== undefined) {
      // An endpoint that is always slow, or one of a slow kind, is slow, not sick.
      const usualRatio = ownRatio === 1 ? this.options.kinds.getSlowdown(profile.labels) : ownRatio;
      book.recordSlowness(pace / median / usualRatio, now);
    }
  }

  /** How much longer runs usually take on the endpoint, as far as it is learnt by itself. */
  private readOwnRatio(profile: EndpointProfile): number {
    const { speeds, speedChoice } = this.options;
    return speedChoice === 'endpoints' ? Math.min(MAX_USUAL_RATIO, speeds.getSignificantRatio(profile)) : 1;
  }

  /** Only whole runs tell of an endpoint's kind: the pace of a run under way is rough. */
  private recordKind({ book, run, job }: Measured, pace: number): void {
    const median = job.getSpeeds(run.address.time, run.address.step).getMedian();
    if (median !== undefined && median > 0) {
      this.options.kinds.recordRun(book.getProfile().labels, pace / median);
    }
  }

  /** True once a run has come so far, or taken so long without, that its whole time can be told. */
  private isTelling({ run, job, shape }: Measured, ageMs: number): boolean {
    if (shape.isGang) {
      return run.percent >= KNOWN_GANG_PERCENT;
    }
    return (
      run.percent >= KNOWN_PERCENT ||
      ageMs >= this.options.times.getEstimate(job.definition.queue.name, shape).medianMs
    );
  }

  private recordTime(measured: Measured, wholeMs: number, now: number): void {
    const { run, job, shape } = measured;
    const times = job.getTimes(run.address.time, run.address.step);
    this.measured.add(run);
    if (wholeMs <= 0 || !this.isAtUsualPace(measured)) {
      return;
    }
    if (!shape.isGang) {
      this.recordTaskTime(measured, times, Math.log(wholeMs), now);
    } else if (times.claimGangRun(run.run)) {
      this.recordGangTime(measured, Math.log(wholeMs), now);
    }
  }

  private recordTaskTime(
    { book, run, job, shape }: Measured,
    stepTimes: StepRunTimes,
    logMs: number,
    now: number,
  ): void {
    const { speeds, times } = this.options;
    const profile = book.getProfile();
    const queue = job.definition.queue.name;
    const usual = times.readUsual(queue, shape);
    const siblings = stepTimes.readSiblings(profile.incarnation, (life) =>
      speeds.readLifeEstimate(life, profile.service),
    );
    const step = toUsualStepTime(usual, siblings);
    stepTimes.recordTime(run.address.index, profile.incarnation, logMs);
    if (usual.isLearnt || siblings.length >= MIN_SIBLINGS) {
      // Tasks of one step on one endpoint share what is not known of their step: together they tell little more than one.
      const shared = step.variance * stepTimes.readCountOn(profile.incarnation) ** 2;
      const variance = usual.taskSpread ** 2 + shared;
      speeds.recordRun(profile, { logRatio: logMs - step.logMs, variance, step: this.toStepKey(run) }, now);
    }
    const logUsualMs = logMs - Math.log(speeds.getEstimate(profile).ratio);
    if (stepTimes.readCount() <= TELLING_TASKS) {
      times.recordRun(queue, shape, logUsualMs);
    }
    if (siblings.length >= MIN_SIBLINGS) {
      times.recordDeviation(queue, shape, logUsualMs - step.logMs);
    }
  }

  private recordGangTime({ run, job, shape }: Measured, logMs: number, now: number): void {
    const { speeds, times, books } = this.options;
    const queue = job.definition.queue.name;
    const usual = times.readUsual(queue, shape);
    const members = job.progress
      .listTasks(run.address.time, run.address.step)
      .flatMap(({ endpoint }) => books.get(endpoint)?.getProfile() ?? []);
    if (members.length < shape.count) {
      return;
    }
    const evidence = {
      logRatio: logMs - usual.logMs,
      variance: usual.spread ** 2,
      step: this.toStepKey(run),
    };
    if (usual.isLearnt) {
      speeds.recordGang(members, evidence, now);
    }
    const slowest = Math.max(...members.map((member) => Math.log(speeds.getEstimate(member).ratio)));
    times.recordRun(queue, shape, logMs - slowest);
  }

  private toStepKey({ job, address }: PlacedRun): string {
    return `${job}.${address.time}.${address.step}`;
  }

  /** Away from its data, or from the rack of the rest of its gang, work takes longer on any endpoint. */
  private isAtUsualPace({ book, shape }: Measured): boolean {
    const isNearData = shape.dataRack === '' || book.getProfile().labels.includes(shape.dataRack);
    return isNearData && !shape.isSameRack;
  }

  /**
   * Undefined for runs whose time tells nothing: fillers work at what is left over, and a run from a checkpoint does not begin at
   * nothing.
   */
  private readMeasured(book: EndpointState, run: PlacedRun): Measured | undefined {
    if (run.isFiller || run.isServing || !run.isFromStart) {
      return undefined;
    }
    const job = this.options.jobs.get(run.job);
    const shape = job?.definition.steps[run.address.step];
    return job === undefined || shape === undefined || shape.isLongRunning
      ? undefined
      : { book, run, job, shape };
  }
}
