import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { JobStep } from '../../jobs/JobStep';
import type { EndpointState } from '../endpoints/EndpointState';
import type { EndpointProfile } from '../endpoints/EndpointProfile';
import type { LabelSlowdowns } from '../placing/LabelSlowdowns';
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
  /** Slowdown of the kinds of endpoints, by label. */
  readonly labelSlowdowns: LabelSlowdowns;
  readonly speeds: EndpointSpeeds;
  readonly runTimes: RunTimes;
  readonly speedPolicy: SpeedPolicyName;
  readonly sendLogLine: (message: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** A run whose time is informative, with its job, the definition of its step, and its endpoint. */
interface MeasurableRun {
  readonly endpoint: EndpointState;
  readonly run: PlacedRun;
  readonly job: LiveJob;
  readonly stepDefinition: JobStep;
}

/** Minimum time since the confirmation of a running task for its pace to be recorded. */
const MIN_PACE_RUN_AGE_MS = 250;
/** Minimum progress of a run for its time to be extrapolated, from which the rounding to whole percents matters little. */
const MIN_EXTRAPOLATION_PERCENT = 4;
/** Maximum number of tasks of a step whose times are added to the run times of its kind. */
const MAX_SAMPLED_TASKS_PER_STEP = 2;
/**
 * Minimum number of other endpoints with run times of a step for the deviations of its tasks to be recorded, and also for their speed
 * samples while the distribution of its run times is not learnt.
 */
const MIN_SIBLING_ENDPOINTS = 2;
/** Minimum progress for the time of a gang's run to be extrapolated; higher since members are confirmed one by one but start together. */
const MIN_GANG_EXTRAPOLATION_PERCENT = 20;
const FULL_PERCENT = 100;
/** Upper bound on the ratio that counts as an endpoint's normal speed, so that much slower endpoints count as degraded. */
const MAX_OWN_SPEED_RATIO = 3;
/** Minimum interval between refreshes of the speeds. */
const MIN_SPEED_REFRESH_INTERVAL_MS = 500;
/** Maximum number of log lines about changed speeds in one refresh; the rest follow in the next. */
const MAX_SPEED_LOG_LINES = 5;

/** Learns the run times of tasks and the speeds of endpoints from the progress and completion of runs. */
export class RunLearner {
  /** Runs whose time has been recorded, or found not positive or not at the baseline pace. */
  private readonly processedRuns = new WeakSet<PlacedRun>();
  /** Monotonic time of the latest refresh of the speeds. */
  private lastRefreshedAt = -Infinity;

  constructor(private readonly options: RunLearnerOptions) {}

  /**
   * Records the pace of a run by its progress, as reported by a poll, and once per run its extrapolated time, if that is predictable.
   * Ignores young runs and those whose time is not informative.
   */
  recordProgress(endpoint: EndpointState, run: PlacedRun, now: number): void {
    const ageMs = now - run.startConfirmedAt;
    const measurableRun = ageMs >= MIN_PACE_RUN_AGE_MS ? this.toMeasurableRun(endpoint, run) : undefined;
    if (measurableRun === undefined) {
      return;
    }
    this.recordPace(measurableRun, ageMs / Math.max(1, run.percent), now);
    if (
      run.stage === 'running' &&
      !this.processedRuns.has(run) &&
      this.isRunTimePredictable(measurableRun, ageMs)
    ) {
      // Polls report whole percents, rounded down.
      this.recordRunTime(measurableRun, (ageMs * FULL_PERCENT) / (run.percent + 0.5), now);
    }
  }

  /**
   * Records the pace of a run that is done, also for the kind of its endpoint, and its time unless an extrapolated one has been recorded.
   * Ignores runs whose time is not informative.
   */
  recordCompletion(endpoint: EndpointState, run: PlacedRun, now: number): void {
    const measurableRun = this.toMeasurableRun(endpoint, run);
    if (measurableRun === undefined) {
      return;
    }
    const runMs = now - run.startConfirmedAt;
    this.recordPace(measurableRun, runMs / FULL_PERCENT, now);
    this.recordKindPace(measurableRun, runMs / FULL_PERCENT);
    if (!this.processedRuns.has(run)) {
      this.recordRunTime(measurableRun, runMs, now);
    }
  }

  /** Refreshes the speeds of endpoints and logs changes of their speed classes, if the latest refresh is long enough ago. */
  handleTick(now: number): void {
    if (now - this.lastRefreshedAt < MIN_SPEED_REFRESH_INTERVAL_MS) {
      return;
    }
    this.lastRefreshedAt = now;
    const { speeds, endpoints } = this.options;
    speeds.handleTick(now, (incarnation) => endpoints.has(incarnation));
    for (const { endpoint, speedClass, estimate, sampleCount, lastSampleAt } of speeds.takeChanges(
      MAX_SPEED_LOG_LINES,
    )) {
      const profile = endpoints.get(endpoint)?.getProfile();
      this.options.sendLogLine("Endpoint's speed has changed.", {
        endpoint,
        speed: speedClass,
        ratio: Number(estimate.ratio.toFixed(2)),
        spread: Number(estimate.spread.toFixed(2)),
        samples: sampleCount,
        newestMs: Math.round(now - lastSampleAt),
        labels: profile?.labels,
        hall: profile?.hall,
      });
    }
  }

  /**
   * Records the pace of a run, in milliseconds for one percent, for its step; and for its endpoint the slowdown relative to the step's
   * median pace, if there is one.
   */
  private recordPace(
    { endpoint, run, job, stepDefinition }: MeasurableRun,
    msPerPercent: number,
    now: number,
  ): void {
    const stepSpeeds = job.getStepSpeeds(run.address.repetition, run.address.step);
    const profile = endpoint.getProfile();
    // The members of a gang run at one pace on all endpoints.
    const ownRatio = stepDefinition.isGang ? 1 : this.getOwnRatio(profile);
    stepSpeeds.recordPace(run.address.index, msPerPercent, msPerPercent / ownRatio);
    const median = stepSpeeds.getNormalizedMedianPace();
    if (median !== undefined) {
      // An endpoint that is always slow, or of a slow kind, is not degraded.
      const baselineRatio =
        ownRatio === 1 ? this.options.labelSlowdowns.getSlowdown(profile.labels) : ownRatio;
      endpoint.recordSlowdown(msPerPercent / median / baselineRatio, now);
    }
  }

  /** Returns the significant ratio of the endpoint, at most `MAX_OWN_SPEED_RATIO`; 1 under speed policies other than `endpoints`. */
  private getOwnRatio(profile: EndpointProfile): number {
    const { speeds, speedPolicy } = this.options;
    return speedPolicy === 'endpoints'
      ? Math.min(MAX_OWN_SPEED_RATIO, speeds.getSignificantRatio(profile))
      : 1;
  }

  /** Records the pace of a run that is done, relative to its step's median pace, for the kind of its endpoint; nothing without a median. */
  private recordKindPace({ endpoint, run, job }: MeasurableRun, msPerPercent: number): void {
    const median = job.getStepSpeeds(run.address.repetition, run.address.step).getMedianPace();
    if (median !== undefined && median > 0) {
      this.options.labelSlowdowns.recordRunSlowdown(endpoint.getProfile().labels, msPerPercent / median);
    }
  }

  /** Returns whether the run's time can be extrapolated: it has made enough progress or, unless it is a gang's, exceeds the median time. */
  private isRunTimePredictable({ run, job, stepDefinition }: MeasurableRun, ageMs: number): boolean {
    if (stepDefinition.isGang) {
      return run.percent >= MIN_GANG_EXTRAPOLATION_PERCENT;
    }
    return (
      run.percent >= MIN_EXTRAPOLATION_PERCENT ||
      ageMs >= this.options.runTimes.getEstimate(job.getQueue().name, stepDefinition).medianMs
    );
  }

  /**
   * Records the time of a run as a sample for its step, kind and endpoint; once for all members of a gang. Only marks the run as processed
   * if its pace may not be the baseline one.
   */
  private recordRunTime(measurableRun: MeasurableRun, runMs: number, now: number): void {
    const { run, job, stepDefinition } = measurableRun;
    const stepTimes = job.getStepRunTimes(run.address.repetition, run.address.step);
    this.processedRuns.add(run);
    if (runMs <= 0 || !this.isAtBaselinePace(measurableRun)) {
      return;
    }
    if (!stepDefinition.isGang) {
      this.recordTaskTime(measurableRun, stepTimes, Math.log(runMs), now);
    } else if (stepTimes.claimGangRun(run.run)) {
      this.recordGangTime(measurableRun, Math.log(runMs), now);
    }
  }

  /**
   * Records the time of a single task for its step. Adds a sample to the speed of its endpoint if the baseline time of the step is known
   * well enough, to the run times of its kind for the first tasks of a step, and to the deviations if enough other endpoints have times.
   */
  private recordTaskTime(
    { endpoint, run, job, stepDefinition }: MeasurableRun,
    stepTimes: StepRunTimes,
    logMs: number,
    now: number,
  ): void {
    const { speeds, runTimes } = this.options;
    const profile = endpoint.getProfile();
    const queue = job.getQueue().name;
    const distribution = runTimes.getDistribution(queue, stepDefinition);
    const siblings = stepTimes.listSiblingTimes(profile.incarnation, (incarnation) =>
      speeds.getIncarnationEstimate(incarnation, profile.service),
    );
    const stepTime = estimateStepTime(distribution, siblings);
    stepTimes.recordTime(run.address.index, profile.incarnation, logMs);
    if (distribution.isLearnt || siblings.length >= MIN_SIBLING_ENDPOINTS) {
      // The tasks of a step on one endpoint share the error of the step's estimate, so together they weigh little more than one.
      const sharedVariance = stepTime.variance * stepTimes.countTasksOn(profile.incarnation) ** 2;
      const variance = distribution.taskSpread ** 2 + sharedVariance;
      speeds.recordRun(
        profile,
        { logRatio: logMs - stepTime.logMs, variance, stepKey: this.toStepKey(run) },
        now,
      );
    }
    const logBaselineMs = logMs - Math.log(speeds.getEstimate(profile).ratio);
    if (stepTimes.countTasks() <= MAX_SAMPLED_TASKS_PER_STEP) {
      runTimes.recordRun(queue, stepDefinition, logBaselineMs);
    }
    if (siblings.length >= MIN_SIBLING_ENDPOINTS) {
      runTimes.recordDeviation(queue, stepDefinition, logBaselineMs - stepTime.logMs);
    }
  }

  /**
   * Records the time of a gang for the run times of its kind and, if their distribution is learnt, for the speeds of its members. Does
   * nothing if the endpoint of a member is unknown.
   */
  private recordGangTime({ run, job, stepDefinition }: MeasurableRun, logMs: number, now: number): void {
    const { speeds, runTimes, endpoints } = this.options;
    const queue = job.getQueue().name;
    const distribution = runTimes.getDistribution(queue, stepDefinition);
    const members = job.progress
      .listTasks(run.address.repetition, run.address.step)
      .flatMap(({ endpoint }) => endpoints.get(endpoint)?.getProfile() ?? []);
    if (members.length < stepDefinition.count) {
      return;
    }
    const sample = {
      logRatio: logMs - distribution.logMs,
      variance: distribution.spread ** 2,
      stepKey: this.toStepKey(run),
    };
    if (distribution.isLearnt) {
      speeds.recordGang(members, sample, now);
    }
    const slowest = Math.max(...members.map((member) => Math.log(speeds.getEstimate(member).ratio)));
    runTimes.recordRun(queue, stepDefinition, logMs - slowest);
  }

  /** Returns the key of a run's step, by which the speed samples of one step are recognized. */
  private toStepKey({ job, address }: PlacedRun): string {
    return `${job}.${address.repetition}.${address.step}`;
  }

  /** Returns whether the run is not slowed down by distance: it is in the rack of its data, if any, and its step needs no common rack. */
  private isAtBaselinePace({ endpoint, stepDefinition }: MeasurableRun): boolean {
    const isNearData =
      stepDefinition.dataRack === '' || endpoint.getProfile().labels.includes(stepDefinition.dataRack);
    return isNearData && !stepDefinition.isSameRack;
  }

  /**
   * Returns the run with its job and the definition of its step; undefined if its time is not informative, as for fillers, servers,
   * long-running steps and runs that continue from a checkpoint, or if its job is unknown.
   */
  private toMeasurableRun(endpoint: EndpointState, run: PlacedRun): MeasurableRun | undefined {
    if (run.isFiller || run.isServing || !run.isFromStart) {
      return undefined;
    }
    const job = this.options.jobs.get(run.job);
    const stepDefinition = job?.definition.steps[run.address.step];
    return job === undefined || stepDefinition === undefined || stepDefinition.isLongRunning
      ? undefined
      : { endpoint, run, job, stepDefinition };
  }
}
