import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { TaskName } from '../../jobs/TaskName';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointProfile } from './EndpointProfile';
import type { PlacedRun } from '../runs/PlacedRun';
import { FailureStreak } from '../stops/FailureStreak';

/** Weight of the newest run in the moving average of failures. */
const FAILURE_WEIGHT = 0.25;
/** Half-life of the failure rate while no run ends, so that the endpoint is tried again. */
const FAILURE_HALF_LIFE_MS = 6000;
/** Failure rate from which an endpoint counts as failing. */
const MIN_FAILING_RATE = 0.4;
/** Weight of the newest value in the moving average of the slowdown. */
const SLOWDOWN_WEIGHT = 0.3;
/** Half-life of the slowdown's distance from 1 while no value is recorded. */
const SLOWDOWN_HALF_LIFE_MS = 4000;
/** Slowdown above which an endpoint counts as degraded. */
const MAX_HEALTHY_SLOWDOWN = 1.8;
/** Limit on a single recorded value. */
const MAX_RECORDED_SLOWDOWN = 8;

/** The leader's view of one incarnation of an endpoint: capacity, runs, leases, reachability and health. */
export class EndpointState {
  private readonly runs = new Map<string, PlacedRun>();
  private usedCapacity: TaskDemand = resourceMath.ZERO;
  private runFailureRate = 0;
  private runFailureRateAt = 0;
  /** How many times longer runs take there than the same step's runs elsewhere; 1 is normal. */
  private slowdown = 1;
  private slowdownAt = 0;
  private drainingSince: number | undefined;
  /** True once the endpoint has responded to this leader, so that it rejects commands of earlier leaders. */
  private synced = false;
  private registered = true;
  /** True when the endpoint has responded to a poll after its record was removed. */
  private hasRespondedDeregistered = false;
  /** Runs of crash suspects that are not past their startup. */
  private readonly startingSuspects = new Set<PlacedRun>();
  private readonly failureStreak = new FailureStreak();
  /** Monotonic time of the first poll without a response; undefined while the endpoint responds. */
  private unreachableSince: number | undefined;
  /** Monotonic time of the newest response to a poll; undefined before the first. */
  private respondedAt: number | undefined;
  /** Monotonic time by which all leases that were given there have expired. */
  private leasedUntil: number;

  constructor(
    private profile: EndpointProfile,
    leasedUntil: number,
    /** Updated with each run that is added or removed. */
    private readonly customerUsage: CustomerUsage,
  ) {
    this.leasedUntil = leasedUntil;
  }

  getProfile(): EndpointProfile {
    return this.profile;
  }

  applyProfile(profile: EndpointProfile): void {
    this.profile = profile;
    this.registered = true;
    this.hasRespondedDeregistered = false;
  }

  /** Records that the endpoint's record was removed. Its runs go on: the endpoint may still be alive. */
  recordDeregistration(): void {
    this.registered = false;
  }

  getRun(task: TaskName, run: number): PlacedRun | undefined {
    return this.runs.get(`${task}#${run}`);
  }

  getRuns(): Iterable<PlacedRun> {
    return this.runs.values();
  }

  countRuns(): number {
    return this.runs.size;
  }

  /** Adds a run, and reserves its demand here and in its customer's usage. */
  addRun(run: PlacedRun): void {
    this.runs.set(`${run.task}#${run.run}`, run);
    this.usedCapacity = resourceMath.computeSum(this.usedCapacity, run.demand);
    this.customerUsage.recordRun(run);
    if (run.isCrashSuspect) {
      this.startingSuspects.add(run);
    }
  }

  /** Removes a run that has certainly ended, and releases its demand. */
  removeRun(run: PlacedRun): void {
    this.startingSuspects.delete(run);
    if (this.runs.delete(`${run.task}#${run.run}`)) {
      this.usedCapacity = resourceMath.computeDifference(this.usedCapacity, run.demand);
      this.customerUsage.recordRunEnd(run);
    }
  }

  /** Returns the runs of crash suspects that are not past their startup, and may still crash the endpoint. */
  getStartingSuspects(): ReadonlySet<PlacedRun> {
    return this.startingSuspects;
  }

  /** Records that a run is past its startup. */
  recordStartupPassed(run: PlacedRun): void {
    this.startingSuspects.delete(run);
  }

  getFreeCapacity(): TaskDemand {
    return resourceMath.computeDifference(this.profile.capacity, this.usedCapacity);
  }

  getFreeCpuMillis(): number {
    return this.profile.capacity.cpuMillis - this.usedCapacity.cpuMillis;
  }

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

  /** Returns true when new runs may be placed on the endpoint. */
  isSchedulable(): boolean {
    return this.registered && this.synced && this.unreachableSince === undefined && !this.profile.isDraining;
  }

  /** Returns false once the endpoint's record was removed. */
  isRegistered(): boolean {
    return this.registered;
  }

  /**
   * Returns true when the removal of the endpoint is planned: it drains, or still responds without a record. A crashed endpoint becomes unreachable
   * before its record is removed.
   */
  isRemovalPlanned(): boolean {
    return this.profile.isDraining || this.hasRespondedDeregistered;
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

  /** Records a response to a poll. */
  recordResponse(now: number): void {
    this.respondedAt = now;
    this.hasRespondedDeregistered ||= !this.registered;
    this.synced = true;
    this.unreachableSince = undefined;
  }

  /** Records that a poll had no response. */
  recordUnreachable(now: number): void {
    this.unreachableSince ??= now;
  }

  /** Records a lease that was sent, whether or not it arrived; it expires by the monotonic time `until`. */
  recordLease(until: number): void {
    this.leasedUntil = Math.max(this.leasedUntil, until);
  }

  /** Returns the monotonic time by which all leases that were given there have expired. */
  getLeasedUntil(): number {
    return this.leasedUntil;
  }

  /** Records whether a run that has ended had failed. */
  recordRunOutcome(isFailure: boolean, now: number): void {
    const rate = this.computeRunFailureRate(now);
    this.runFailureRate = rate + FAILURE_WEIGHT * ((isFailure ? 1 : 0) - rate);
    this.runFailureRateAt = now;
  }

  getFailureStreak(): FailureStreak {
    return this.failureStreak;
  }

  /** Computes the moving average of failed runs, 0 to 1, which decays with time. */
  computeRunFailureRate(now: number): number {
    return this.runFailureRate * 0.5 ** ((now - this.runFailureRateAt) / FAILURE_HALF_LIFE_MS);
  }

  /** Records how many times longer a run takes than the same step's runs elsewhere. */
  recordSlowdown(ratio: number, now: number): void {
    const current = this.computeSlowdown(now);
    this.slowdown = current + SLOWDOWN_WEIGHT * (Math.min(MAX_RECORDED_SLOWDOWN, ratio) - current);
    this.slowdownAt = now;
  }

  /** Computes the moving average of the slowdown, which decays to 1 with time. */
  computeSlowdown(now: number): number {
    return 1 + (this.slowdown - 1) * 0.5 ** ((now - this.slowdownAt) / SLOWDOWN_HALF_LIFE_MS);
  }

  /** Returns true when runs there have recently failed or been slow. */
  isDegraded(now: number): boolean {
    return this.isFailing(now) || this.computeSlowdown(now) > MAX_HEALTHY_SLOWDOWN;
  }

  /** Returns the monotonic time until which a draining endpoint stays. Its first call fixes the begin of the drain. */
  getDrainDeadline(now: number): number {
    this.drainingSince ??= now;
    return this.drainingSince + this.profile.remainingMs;
  }

  isFailing(now: number): boolean {
    return this.computeRunFailureRate(now) >= MIN_FAILING_RATE;
  }
}
