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
import { estimateStepTime } from './estimateStepTime';

interface RunLearnerOptions {
  readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly kinds: KindSpeeds;
  readonly speeds: EndpointSpeeds;
  readonly times: RunTimes;
  readonly speedPolicy: SpeedPolicyName;
  readonly sendLogLine: (message: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** A run whose time is informative, with its step and endpoint. */
interface Measurement {
  readonly endpoint: EndpointState;
  readonly run: PlacedRun;
  readonly job: LiveJob;
  readonly shape: JobStep;
}

/** Minimum age of a run for its pace to be informative. */
const MIN_AGE_MS = 250;
/** Progress from which the rounding to whole percents is negligible. */
const MIN_PERCENT = 4;
/** Maximum number of tasks of a step that count for its kind, since they share the error of the step's estimate. */
const MAX_STEP_SAMPLES = 2;
/** Minimum number of other endpoints whose runs determine the baseline time of a step without a learnt distribution. */
const MIN_SIBLINGS = 2;
/** The same as `MIN_PERCENT` for gangs, whose members are confirmed one by one but start together. */
const MIN_GANG_PERCENT = 20;
const FULL_PERCENT = 100;
/** Upper bound on the ratio that counts as an endpoint's normal speed. Endpoints that are slower still are degraded. */
const MAX_OWN_RATIO = 3;
const REFRESH_INTERVAL_MS = 500;
/** Maximum number of log lines about endpoints in one refresh; the rest follow in the next. */
const MAX_LOG_LINES = 5;

/** Learns run times of tasks and speeds of endpoints from the reported progress of runs. */
export class RunLearner {
  /** Runs whose time has been recorded. */
  private readonly measuredRuns = new WeakSet<PlacedRun>();
  private refreshedAt = -Infinity;

  constructor(private readonly options: RunLearnerOptions) {}

  /** Records the progress of a run, as reported by a poll. */
  recordRun(endpoint: EndpointState, run: PlacedRun, now: number): void {
    const ageMs = now - run.startConfirmedAt;
    const measurement = ageMs >= MIN_AGE_MS ? this.createMeasurement(endpoint, run) : undefined;
    if (measurement === undefined) {
      return;
    }
    this.recordPace(measurement, ageMs / Math.max(1, run.percent), now);
    if (
      run.stage === 'running' &&
      !this.measuredRuns.has(run) &&
      this.isTimePredictable(measurement, ageMs)
    ) {
      // Polls report whole percents, rounded down.
      this.recordTime(measurement, (ageMs * FULL_PERCENT) / (run.percent + 0.5), now);
    }
  }

  /** Records that a run is done. */
  recordCompletion(endpoint: EndpointState, run: PlacedRun, now: number): void {
    const measurement = this.createMeasurement(endpoint, run);
    if (measurement === undefined) {
      return;
    }
    const runMs = now - run.startConfirmedAt;
    this.recordPace(measurement, runMs / FULL_PERCENT, now);
    this.recordKindPace(measurement, runMs / FULL_PERCENT);
    if (!this.measuredRuns.has(run)) {
      this.recordTime(measurement, runMs, now);
    }
  }

  /** Refreshes the speeds of endpoints, and logs changes. */
  handleTick(now: number): void {
    if (now - this.refreshedAt < REFRESH_INTERVAL_MS) {
      return;
    }
    this.refreshedAt = now;
    const { speeds, endpoints } = this.options;
    speeds.handleTick(now, (incarnation) => endpoints.has(incarnation));
    for (const { endpoint, speedClass, estimate, samples, updatedAt } of speeds.takeChanges(MAX_LOG_LINES)) {
      const profile = endpoints.get(endpoint)?.getProfile();
      this.options.sendLogLine("Endpoint's speed has changed.", {
        endpoint,
        speed: speedClass,
        ratio: Number(estimate.ratio.toFixed(2)),
        spread: Number(estimate.spread.toFixed(2)),
        samples,
        newestMs: Math.round(now - updatedAt),
        labels: profile?.labels,
        hall: profile?.hall,
      });
    }
  }

  private recordPace({ endpoint, run, job, shape }: Measurement, pace: number, now: number): void {
    const stepSpeeds = job.getSpeeds(run.address.repetition, run.address.step);
    const profile = endpoint.getProfile();
    // The members of a gang run at one pace on all endpoints.
    const ownRatio = shape.isGang ? 1 : this.getOwnRatio(profile);
    stepSpeeds.recordPace(run.address.index, pace, pace / ownRatio);
    const median = stepSpeeds.getNormalizedMedian();
    if (median !== undefined) {
      // An endpoint that is always slow, or of a slow kind, is not degraded.
      const baselineRatio = ownRatio === 1 ? this.options.kinds.getSlowdown(profile.labels) : ownRatio;
      endpoint.recordSlowdown(pace / median / baselineRatio, now);
    }
  }

  /** Returns the bounded ratio learnt for the endpoint itself; 1 under policies that do not use it. */
  private getOwnRatio(profile: EndpointProfile): number {
    const { speeds, speedPolicy: speedChoice } = this.options;
    return speedChoice === 'endpoints' ? Math.min(MAX_OWN_RATIO, speeds.getSignificantRatio(profile)) : 1;
  }

  /** Records the pace of a run that is done for the kind of its endpoint; that of a running one is too imprecise. */
  private recordKindPace({ endpoint, run, job }: Measurement, pace: number): void {
    const median = job.getSpeeds(run.address.repetition, run.address.step).getMedian();
    if (median !== undefined && median > 0) {
      this.options.kinds.recordRun(endpoint.getProfile().labels, pace / median);
    }
  }

  /** Returns whether the run's time can be extrapolated: it has made enough progress, or exceeds the median time without. */
  private isTimePredictable({ run, job, shape }: Measurement, ageMs: number): boolean {
    if (shape.isGang) {
      return run.percent >= MIN_GANG_PERCENT;
    }
    return (
      run.percent >= MIN_PERCENT ||
      ageMs >= this.options.times.getEstimate(job.definition.queue.name, shape).medianMs
    );
  }

  private recordTime(measurement: Measurement, runMs: number, now: number): void {
    const { run, job, shape } = measurement;
    const times = job.getRunTimes(run.address.repetition, run.address.step);
    this.measuredRuns.add(run);
    if (runMs <= 0 || !this.isAtBaselinePace(measurement)) {
      return;
    }
    if (!shape.isGang) {
      this.recordTaskTime(measurement, times, Math.log(runMs), now);
    } else if (times.claimGangRun(run.run)) {
      this.recordGangTime(measurement, Math.log(runMs), now);
    }
  }

  private recordTaskTime(
    { endpoint, run, job, shape }: Measurement,
    stepTimes: StepRunTimes,
    logMs: number,
    now: number,
  ): void {
    const { speeds, times } = this.options;
    const profile = endpoint.getProfile();
    const queue = job.definition.queue.name;
    const distribution = times.getDistribution(queue, shape);
    const siblings = stepTimes.listSiblingTimes(profile.incarnation, (incarnation) =>
      speeds.getIncarnationEstimate(incarnation, profile.service),
    );
    const stepTime = estimateStepTime(distribution, siblings);
    stepTimes.recordTime(run.address.index, profile.incarnation, logMs);
    if (distribution.isLearnt || siblings.length >= MIN_SIBLINGS) {
      // The tasks of a step on one endpoint share the error of the step's estimate, so together they count little more than one.
      const sharedVariance = stepTime.variance * stepTimes.countTasksOn(profile.incarnation) ** 2;
      const variance = distribution.taskSpread ** 2 + sharedVariance;
      speeds.recordRun(
        profile,
        { logRatio: logMs - stepTime.logMs, variance, step: this.toStepKey(run) },
        now,
      );
    }
    const logBaselineMs = logMs - Math.log(speeds.getEstimate(profile).ratio);
    if (stepTimes.countTasks() <= MAX_STEP_SAMPLES) {
      times.recordRun(queue, shape, logBaselineMs);
    }
    if (siblings.length >= MIN_SIBLINGS) {
      times.recordDeviation(queue, shape, logBaselineMs - stepTime.logMs);
    }
  }

  private recordGangTime({ run, job, shape }: Measurement, logMs: number, now: number): void {
    const { speeds, times, endpoints } = this.options;
    const queue = job.definition.queue.name;
    const distribution = times.getDistribution(queue, shape);
    const members = job.progress
      .listTasks(run.address.repetition, run.address.step)
      .flatMap(({ endpoint }) => endpoints.get(endpoint)?.getProfile() ?? []);
    if (members.length < shape.count) {
      return;
    }
    const sample = {
      logRatio: logMs - distribution.logMs,
      variance: distribution.spread ** 2,
      step: this.toStepKey(run),
    };
    if (distribution.isLearnt) {
      speeds.recordGang(members, sample, now);
    }
    const slowest = Math.max(...members.map((member) => Math.log(speeds.getEstimate(member).ratio)));
    times.recordRun(queue, shape, logMs - slowest);
  }

  private toStepKey({ job, address }: PlacedRun): string {
    return `${job}.${address.repetition}.${address.step}`;
  }

  /** Returns false for runs that may be slowed down by their distance from their data or from the rest of their gang. */
  private isAtBaselinePace({ endpoint, shape }: Measurement): boolean {
    const isNearData = shape.dataRack === '' || endpoint.getProfile().labels.includes(shape.dataRack);
    return isNearData && !shape.isSameRack;
  }

  /**
   * Returns undefined for runs whose time is not informative, such as fillers, which run on spare resources, and runs that continue from
   * a checkpoint.
   */
  private createMeasurement(endpoint: EndpointState, run: PlacedRun): Measurement | undefined {
    if (run.isFiller || run.isServing || !run.isFromStart) {
      return undefined;
    }
    const job = this.options.jobs.get(run.job);
    const shape = job?.definition.steps[run.address.step];
    return job === undefined || shape === undefined || shape.isLongRunning
      ? undefined
      : { endpoint, run, job, shape };
  }
}
