import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { TaskName } from '../../jobs/TaskName';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointProfile } from './EndpointProfile';
import type { PlacedRun } from '../runs/PlacedRun';
import { FailureStreak } from '../stops/FailureStreak';

/** Weight of the newest run in the failure rate. */
const FAILURE_WEIGHT = 0.25;
/** The failure rate halves in this time without runs, so that an endpoint is tried again. */
const FAILURE_HALF_LIFE_MS = 6000;
const SUSPECT_FAILURE_RATE = 0.4;
/** Weight of the newest comparison in the slowness, which falls back to 1 by half in the time below. */
const SLOWNESS_WEIGHT = 0.3;
const SLOWNESS_HALF_LIFE_MS = 4000;
const SLOW_RATIO = 1.8;
/** A single comparison counts at most so much. */
const MAX_SLOWNESS = 8;

/** The books of one endpoint: what it can hold, what may run there, and whether it is to be trusted. */
export class EndpointState {
  private readonly runs = new Map<string, PlacedRun>();
  private used: TaskDemand = resourceMath.NOTHING;
  private failureRate = 0;
  private failureRateAt = 0;
  /** How much longer runs take there than their siblings elsewhere; 1 is usual. */
  private slowness = 1;
  private slownessAt = 0;
  private drainingSince: number | undefined;
  /** True once the endpoint has answered this leader, so that no older leader's order can reach it any more. */
  private settled = false;
  private isListed = true;
  /** The endpoint has answered a look after its record had gone. */
  private hasAnsweredUnlisted = false;
  /** Runs of tasks under suspicion that are not proven yet. */
  private readonly probation = new Set<PlacedRun>();
  private readonly failureStreak = new FailureStreak();
  /** Since when the endpoint has not answered; undefined while it does. */
  private silentSince: number | undefined;
  /** Monotonic time of the newest answer to a look; undefined before the first. */
  private answeredAt: number | undefined;
  /** Monotonic time after which nothing that was ever leased there can run. */
  private leasedUntil: number;

  constructor(
    private profile: EndpointProfile,
    leasedUntil: number,
    /** Told of each run that takes or frees room. */
    private readonly usage: CustomerUsage,
  ) {
    this.leasedUntil = leasedUntil;
  }

  getProfile(): EndpointProfile {
    return this.profile;
  }

  applyProfile(profile: EndpointProfile): void {
    this.profile = profile;
    this.isListed = true;
    this.hasAnsweredUnlisted = false;
  }

  /** The endpoint's record has gone. What runs there may go on, since the record alone tells little. */
  recordDeregistration(): void {
    this.isListed = false;
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

  /** Takes room for a run, here and in its customer's usage. */
  addRun(run: PlacedRun): void {
    this.runs.set(`${run.task}#${run.run}`, run);
    this.used = resourceMath.toSum(this.used, run.demand);
    this.usage.recordRun(run);
    if (run.isCrashSuspect) {
      this.probation.add(run);
    }
  }

  /** Frees the room of a run that is known to have ended. */
  removeRun(run: PlacedRun): void {
    this.probation.delete(run);
    if (this.runs.delete(`${run.task}#${run.run}`)) {
      this.used = resourceMath.toDifference(this.used, run.demand);
      this.usage.recordRunEnd(run);
    }
  }

  /** Runs of tasks under suspicion whose start may still end the endpoint. */
  getStartingSuspects(): ReadonlySet<PlacedRun> {
    return this.probation;
  }

  /** A look has listed a run long enough after its start. */
  recordProven(run: PlacedRun): void {
    this.probation.delete(run);
  }

  getFreeCapacity(): TaskDemand {
    return resourceMath.toDifference(this.profile.capacity, this.used);
  }

  getFreeCpuMillis(): number {
    return this.profile.capacity.cpuMillis - this.used.cpuMillis;
  }

  hasCapacityFor(demand: TaskDemand): boolean {
    const { capacity } = this.profile;
    return (
      demand.cpuMillis <= capacity.cpuMillis - this.used.cpuMillis &&
      demand.memoryMb <= capacity.memoryMb - this.used.memoryMb &&
      demand.accelerators <= capacity.accelerators - this.used.accelerators
    );
  }

  /** True when all that may run there takes more than the endpoint has room for: its room has shrunk. */
  isOvercommitted(): boolean {
    return !resourceMath.isWithin(this.used, this.profile.capacity);
  }

  /** True when new work may be started there. */
  isSchedulable(): boolean {
    return this.isListed && this.settled && this.silentSince === undefined && !this.profile.isDraining;
  }

  /** False once the endpoint's record has gone. */
  hasRecord(): boolean {
    return this.isListed;
  }

  /**
   * True when the end of the endpoint is planned: it has said that it drains, or serves on without a record. One that crashes falls silent
   * before its record goes.
   */
  isLeaving(): boolean {
    return this.profile.isDraining || this.hasAnsweredUnlisted;
  }

  isSynced(): boolean {
    return this.settled;
  }

  readAnsweredAt(): number | undefined {
    return this.answeredAt;
  }

  getUnreachableSince(): number | undefined {
    return this.silentSince;
  }

  /** Records an answer to a look. */
  recordAnswer(now: number): void {
    this.answeredAt = now;
    this.hasAnsweredUnlisted ||= !this.isListed;
    this.settled = true;
    this.silentSince = undefined;
  }

  /** Records that a look had no answer. */
  recordUnreachable(now: number): void {
    this.silentSince ??= now;
  }

  /** Records a lease that was sent, whether or not it arrived. */
  recordLease(until: number): void {
    this.leasedUntil = Math.max(this.leasedUntil, until);
  }

  readLeasedUntil(): number {
    return this.leasedUntil;
  }

  recordOutcome(isFailure: boolean, now: number): void {
    const rate = this.computeFailureRate(now);
    this.failureRate = rate + FAILURE_WEIGHT * ((isFailure ? 1 : 0) - rate);
    this.failureRateAt = now;
  }

  /** Whether all fails that is started there. */
  getFailureStreak(): FailureStreak {
    return this.failureStreak;
  }

  /** Recent share of runs that failed, decaying with time. */
  computeFailureRate(now: number): number {
    return this.failureRate * 0.5 ** ((now - this.failureRateAt) / FAILURE_HALF_LIFE_MS);
  }

  /** Records how much longer a run takes than its siblings. */
  recordSlowness(ratio: number, now: number): void {
    const known = this.readSlowness(now);
    this.slowness = known + SLOWNESS_WEIGHT * (Math.min(MAX_SLOWNESS, ratio) - known);
    this.slownessAt = now;
  }

  readSlowness(now: number): number {
    return 1 + (this.slowness - 1) * 0.5 ** ((now - this.slownessAt) / SLOWNESS_HALF_LIFE_MS);
  }

  /** True when work there fails or takes long of late. */
  isDegraded(now: number): boolean {
    return this.isFailing(now) || this.readSlowness(now) > SLOW_RATIO;
  }

  /** Monotonic time until which a draining endpoint stays. */
  getDrainDeadline(now: number): number {
    this.drainingSince ??= now;
    return this.drainingSince + this.profile.remainingMs;
  }

  isFailing(now: number): boolean {
    return this.computeFailureRate(now) >= SUSPECT_FAILURE_RATE;
  }
}
