import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { JobId } from '../../jobs/JobId';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { TaskName } from '../../jobs/TaskName';
import { resourceMath } from '../../jobs/resourceMath';
import { computeMaxLeaseMs } from '../../leadership/computeMaxLeaseMs';
import { ExtendedLeases } from '../../leadership/ExtendedLeases';
import { leaderTimings } from '../../leadership/leaderTimings';
import type { EndpointProfile } from './EndpointProfile';
import type { PlacedRun } from '../runs/PlacedRun';
import { RunCounts } from '../runs/RunCounts';
import { FailureStreak } from '../stops/FailureStreak';

/** Weight of the newest run in the moving average of failed runs. */
const FAILURE_WEIGHT = 0.25;
/** Half-life of the run failure rate while no run ends, so that runs are placed on the endpoint again. */
const FAILURE_HALF_LIFE_MS = 6000;
/** Run failure rate from which an endpoint counts as failing. */
const MIN_FAILING_RATE = 0.4;
/** Weight of the newest recorded ratio in the moving average of the slowdown. */
const SLOWDOWN_WEIGHT = 0.3;
/** Half-life of the slowdown's distance from 1 while no ratio is recorded. */
const SLOWDOWN_HALF_LIFE_MS = 4000;
/** Slowdown above which an endpoint counts as degraded. */
const MAX_HEALTHY_SLOWDOWN = 1.8;
/** Upper bound of a single recorded ratio. */
const MAX_RECORDED_SLOWDOWN = 8;

/**
 * Share of the time for which a draining endpoint promises to stay, counted from when its record was read, within which it cannot have left by plan.
 * The rest allows for the time until the record was read.
 */
const EARLY_SILENCE_SHARE = 0.5;

/** The leader's view of one incarnation of an endpoint: capacity, runs, leases, reachability and health. */
export class EndpointState {
  private readonly runs = new Map<string, PlacedRun>();
  private usedCapacity: TaskDemand = resourceMath.ZERO;
  /** Moving average of failed runs, 0 to 1, at `runFailureRateAt`. */
  private runFailureRate = 0;
  private runFailureRateAt = 0;
  /** Moving average, at `slowdownAt`, of how many times longer runs take on this endpoint than the same step's runs elsewhere; 1 is normal. */
  private slowdown = 1;
  private slowdownAt = 0;
  /** Monotonic time at which the drain was noticed; undefined before. */
  private drainingSince: number | undefined;
  /** True when a record has said that the endpoint drains after one that did not, so that the begin of the drain is known. */
  private hasBegunDrain = false;
  /** True when the endpoint became unreachable before it drained, or too early in its drain to have left by plan, and has not responded since. */
  private hasFallenSilentEarly = false;
  /** True once the endpoint has responded to this leader, so that it rejects commands of earlier leaders. */
  private synced = false;
  private registered = true;
  /** True when the endpoint has responded to a poll after its record was removed and before a new record came. */
  private hasRespondedDeregistered = false;
  /** Runs of crash suspects that are not past their startup. */
  private readonly startingSuspects = new Set<PlacedRun>();
  private readonly failureStreak = new FailureStreak();
  /** Monotonic time of the first poll without a response; undefined while the endpoint responds. */
  private unreachableSince: number | undefined;
  /** Monotonic time of the newest response to a poll; undefined before the first. */
  private respondedAt: number | undefined;
  /** True once this leader has sent a poll. */
  private hasBeenPolled = false;
  /** Monotonic time by which all leases granted by this leader have expired; -Infinity before the first. */
  private leasedUntil = -Infinity;

  constructor(
    private profile: EndpointProfile,
    /** Monotonic time by which all leases granted by earlier leaders have expired. */
    private earlierLeasesEndAt: number,
    /** Usage of the customers, updated with each run that is added or removed. */
    private readonly customerUsage: CustomerUsage,
    /** Leases of endpoints that may be longer than the usual ones. */
    private readonly extendedLeases = new ExtendedLeases(),
    /** Counts of the runs on all endpoints, updated with each run that is added or removed. */
    private readonly runCounts = new RunCounts(),
  ) {}

  getProfile(): EndpointProfile {
    return this.profile;
  }

  /** Replaces the profile by the one of a new record; the endpoint counts as registered again. */
  applyProfile(profile: EndpointProfile): void {
    const beginsToDrain = profile.isDraining && !this.profile.isDraining;
    this.hasBegunDrain ||= beginsToDrain;
    this.hasFallenSilentEarly ||= beginsToDrain && this.unreachableSince !== undefined;
    this.profile = profile;
    this.registered = true;
    this.hasRespondedDeregistered = false;
  }

  /** Records that the endpoint's record was removed: no new runs are placed there. Its runs go on, as the endpoint may still be alive. */
  recordDeregistration(): void {
    this.registered = false;
  }

  /** Returns a run of a task by its number; undefined when the endpoint has no such run. */
  getRun(task: TaskName, run: number): PlacedRun | undefined {
    return this.runs.get(`${task}#${run}`);
  }

  getRuns(): Iterable<PlacedRun> {
    return this.runs.values();
  }

  /** Returns the runs of the tasks of a job. */
  listRunsOfJob(job: JobId): readonly PlacedRun[] {
    const runs: PlacedRun[] = [];
    for (const run of this.runs.values()) {
      if (run.job === job) {
        runs.push(run);
      }
    }
    return runs;
  }

  countRuns(): number {
    return this.runs.size;
  }

  /** Adds a run that is not there yet, and reserves its demand here and in its customer's usage. */
  addRun(run: PlacedRun): void {
    this.runs.set(`${run.task}#${run.run}`, run);
    this.usedCapacity = resourceMath.computeSum(this.usedCapacity, run.demand);
    this.customerUsage.recordRun(run);
    this.runCounts.recordRun(run.job);
    if (run.isCrashSuspect) {
      this.startingSuspects.add(run);
    }
  }

  /** Removes a run that has ended or moved, and releases its demand here and in its customer's usage. Does nothing for an unknown run. */
  removeRun(run: PlacedRun): void {
    this.startingSuspects.delete(run);
    if (this.runs.delete(`${run.task}#${run.run}`)) {
      this.usedCapacity = resourceMath.computeDifference(this.usedCapacity, run.demand);
      this.customerUsage.recordRunEnd(run);
      this.runCounts.recordRunEnd(run.job);
    }
  }

  /** Returns the runs of crash suspects that are not past their startup, and may still crash the endpoint. */
  getStartingSuspects(): ReadonlySet<PlacedRun> {
    return this.startingSuspects;
  }

  /** Records that a run is past its startup, and so no starting suspect any more. */
  recordStartupPassed(run: PlacedRun): void {
    this.startingSuspects.delete(run);
  }

  getFreeCapacity(): TaskDemand {
    return resourceMath.computeDifference(this.profile.capacity, this.usedCapacity);
  }

  getFreeCpuMillis(): number {
    return this.profile.capacity.cpuMillis - this.usedCapacity.cpuMillis;
  }

  /** Returns true when the free capacity covers a demand. */
  hasCapacityFor(demand: TaskDemand): boolean {
    const { capacity } = this.profile;
    return (
      demand.cpuMillis <= capacity.cpuMillis - this.usedCapacity.cpuMillis &&
      demand.memoryMb <= capacity.memoryMb - this.usedCapacity.memoryMb &&
      demand.accelerators <= capacity.accelerators - this.usedCapacity.accelerators
    );
  }

  /** Returns true when the runs take more than the capacity, which has shrunk since they were placed. */
  isOvercommitted(): boolean {
    return !resourceMath.isWithin(this.usedCapacity, this.profile.capacity);
  }

  /**
   * Returns true when new runs may be placed there: the endpoint is registered, synced, reachable and not draining, and later leaders would know of its
   * extended lease, if it has one.
   */
  isSchedulable(): boolean {
    const isReachable = this.registered && this.synced && this.unreachableSince === undefined;
    return (
      isReachable && !this.profile.isDraining && !this.extendedLeases.isPending(this.profile.incarnation)
    );
  }

  /** Returns true while the endpoint has a record. */
  isRegistered(): boolean {
    return this.registered;
  }

  /**
   * Returns true when the removal of the endpoint is planned: it drains and has not fallen silent before it could have left, or still responds without
   * a record. A crashed endpoint becomes unreachable before its record is removed.
   */
  isRemovalPlanned(): boolean {
    const isLeaving = this.profile.isDraining && !this.hasFallenSilentEarly;
    return isLeaving || this.hasRespondedDeregistered;
  }

  /** Returns true once the endpoint has responded to this leader. */
  isSynced(): boolean {
    return this.synced;
  }

  /** Returns the monotonic time of the newest response to a poll; undefined before the first. */
  getRespondedAt(): number | undefined {
    return this.respondedAt;
  }

  /** Returns the monotonic time of the first poll without a response; undefined while the endpoint responds. */
  getUnreachableSince(): number | undefined {
    return this.unreachableSince;
  }

  /**
   * Records a response to a poll: the endpoint is reachable and synced, and no earlier leader can renew its lease any more. If its record was
   * removed, its removal counts as planned.
   */
  recordResponse(now: number): void {
    if (!this.synced) {
      this.setEarlierLeasesEnd(now + computeMaxLeaseMs(leaderTimings.leaseMs));
    }
    this.respondedAt = now;
    this.hasRespondedDeregistered ||= !this.registered;
    this.synced = true;
    this.unreachableSince = undefined;
    this.hasFallenSilentEarly = false;
  }

  /** Records that this leader has sent a poll. */
  recordPollSent(): void {
    this.hasBeenPolled = true;
  }

  /** Returns true from the first poll of this leader until its response or its failure. */
  isAwaitingFirstResponse(): boolean {
    return this.hasBeenPolled && !this.synced && this.unreachableSince === undefined;
  }

  /** Records a poll or command without a response. The first one in sequence sets the time since which the endpoint is unreachable. */
  recordUnreachable(now: number): void {
    if (this.unreachableSince !== undefined) {
      return;
    }
    this.unreachableSince = now;
    if (this.hasBegunDrain) {
      const drainedMs = now - (this.drainingSince ?? now);
      this.hasFallenSilentEarly = drainedMs < this.profile.minDrainMs * EARLY_SILENCE_SHARE;
    }
  }

  /** Records a lease that expires by the monotonic time `until`. Never shortens the time by which all leases have expired. */
  recordLease(until: number): void {
    this.leasedUntil = Math.max(this.leasedUntil, until);
  }

  /** Returns the monotonic time by which all leases of the endpoint have expired. */
  getLeasedUntil(): number {
    return Math.max(this.leasedUntil, this.earlierLeasesEndAt, this.getExtendedUntil());
  }

  /** Returns who granted the lease that expires last, as far as is known. */
  getLeaseGranter(): 'this leader' | 'earlier leaders' | 'another clock' {
    if (this.getExtendedUntil() === this.getLeasedUntil()) {
      return 'another clock';
    }
    return this.leasedUntil >= this.earlierLeasesEndAt ? 'this leader' : 'earlier leaders';
  }

  private getExtendedUntil(): number {
    return this.extendedLeases.getEndsAt(this.profile.incarnation);
  }

  /** Sets an earlier time by which all leases of earlier leaders have expired. */
  setEarlierLeasesEnd(endAt: number): void {
    this.earlierLeasesEndAt = Math.min(this.earlierLeasesEndAt, endAt);
  }

  /** Updates the run failure rate with the outcome of a run or of its start. */
  recordRunOutcome(isFailure: boolean, now: number): void {
    const rate = this.computeRunFailureRate(now);
    this.runFailureRate = rate + FAILURE_WEIGHT * ((isFailure ? 1 : 0) - rate);
    this.runFailureRateAt = now;
  }

  /** Returns the consecutive failed runs of the endpoint. */
  getFailureStreak(): FailureStreak {
    return this.failureStreak;
  }

  /** Computes the moving average of failed runs, 0 to 1, which decays with time. */
  computeRunFailureRate(now: number): number {
    return this.runFailureRate * 0.5 ** ((now - this.runFailureRateAt) / FAILURE_HALF_LIFE_MS);
  }

  /** Updates the slowdown with the ratio of a run's time to the time of the same step's runs elsewhere. */
  recordSlowdown(ratio: number, now: number): void {
    const current = this.computeSlowdown(now);
    this.slowdown = current + SLOWDOWN_WEIGHT * (Math.min(MAX_RECORDED_SLOWDOWN, ratio) - current);
    this.slowdownAt = now;
  }

  /** Computes the moving average of the slowdown, which decays to 1 with time. */
  computeSlowdown(now: number): number {
    return 1 + (this.slowdown - 1) * 0.5 ** ((now - this.slowdownAt) / SLOWDOWN_HALF_LIFE_MS);
  }

  /** Returns true when the run failure rate has reached `MIN_FAILING_RATE` or the slowdown exceeds `MAX_HEALTHY_SLOWDOWN`. */
  isDegraded(now: number): boolean {
    return this.hasHighRunFailureRate(now) || this.computeSlowdown(now) > MAX_HEALTHY_SLOWDOWN;
  }

  /** Records the begin of the drain, when first called while the endpoint drains. */
  updateDrainStart(now: number): void {
    if (this.profile.isDraining) {
      this.drainingSince ??= now;
    }
  }

  /** Returns the monotonic time until which a draining endpoint certainly runs. */
  getDrainDeadline(now: number): number {
    return (this.drainingSince ?? now) + this.profile.minDrainMs;
  }

  /** Returns true when the run failure rate has reached its limit. */
  hasHighRunFailureRate(now: number): boolean {
    return this.computeRunFailureRate(now) >= MIN_FAILING_RATE;
  }
}
